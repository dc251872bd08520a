#ifndef BORAGERIDGE_ENTRY_LOGRATELIMITER_H
#define BORAGERIDGE_ENTRY_LOGRATELIMITER_H

#include "borageridge/Types.h"

#include <cstdint>

namespace borageridge::entry {

/// Limits the rate of log lines about requests (token bucket).
class LogRateLimiter {
public:
  /// Sustained rate in lines per second, and the largest burst in lines.
  static constexpr double PerSecond = 40;
  static constexpr double Burst = 120;

  /// Returns whether a line may be written now, and otherwise counts it as
  /// suppressed.
  bool tryAcquire(Time Now);
  /// Number of lines suppressed since the last call.
  std::uint64_t takeSuppressed();

private:
  double Tokens = Burst;
  Time LastRefill;
  std::uint64_t Suppressed = 0;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_LOGRATELIMITER_H
