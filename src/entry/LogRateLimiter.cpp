#include "entry/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace borageridge::entry {

bool LogRateLimiter::tryAcquire(Time Now) {
  const std::chrono::duration<double> Passed = Now - LastRefill;
  LastRefill = Now;
  Tokens = std::min(Burst, Tokens + Passed.count() * PerSecond);
  if (Tokens < 1) {
    ++Suppressed;
    return false;
  }
  Tokens -= 1;
  return true;
}

std::uint64_t LogRateLimiter::takeSuppressed() {
  return std::exchange(Suppressed, 0);
}

} // namespace borageridge::entry
