#ifndef BORAGERIDGE_CHANGE_OBSERVATIONTIMER_H
#define BORAGERIDGE_CHANGE_OBSERVATIONTIMER_H

#include "borageridge/Types.h"

#include <cstdint>
#include <optional>

namespace borageridge::change {

/// Measures since when an observation about the primary has held without
/// interruption. Restarts with each epoch, because observations of an earlier
/// primary do not count.
class ObservationTimer {
public:
  /// Returns the start of the observation, or none if it does not hold.
  std::optional<Time> update(std::uint64_t Epoch, bool Holds, Time Now);

private:
  std::uint64_t ObservedEpoch = 0;
  std::optional<Time> Since;
};

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_OBSERVATIONTIMER_H
