#ifndef BORAGERIDGE_FAILOVER_CHANGERATELIMITER_H
#define BORAGERIDGE_FAILOVER_CHANGERATELIMITER_H

#include "borageridge/Types.h"

#include <algorithm>
#include <optional>

namespace borageridge::failover {

/// Limits the rate of unplanned changes of one group. The minimum interval
/// doubles with each change that starts within twice the interval of the
/// previous one, up to MaxInterval, and returns to MinInterval after a longer
/// quiet period.
class ChangeRateLimiter {
public:
  ChangeRateLimiter(Duration MinimumInterval, Duration MaximumInterval)
      : MinInterval(MinimumInterval), MaxInterval(MaximumInterval),
        Interval(MinimumInterval) {}

  bool allows(Time Now) const {
    return !LastChange || Now - *LastChange >= Interval;
  }

  void recordChange(Time Now) {
    const bool IsRepeated = LastChange && Now - *LastChange < 2 * Interval;
    Interval = IsRepeated ? std::min(2 * Interval, MaxInterval) : MinInterval;
    LastChange = Now;
  }

private:
  Duration MinInterval;
  Duration MaxInterval;
  Duration Interval;
  std::optional<Time> LastChange;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_CHANGERATELIMITER_H
