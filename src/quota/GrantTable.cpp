#include "quota/GrantTable.h"

#include <algorithm>
#include <cmath>

namespace borageridge::quota {

std::uint32_t GrantTable::grant(std::string_view Organisation,
                                const RateLimit &Limit, std::uint32_t Wanted,
                                Time Now) {
  auto Found = Buckets.find(Organisation);
  if (Found == Buckets.end())
    Found = Buckets.emplace(Organisation, Bucket{initialTokens(Allowed), Began})
                .first;
  Bucket &Own = Found->second;
  const double Elapsed =
      std::chrono::duration<double>(std::max(Now - Own.FilledAt, Duration()))
          .count();
  Own.FilledAt = std::max(Own.FilledAt, Now);
  // The limit may have been lowered since the last request.
  Own.Tokens = std::min(
      bucketSize(Limit.Burst, Allowed),
      Own.Tokens + Elapsed * grantedRate(Limit.RatePerSecond, Allowed) /
                       CountersPerOrganisation);
  const auto Granted = static_cast<std::uint32_t>(
      std::min<double>(Wanted, std::floor(Own.Tokens)));
  Own.Tokens -= Granted;
  return Granted;
}

} // namespace borageridge::quota
