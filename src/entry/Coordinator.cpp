#include "entry/Coordinator.h"

#include "entry/Events.h"
#include "platform/Promotion.h"
#include "ranking/Rank.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using change::Cause;
using cluster::GroupRecord;
using runtime::bootTime;
using runtime::Task;

// Interval between examinations of the primaries; well below the time after
// which a loss is confirmed.
constexpr Duration ExaminationInterval = std::chrono::milliseconds(100);
// If the active coordinator fails, no other daemon takes over until this time
// has passed.
constexpr Duration LeaseTtl = std::chrono::milliseconds(3000);
constexpr Duration LeaseRenewalInterval = std::chrono::milliseconds(900);
// Daemons try to acquire the lease in order of rank with this delay between
// them, so that usually only one call to the store is needed.
constexpr Duration RankDelay = std::chrono::milliseconds(60);
constexpr Duration StopPollInterval = std::chrono::milliseconds(20);
constexpr Duration LeadCheckInterval = std::chrono::milliseconds(500);
// Reports of peers that are older than this are ignored.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1200);
// Pause after a change that led back to the primary. The evidence of all
// daemons is renewed within it.
constexpr Duration LeadBackPause = std::chrono::milliseconds(2000);
// Shortest interval at which a peer is queried.
constexpr Duration MinExchangeInterval = std::chrono::milliseconds(250);

} // namespace

pool::ServicePool *Coordinator::findPool(const std::string &Service) {
  const auto Found = S.ByService.find(Service);
  return Found == S.ByService.end() ? nullptr : Found->second.get();
}

bool Coordinator::isActive(Time Now) const {
  return FencingToken != 0 && CoordinatorLease.isValid(Now) &&
         CoordinatorLease.era() == S.Store.era();
}

// A restored store has lost the leases of daemons that may still use primaries,
// and of a coordinator that may still act. A coordinator waits until all of
// them have expired; a record of the present era shows that one has.
bool Coordinator::mayBecomeActive(Time Now) const {
  if (!S.Lease.isValid(Now) || S.Lease.era() != S.Store.era() ||
      S.Promoter.ModRevision != 0 || !reachesHalfOfFleet(Now))
    return false;
  const Duration LongestLease = std::max(UseLeaseTtl, S.Settings.MinLease);
  return S.Store.era() == keyvalue::FirstEra ||
         Now - S.Store.eraSeenAt() >= LongestLease ||
         std::any_of(S.Records.begin(), S.Records.end(), [&](const auto &R) {
           return cluster::isOfEra(R.second.Epoch, S.Store.era());
         });
}

// A daemon that is partitioned from most of the others cannot tell whether a
// primary has failed.
bool Coordinator::reachesHalfOfFleet(Time Now) const {
  std::size_t Seen = 1;
  const Duration Lifetime =
      ReportLifetime - MinExchangeInterval + PeerExchange.slowestInterval();
  for (const auto &[Name, Other] : S.Peers)
    if (S.Daemons.contains(Name) && Now - Other.LastReport.Received < Lifetime)
      ++Seen;
  return 2 * Seen >= S.Daemons.size();
}

void Coordinator::leaveRole(std::string_view Reason) {
  S.Log.write(event::DutyLost, Reason);
  CoordinatorLease.drop();
  FencingToken = 0;
}

// While the daemon stops, the lease is renewed until stop() ends it.
Task<void> Coordinator::run() {
  while (!S.Stopping || FencingToken != 0) {
    const Time Now = bootTime();
    trackAbsences(Now);
    if (isActive(Now) &&
        S.Promoter.ModRevision != cluster::revisionOf(FencingToken))
      leaveRole("the entry of the active coordinator is gone");
    if (FencingToken != 0 && !isActive(Now))
      leaveRole(CoordinatorLease.era() == S.Store.era()
                    ? "lease not renewed in time"
                    : "the store was restored");
    if (isActive(Now)) {
      if (!reachesHalfOfFleet(Now) && ChangesInProgress.empty())
        co_await resign("fewer than half of the daemons reachable");
      else if (Now - RenewedAt >= LeaseRenewalInterval)
        co_await renew();
      examinePrimaries(bootTime());
    } else if (S.Loaded && !S.Stopping && mayBecomeActive(Now)) {
      co_await tryBecomeActive();
    }
    co_await runtime::sleepFor(ExaminationInterval);
  }
}

