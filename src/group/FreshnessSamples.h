#ifndef BORAGERIDGE_GROUP_FRESHNESSSAMPLES_H
#define BORAGERIDGE_GROUP_FRESHNESSSAMPLES_H

#include "borageridge/Types.h"

#include <deque>
#include <optional>

namespace borageridge::group {

/// Samples of the log position of one term's primary. Each position was reached
/// at or after the time of its sample. The number of samples is bounded; older
/// ones are kept at a coarser spacing.
class FreshnessSamples {
public:
  static constexpr std::size_t MaxSamples = 128;

  /// Adds a sample: the last commit of the primary was Index at some time not
  /// before AsOf.
  void add(Time AsOf, LogIndex Index);

  /// Returns the latest sample time that is not after NotAfter and whose index
  /// is at most Reached.
  std::optional<Time> asOf(LogIndex Reached, Time NotAfter) const;

  /// Returns the time of the oldest sample whose index exceeds Reached. A
  /// member at Reached has been behind since that time.
  std::optional<Time> behindSince(LogIndex Reached) const;

private:
  struct Sample {
    Time AsOf;
    LogIndex Index = 0;
  };

  void thin();

  std::deque<Sample> Samples;
};

} // namespace borageridge::group

#endif // BORAGERIDGE_GROUP_FRESHNESSSAMPLES_H
