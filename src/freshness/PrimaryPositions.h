#ifndef BORAGERIDGE_FRESHNESS_PRIMARYPOSITIONS_H
#define BORAGERIDGE_FRESHNESS_PRIMARYPOSITIONS_H

#include "borageridge/Types.h"

#include <deque>
#include <optional>

namespace borageridge::freshness {

/// Positions that the primary of one service is known to have had, by time.
/// Bounded in number.
class PrimaryPositions {
public:
  /// At a time not before AsOf the log of the primary ended at At.
  void add(Time AsOf, Position At);
  /// Forgets everything, after a change of primary.
  void clear() { Samples.clear(); }

  /// The oldest known position that contains every commit acknowledged before
  /// NotBefore; none if no sample is recent enough.
  std::optional<Position> covering(Time NotBefore) const;

  struct Sample {
    Time AsOf;
    Position At;
  };
  std::optional<Sample> newest() const;

private:
  std::deque<Sample> Samples;
};

} // namespace borageridge::freshness

#endif // BORAGERIDGE_FRESHNESS_PRIMARYPOSITIONS_H
