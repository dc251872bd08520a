#ifndef BORAGERIDGE_ENTRY_LOGBUDGET_H
#define BORAGERIDGE_ENTRY_LOGBUDGET_H

#include "borageridge/Types.h"

#include <cstdint>

namespace borageridge::entry {

/// Bounds the log lines about requests.
class LogBudget {
public:
  /// Lines a second, and lines at once after a quiet time.
  static constexpr double PerSecond = 40;
  static constexpr double Burst = 120;

  /// Whether a line may be written now; lines that may not are counted.
  bool take(Time Now);
  /// Lines that were left out since the last call.
  std::uint64_t takeSuppressed();

private:
  double Tokens = Burst;
  Time Last;
  std::uint64_t Suppressed = 0;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_LOGBUDGET_H
