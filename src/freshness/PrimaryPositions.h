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
  /// Records that the primary's log ended at position At at time AsOf or later.
  void add(Time AsOf, Position At);
  /// Removes all samples, for use after a primary change.
  void clear() { Samples.clear(); }

  /// Returns the oldest known position that includes every commit acknowledged
  /// before NotBefore; none if no sample is recent enough.
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