Task<void> Coordinator::tryBecomeActive() {
  std::vector<ranking::ProxyIdentity> Live;
  for (const auto &[Name, D] : S.Daemons)
    Live.push_back({Name, D.AvailabilityZone});
  const unsigned Rank = ranking::rankOf(S.Settings.InstanceName, Live, "");
  co_await runtime::sleepFor(RankDelay * static_cast<int>(Rank));
  if (S.Promoter.ModRevision != 0 || S.Stopping)
    co_return;
  const Time SentAt = bootTime();
  Expected<keyvalue::LeaseGrant> Grant = co_await S.Store.grant(LeaseTtl);
  if (!Grant)
    co_return;
  const std::string Key(cluster::PromoterKey);
  keyvalue::Transaction Claim;
  Claim.StoreEra = Grant.value().StoreEra;
  Claim.Conditions.push_back({Key, 0});
  Claim.Puts.push_back({Key, S.Settings.InstanceName, Grant.value().Id});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Claim));
  if (!Written || S.Stopping) {
    co_await endLease(Grant.value().Id, Grant.value().StoreEra);
    co_return;
  }
  CoordinatorLease = cluster::LocalLease();
  CoordinatorLease.confirm(Grant.value().Id, SentAt,
                           std::chrono::milliseconds(Grant.value().TtlMs),
                           Grant.value().StoreEra);
  RenewedAt = SentAt;
  ActiveSince = bootTime();
  FailedCandidates.clear();
  FencingToken = cluster::makeEpoch(Grant.value().StoreEra, Written.value());
  S.Promoter = {Key, S.Settings.InstanceName, Written.value(), Written.value(),
                CoordinatorLease.id()};
  S.Log.write(event::DutyTaken, FencingToken);
}

Task<void> Coordinator::endLease(keyvalue::LeaseId Id,
                                 keyvalue::Era GrantedIn) {
  const Expected<void> Ended = co_await S.Store.revokeLease(Id, GrantedIn);
  // The lease then expires by itself; other daemons wait until it does.
  if (!Ended)
    S.Log.write(event::StoreLost, "end lease", Ended.error().Detail);
}

Task<void> Coordinator::renew() {
  RenewedAt = bootTime();
  const keyvalue::LeaseId Id = CoordinatorLease.id();
  const Expected<void> Renewed =
      co_await S.Store.renew(Id, CoordinatorLease.era());
  if (CoordinatorLease.id() != Id)
    co_return;
  if (Renewed) {
    CoordinatorLease.renewed(RenewedAt);
  } else if (Renewed.error().Kind == FailureKind::NotFound) {
    leaveRole("lease ended at the store");
  }
}

// The lease ends after the calls for promotions, so that none of them reaches
// the platform after one of the next coordinator.
Task<void> Coordinator::resign(std::string Reason) {
  if (FencingToken == 0)
    co_return;
  const keyvalue::LeaseId Id = CoordinatorLease.id();
  leaveRole(Reason);
  while (CallsInFlight != 0)
    co_await runtime::sleepFor(StopPollInterval);
  co_await endLease(Id, CoordinatorLease.era());
}

// A change that is completed here takes less time than one that another daemon
// has to continue, and leaves no promotion under way.
Task<void> Coordinator::stop(Time Deadline) {
  while (isActive(bootTime()) && !ChangesInProgress.empty() &&
         bootTime() < Deadline)
    co_await runtime::sleepFor(StopPollInterval);
  co_await resign("stopping");
}

change::Cause Coordinator::causeOf(const std::string &Service,
                                   pool::ServicePool &Pool,
                                   std::vector<change::PrimaryReport> &Reports,
                                   Time Now) {
  const GroupRecord &Record = Pool.record();
  const std::vector<catalog::Member> Members = Pool.members();
  // Without connections, what this daemon last saw may have passed.
  std::vector<std::string> Suspected;
  for (const catalog::Member &M : Members)
    if (Pool.isConnectionHolder() && Pool.isSuspected(M.Id, Now))
      Suspected.push_back(M.Id);
  Reports.push_back({Record.Primary, Pool.evidence(Record.Primary, Now)});
  for (const auto &[Name, Other] : S.Peers) {
    const auto Seen = Other.LastReport.Primaries.find(Service);
    if (Now - Other.LastReport.Received < ReportLifetime &&
        Seen != Other.LastReport.Primaries.end())
      Reports.push_back(Seen->second);
  }
  change::ServiceObservation Known;
  Known.Record = Record;
  Known.Members = Members;
  Known.Suspected = Suspected;
  Known.Reports = Reports;
  Known.StoreEra = S.Store.era();
  // If only some daemons hold the connections of the service, only those can
  // observe the primary.
  const auto Holders = S.Holders.find(Service);
  Known.LiveDaemons = std::max<std::size_t>(1, Holders == S.Holders.end()
                                                   ? S.Daemons.size()
                                                   : Holders->second.size());
  const catalog::Member *Primary = Pool.primary();
  Known.NotLeadingSince = NotLeadingSince[Service].update(
      Record.Epoch, Primary != nullptr && !Primary->ClaimsPrimary, Now);
  Known.GoneSince =
      AbsentSince[Service].update(Record.Epoch, Primary == nullptr, Now);
  Known.IsSuperseded = Pool.isSuperseded();
  Known.HasSettled =
      !Record.Unsettled.empty() &&
      callsFor(Service, Record, Now).unsettled(Now) != Record.Unsettled;
  Known.HasOtherReceivers = hasOtherReceivers(Service, Now);
  return changeCause(Known, Now);
}

