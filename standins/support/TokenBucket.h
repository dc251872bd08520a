#ifndef BORAGERIDGE_STANDINS_SUPPORT_TOKENBUCKET_H
#define BORAGERIDGE_STANDINS_SUPPORT_TOKENBUCKET_H

#include "borageridge/Types.h"

#include <algorithm>
#include <chrono>

namespace borageridge::standins {

/// Allows a rate of calls and a burst of one second's worth. Not thread-safe.
class TokenBucket {
public:
  TokenBucket(double CallsPerSecond, Time Now)
      : Rate(CallsPerSecond), Tokens(CallsPerSecond), Filled(Now) {}

  bool take(Time Now) {
    const std::chrono::duration<double> Passed = Now - Filled;
    Tokens = std::min(Rate, Tokens + Passed.count() * Rate);
    Filled = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double Rate;
  double Tokens;
  Time Filled;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_SUPPORT_TOKENBUCKET_H
