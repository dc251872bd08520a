#include "failover/FailureDetector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace borageridge::failover {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Counts the proxies and availability zones that support or oppose a
/// confirmation.
struct ReportTally {
  std::set<std::string_view> AliveProxies;
  std::set<std::string_view> AliveZones;
  std::set<std::string_view> SupportingZones;
  std::size_t Supporting = 0;
  std::size_t Healthy = 0;

  void addAlive(std::string_view Proxy, std::string_view Zone) {
    AliveProxies.insert(Proxy);
    AliveZones.insert(Zone);
  }

  bool confirms() const {
    constexpr std::size_t RequiredReports = 2;
    return Supporting >= std::min(RequiredReports, AliveProxies.size()) &&
           SupportingZones.size() >=
               std::min(RequiredReports, AliveZones.size()) &&
           Supporting > Healthy;
  }
};

} // namespace

FailureDetector::FailureDetector(std::string DatabaseName,
                                 ranking::ProxyIdentity Identity,
                                 FailureDetectorSettings InitialSettings)
    : Database(std::move(DatabaseName)), Self(std::move(Identity)),
      Settings(InitialSettings) {}

void FailureDetector::statusReceived(std::string_view Member, Time Now) {
  MemberView &View = viewOf(Member);
  View.Suspected = View.Suspected || hasQuickEvidence(View, Now);
  View.Silence = {};
  View.Refusal = {};
  View.Answered = true;
  // At most one answer counts per ping, so that a burst of pushed statuses does
  // not clear a suspicion.
  if (!View.PingSinceAnswer)
    return;
  View.PingSinceAnswer = false;
  ++View.ConsecutiveAnswers;
  if (View.ConsecutiveAnswers >= Settings.AnswersToClear)
    View.Suspected = false;
}

void FailureDetector::connectionRefused(std::string_view Member, Time Now) {
  MemberView &View = viewOf(Member);
  if (!isRefusalCurrent(View, Now))
    View.Refusal = {};
  extend(View.Refusal, Now);
  extend(View.Silence, Now);
  View.LastRefusal = Now;
  View.Suspected = true;
  View.ConsecutiveAnswers = 0;
}

void FailureDetector::pingSent(std::string_view Member, Time Now) {
  MemberView &View = viewOf(Member);
  // An unanswered earlier ping interrupts the sequence of answers.
  if (View.PingSinceAnswer)
    View.ConsecutiveAnswers = 0;
  View.PingSinceAnswer = true;
  extend(View.Silence, Now);
  if (View.Refusal.Present)
    extend(View.Refusal, Now);
  View.Suspected = View.Suspected || hasQuickEvidence(View, Now);
}

void FailureDetector::evidenceReceived(const peer::Evidence &Evidence,
                                       Time Now) {
  if (Evidence.database() != Database || Evidence.observer() == Self.Name)
    return;
  PeerViews &Views = Peers[Evidence.member()];
  std::erase_if(Views,
                [&](const auto &Entry) { return !isFresh(Entry.second, Now); });
  Views[Evidence.observer()] = {Evidence.kind(),
                                milliseconds(Evidence.for_ms()),
                                Evidence.observer_availability_zone(), Now};
}

bool FailureDetector::isSuspected(std::string_view Member, Time Now) const {
  const auto Found = Members.find(Member);
  if (Found == Members.end())
    return false;
  return Found->second.Suspected || hasQuickEvidence(Found->second, Now);
}

bool FailureDetector::isConfirmed(
    std::string_view Member,
    std::span<const ranking::ProxyIdentity> LiveProxies, Time Now) const {
  if (Settings.Policy == ConfirmationPolicy::OneLevel) {
    const auto Own = Members.find(Member);
    return Own != Members.end() && hasQuickEvidence(Own->second, Now);
  }
  // In the usual case no report is long enough, and the reports need not be
  // counted.
  const std::vector<Report> Known = currentReports(Member, Now);
  if (std::ranges::none_of(
          Known, [&](const Report &R) { return isLongEnough(R.Observed); }))
    return false;
  ReportTally Tally;
  Tally.addAlive(Self.Name, Self.AvailabilityZone);
  for (const ranking::ProxyIdentity &Proxy : LiveProxies)
    Tally.addAlive(Proxy.Name, Proxy.AvailabilityZone);
  for (const Report &R : Known) {
    Tally.addAlive(R.Observer, R.AvailabilityZone);
    if (R.Observed.Kind == peer::EVIDENCE_KIND_HEALTHY)
      ++Tally.Healthy;
    if (!isLongEnough(R.Observed))
      continue;
    ++Tally.Supporting;
    Tally.SupportingZones.insert(R.AvailabilityZone);
  }
  return Tally.confirms();
}

