#ifndef BORAGERIDGE_QUOTA_ALLOWANCE_H
#define BORAGERIDGE_QUOTA_ALLOWANCE_H

#include "borageridge/Types.h"

#include <cstdint>
#include <deque>

namespace borageridge::quota {

/// What one daemon may spend of the limit of one organisation: the tokens that
/// counters have granted to it and that have not expired.
class Allowance {
public:
  explicit Allowance(Duration TokenLifetime) : Lifetime(TokenLifetime) {}

  /// Records that an operation arrived.
  void noteArrival(Time Now);
  /// Takes a token that has not expired. Returns false if there is none.
  bool take(Time Now);
  /// Adds tokens that were granted to a request sent at AskedAt.
  void add(std::uint32_t Tokens, Time AskedAt);

  /// Number of tokens to ask for when Waiting operations have none: for these
  /// and for those that are expected to arrive before the next answer.
  std::uint32_t wanted(std::uint32_t Waiting, Time Now);
  /// Whether to ask before the tokens are used up.
  bool isRunningLow(Time Now);

  /// Records that all counters denied a request.
  void deny(Time Now);
  /// Whether counters have denied so recently that they need not be asked.
  bool isDenied(Time Now) const { return Now < DeniedUntil; }

private:
  struct Batch {
    std::uint32_t Tokens = 0;
    Time ExpiresAt;
  };
  std::uint32_t available(Time Now);
  double expectedArrivals() const;

  Duration Lifetime;
  std::deque<Batch> Batches;
  /// Arrivals per second, averaged over the last arrivals.
  double Demand = 0;
  Time LastArrival;
  Time DeniedUntil;
};

} // namespace borageridge::quota

#endif // BORAGERIDGE_QUOTA_ALLOWANCE_H
