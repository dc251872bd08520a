#include "admission/RetryBudget.h"

#include <algorithm>

namespace borageridge::admission {

RetryBudget::RetryBudget(RetryLimits Limit, Time Now)
    : Limits(Limit), LastRefill(Now) {}

void RetryBudget::addRequest(Time Now) {
  refill(Now);
  add(Limits.Ratio);
}

bool RetryBudget::tryRetry(Time Now) {
  // Absorbs rounding of sums such as ten times 0.1.
  constexpr double OneRetry = 1.0 - 1e-9;
  refill(Now);
  if (Stored < OneRetry)
    return false;
  Stored = std::max(0.0, Stored - 1.0);
  return true;
}

void RetryBudget::refill(Time Now) {
  if (Now <= LastRefill)
    return;
  const std::chrono::duration<double> Passed = Now - LastRefill;
  LastRefill = Now;
  add(Passed.count() * Limits.MinimumPerSecond);
}

void RetryBudget::add(double Retries) {
  Stored = std::min(Limits.MaxStored, Stored + Retries);
}

} // namespace borageridge::admission
