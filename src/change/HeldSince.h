#ifndef BORAGERIDGE_CHANGE_HELDSINCE_H
#define BORAGERIDGE_CHANGE_HELDSINCE_H

#include "borageridge/Types.h"

#include <cstdint>
#include <optional>

namespace borageridge::change {

/// Since when an observation about the primary of one epoch has held. What was
/// seen of an earlier primary does not count.
class HeldSince {
public:
  /// Returns none if the observation does not hold.
  std::optional<Time> update(std::uint64_t Epoch, bool Holds, Time Now);

private:
  std::uint64_t SeenIn = 0;
  std::optional<Time> Since;
};

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_HELDSINCE_H
