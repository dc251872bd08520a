#include "authority/Authority.h"

namespace borageridge::authority {

std::string_view name(Verdict Result) {
  switch (Result) {
  case Verdict::Allowed:
    return "allowed";
  case Verdict::UnknownKey:
    return "unknown_key";
  case Verdict::UnknownDatabase:
    return "unknown_database";
  case Verdict::OutdatedConfig:
    return "outdated_configuration";
  }
  return "unknown";
}

// The key is examined before the database, so that a caller without a valid key
// does not learn which databases exist. An outdated catalogue may also lack a
// key that was added meanwhile.
Decision decide(const catalog::Catalog &Known, const catalog::Route *Route,
                std::string_view Fingerprint, bool IsRecent) {
  Decision Result;
  if (Known.HasOrganisations) {
    const auto Owner = Known.OrganisationByFingerprint.find(Fingerprint);
    if (Owner != Known.OrganisationByFingerprint.end())
      Result.Organisation = Owner->second;
    const bool NeedsKey = Route == nullptr || !Route->Public;
    if (NeedsKey && !IsRecent)
      return {Verdict::OutdatedConfig, {}};
    if (NeedsKey && Result.Organisation.empty())
      return {Verdict::UnknownKey, {}};
    // A revoked key does not identify its former organisation either.
    if (!IsRecent)
      Result.Organisation = {};
  }
  if (Route == nullptr)
    Result.Result = Verdict::UnknownDatabase;
  return Result;
}

bool Recency::isRecent(Time Now) const {
  if (!Limit)
    return true;
  const std::optional<Duration> Known = Age.age(Now);
  return Known && *Known < *Limit - SafetyMargin;
}

// The rest of the limit covers a slow answer and a second question.
bool Recency::needsCheck(double Jitter, Time Now) const {
  if (!Limit)
    return false;
  constexpr double Earliest = 0.4;
  constexpr double Spread = 0.2;
  const std::optional<Duration> Known = Age.age(Now);
  const double Share = Earliest + Spread * Jitter;
  return !Known || static_cast<double>(Known->count()) >=
                       Share * static_cast<double>(Limit->count());
}

} // namespace borageridge::authority
