#ifndef BORAGERIDGE_FAILOVER_BACKOFF_H
#define BORAGERIDGE_FAILOVER_BACKOFF_H

#include "borageridge/Types.h"

#include <algorithm>

namespace borageridge::failover {

/// Exponential backoff: the first attempt is due at once, later ones after
/// delays that double up to a maximum.
class Backoff {
public:
  Backoff() = default;
  Backoff(Duration Initial, Duration Maximum)
      : InitialDelay(Initial), MaxDelay(Maximum), Delay(Initial) {}

  bool isDue(Time Now) const { return Now >= Next; }
  Time nextAttempt() const { return Next; }

  void recordAttempt(Time Now) {
    Next = Now + Delay;
    Delay = std::min(2 * Delay, MaxDelay);
  }

  /// Makes the next attempt due at once and restores the initial delay.
  void reset() {
    Next = {};
    Delay = InitialDelay;
  }

private:
  Duration InitialDelay{};
  Duration MaxDelay{};
  Duration Delay{};
  Time Next;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_BACKOFF_H