std::vector<FailureDetector::Report>
FailureDetector::currentReports(std::string_view Member, Time Now) const {
  std::vector<Report> Result;
  const auto Own = Members.find(Member);
  if (Own != Members.end())
    Result.push_back({Self.Name, Self.AvailabilityZone,
                      currentObservation(Own->second, Now)});
  const auto Views = Peers.find(Member);
  if (Views == Peers.end())
    return Result;
  for (const auto &[Observer, View] : Views->second)
    if (isFresh(View, Now))
      Result.push_back(
          {Observer, View.AvailabilityZone, {View.Kind, View.Elapsed}});
  return Result;
}

std::vector<peer::Evidence> FailureDetector::ownEvidence(Time Now) const {
  std::vector<peer::Evidence> Result;
  for (const auto &[Member, View] : Members) {
    const Observation Observed = currentObservation(View, Now);
    if (Observed.Kind == peer::EVIDENCE_KIND_UNSPECIFIED)
      continue;
    peer::Evidence &Evidence = Result.emplace_back();
    Evidence.set_database(Database);
    Evidence.set_member(Member);
    Evidence.set_kind(Observed.Kind);
    Evidence.set_for_ms(duration_cast<milliseconds>(Observed.Elapsed).count());
    Evidence.set_observer(Self.Name);
    Evidence.set_observer_availability_zone(Self.AvailabilityZone);
  }
  return Result;
}

Duration FailureDetector::elapsed(const ObservedCondition &C, Time Now) const {
  if (!C.Present)
    return {};
  return C.Elapsed + std::clamp(Now - C.LastStep, Duration{}, maxStep());
}

void FailureDetector::extend(ObservedCondition &C, Time Now) const {
  C.Elapsed = elapsed(C, Now);
  C.Present = true;
  C.LastStep = Now;
}

bool FailureDetector::isRefusalCurrent(const MemberView &View, Time Now) const {
  // Without a further refusal the condition counts as silence.
  return View.Refusal.Present &&
         Now - View.LastRefusal <= Settings.RefusalLifetime;
}

bool FailureDetector::hasQuickEvidence(const MemberView &View, Time Now) const {
  return isRefusalCurrent(View, Now) ||
         elapsed(View.Silence, Now) >= Settings.QuickSuspicion;
}

FailureDetector::Observation
FailureDetector::currentObservation(const MemberView &View, Time Now) const {
  if (isRefusalCurrent(View, Now))
    return {peer::EVIDENCE_KIND_REFUSED, elapsed(View.Refusal, Now)};
  if (elapsed(View.Silence, Now) >= Settings.QuickSuspicion)
    return {peer::EVIDENCE_KIND_SILENT, elapsed(View.Silence, Now)};
  if (View.Answered)
    return {peer::EVIDENCE_KIND_HEALTHY, {}};
  return {};
}

bool FailureDetector::isLongEnough(Observation Observed) const {
  if (Observed.Kind == peer::EVIDENCE_KIND_REFUSED)
    return Observed.Elapsed >= Settings.RefusedConfirmation;
  return Observed.Kind == peer::EVIDENCE_KIND_SILENT &&
         Observed.Elapsed >= Settings.SilentConfirmation;
}

bool FailureDetector::isFresh(const PeerView &View, Time Now) const {
  return Now - View.Received <= Settings.EvidenceLifetime;
}

FailureDetector::MemberView &FailureDetector::viewOf(std::string_view Member) {
  return Members.try_emplace(std::string(Member)).first->second;
}

} // namespace borageridge::failover
