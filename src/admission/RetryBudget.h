#ifndef BORAGERIDGE_ADMISSION_RETRYBUDGET_H
#define BORAGERIDGE_ADMISSION_RETRYBUDGET_H

#include "borageridge/Types.h"

namespace borageridge::admission {

struct RetryLimits {
  /// Retries allowed for each first try.
  double Ratio = 0.1;
  /// Retries a second that are allowed without traffic, so that a rare request
  /// can be retried at all.
  double MinimumPerSecond = 1.0;
  /// Largest number of unused retries that is kept. Bounds the burst after a
  /// long time without failures.
  double MaxStored = 100.0;
};

/// Token bucket of retries. At all times the retries granted are at most Ratio
/// times the requests plus MinimumPerSecond times the time since the start. Not
/// thread-safe.
class RetryBudget {
public:
  RetryBudget(RetryLimits Limits, Time Now);

  /// Counts a first try of a request.
  void addRequest(Time Now);

  /// Whether a retry may be sent now; if so, it is counted.
  bool tryRetry(Time Now);

private:
  void refill(Time Now);
  void add(double Retries);

  RetryLimits Limits;
  Time LastRefill;
  double Stored = 0;
};

} // namespace borageridge::admission

#endif // BORAGERIDGE_ADMISSION_RETRYBUDGET_H
