#ifndef BORAGERIDGE_AUTHORITY_AUTHORITY_H
#define BORAGERIDGE_AUTHORITY_AUTHORITY_H

#include "authority/ConfigAge.h"
#include "borageridge/Types.h"
#include "catalog/Catalog.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace borageridge::authority {

enum class Verdict {
  Allowed,
  UnknownKey,
  UnknownDatabase,
  /// The key may have been revoked without this daemon knowing.
  OutdatedConfig,
};

/// Returns the lower-case name of a verdict, as used in logs and metrics.
std::string_view name(Verdict Result);

struct Decision {
  Verdict Result = Verdict::Allowed;
  /// The caller's organisation; empty if it is served without one. Valid as
  /// long as the catalogue.
  std::string_view Organisation;
};

/// Decides whether a caller may use a database. Route: null if the database is
/// unknown. Fingerprint: of the caller's key. IsRecent: whether the catalogue
/// contains every revocation that must be in force.
Decision decide(const catalog::Catalog &Known, const catalog::Route *Route,
                std::string_view Fingerprint, bool IsRecent);

/// Knows whether the configuration is recent enough to serve keys.
class Recency {
public:
  /// Time within which a statement reaches its member after the check, and
  /// clock resolution.
  static constexpr Duration SafetyMargin = std::chrono::milliseconds(300);

  /// Limit: time after its acknowledgement by which a revocation must be in
  /// force even if this daemon cannot learn of it; none if it need not.
  void setLimit(std::optional<Duration> NewLimit) { Limit = NewLimit; }
  bool hasLimit() const { return Limit.has_value(); }

  ConfigAge &config() { return Age; }
  const ConfigAge &config() const { return Age; }

  bool isRecent(Time Now) const;

  /// Whether the store should be asked again, so that the configuration stays
  /// recent. Daemons with different values of Jitter, from 0 to 1, ask at
  /// different ages, and the answer to one reaches the others through peers.
  bool needsCheck(double Jitter, Time Now) const;

private:
  std::optional<Duration> Limit;
  ConfigAge Age;
};

} // namespace borageridge::authority

#endif // BORAGERIDGE_AUTHORITY_AUTHORITY_H
