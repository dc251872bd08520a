#ifndef BORAGERIDGE_QUOTA_GRANTTABLE_H
#define BORAGERIDGE_QUOTA_GRANTTABLE_H

#include "borageridge/Types.h"
#include "quota/Limits.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageridge::quota {

/// The limit of one organisation over all counters.
struct RateLimit {
  double RatePerSecond = 0;
  double Burst = 0;
};

/// The token buckets of one counter, by organisation. A table exists as long as
/// its daemon holds the counter, so that each begins nearly empty.
class GrantTable {
public:
  /// Since: when the daemon became the holder.
  GrantTable(Tolerance Limits, Time Since) : Allowed(Limits), Began(Since) {}

  /// Grants up to Wanted operations under the organisation's present limit.
  std::uint32_t grant(std::string_view Organisation, const RateLimit &Limit,
                      std::uint32_t Wanted, Time Now);

private:
  struct Bucket {
    double Tokens = 0;
    Time FilledAt;
  };

  Tolerance Allowed;
  Time Began;
  std::map<std::string, Bucket, std::less<>> Buckets;
};

} // namespace borageridge::quota

#endif // BORAGERIDGE_QUOTA_GRANTTABLE_H
