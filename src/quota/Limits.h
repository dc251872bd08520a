#ifndef BORAGERIDGE_QUOTA_LIMITS_H
#define BORAGERIDGE_QUOTA_LIMITS_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>

namespace borageridge::quota {

/// Each organisation's limit is split over this many counters, so that two of
/// them serve its usual demand while a third has no holder.
constexpr std::size_t CountersPerOrganisation = 3;

/// By how much the daemons together may exceed the limit of an organisation in
/// any window: by Overage of the limit and by Slack operations.
struct Tolerance {
  Duration Window{};
  double Overage = 0;
  std::uint32_t Slack = 0;
};

/// The rate at which counters grant operations together. Part of the overage is
/// used for it, so that an organisation just below its limit is not refused.
double grantedRate(double RatePerSecond, const Tolerance &Allowed);

/// Time after which a granted token expires, counted from the request for it.
/// Tokens that were granted before a window and are used in it take the rest of
/// the overage.
Duration tokenLifetime(const Tolerance &Allowed);

/// Tokens that one counter holds at most for an organisation: its part of the
/// burst, and part of what the daemons may exceed the limit by. Without it the
/// bucket of a small organisation would hold less than two operations.
double bucketSize(double Burst, const Tolerance &Allowed);

/// Tokens in the buckets of a new holder. The rest stays empty, because the
/// former holder may have granted all of them a moment ago.
double initialTokens(const Tolerance &Allowed);

} // namespace borageridge::quota

#endif // BORAGERIDGE_QUOTA_LIMITS_H