// A primary that has been superseded may claim the role without limit if it
// does not reach the new one.
void Coordinator::checkLead(const std::string &Service, Time Now) {
  Time &CheckedAt = LeadCheckedAt[Service];
  const pool::ServicePool &Pool = *findPool(Service);
  if (Now - CheckedAt < LeadCheckInterval || Pool.record().Changing ||
      !Pool.hasContenders())
    return;
  CheckedAt = Now;
  const auto Check = [](Coordinator &Self, std::string Of) -> Task<void> {
    co_await Self.findPool(Of)->confirmLead(LeadCheckInterval);
  };
  runtime::spawn(S.Io, Check(*this, Service));
}

// What made the change begin may still be seen, and the next one would find
// nobody either.
bool Coordinator::isPausedAfterLeadBack(const std::string &Service,
                                        Cause Reason, Time Now) const {
  const auto Last = LedBackAt.find(Service);
  return Last != LedBackAt.end() && Now - Last->second < LeadBackPause &&
         Reason != Cause::Interrupted && Reason != Cause::Restored &&
         Reason != Cause::Settled && Reason != Cause::Receivers;
}

// Runs in every daemon, so that a new coordinator need not wait anew.
void Coordinator::trackAbsences(Time Now) {
  const bool IsReachable = S.Store.isReachable(Now);
  for (const auto &[Service, Pool] : S.ByService) {
    const pool::ServicePool &Observed = *Pool;
    const GroupRecord &Record = Observed.record();
    if (Record.Unsettled.empty() && Record.Candidate.empty() &&
        Record.Receivers.empty()) {
      ContendersAbsent.erase(Service);
      ReceiversAbsent.erase(Service);
      continue;
    }
    std::vector<std::string> Contenders = Record.Unsettled;
    if (!Record.Candidate.empty())
      Contenders.push_back(Record.Candidate);
    const auto IsRegistered = [this](const std::string &Member) {
      return S.Members.contains(Member) && !S.RemovedMembers.contains(Member);
    };
    ContendersAbsent[Service].update(
        Contenders, IsRegistered, [](const std::string &) { return true; },
        IsReachable, Now);
    ReceiversAbsent[Service].update(
        Record.Receivers,
        [this](const cluster::Receiver &Each) { return isRegistered(Each); },
        [&Observed, Now](const cluster::Receiver &Each) {
          return !Observed.isSuspected(Each.Member, Now);
        },
        IsReachable, Now);
  }
}

void Coordinator::examinePrimaries(Time Now) {
  if (!isActive(Now) || S.Stopping)
    return;
  for (const auto &[Service, Pool] : S.ByService) {
    if (ChangesInProgress.contains(Service))
      continue;
    checkLead(Service, Now);
    std::vector<change::PrimaryReport> Reports;
    const Cause Reason = causeOf(Service, *Pool, Reports, Now);
    if (Reason == Cause::None || isPausedAfterLeadBack(Service, Reason, Now))
      continue;
    S.Log.write(event::ChangeStarted, Service, change::name(Reason),
                change::confirmations(Reports, Pool->record().Primary),
                S.Daemons.size());
    S.Metrics.addChange(change::name(Reason));
    ChangesInProgress.insert(Service);
    runtime::spawn(S.Io, handleChange(Service, Reason));
  }
}

Task<void> Coordinator::handleChange(std::string Service, Cause Reason) {
  const Time Start = bootTime();
  bool Done = false;
  if (Reason == Cause::NoRecord) {
    Done = co_await createRecord(Service);
  } else if (Reason == Cause::Settled) {
    Done = co_await confirmSettled(Service);
  } else if (Reason == Cause::Receivers) {
    Done = co_await confirmReceivers(Service);
  } else {
    Done = co_await confirmRecord(Service, Reason);
    if (!Done)
      Done = co_await changePrimary(Service, Reason);
  }
  if (Done) {
    const GroupRecord &Record = S.Records[Service];
    S.Log.write(event::ChangeCompleted, Service, Record.Primary,
                Record.PrimaryTerm,
                runtime::toMilliseconds(bootTime() - Start));
  } else {
    co_await runtime::sleepFor(ExaminationInterval);
  }
  ChangesInProgress.erase(Service);
}

} // namespace borageridge::entry
