#include "entry/Coordinator.h"

#include "entry/Events.h"
#include "ranking/Rank.h"
#include "platform/Promotion.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using change::Cause;
using cluster::GroupRecord;
using runtime::bootTime;
using runtime::Task;

// How often primaries are examined; well below the time that confirms a loss.
constexpr Duration Interval = std::chrono::milliseconds(100);
// A holder that is lost keeps the duty for this long.
constexpr Duration DutyTtl = std::chrono::milliseconds(3000);
constexpr Duration DutyRenewal = std::chrono::milliseconds(900);
// Daemons compete one after the other, so that one call is enough as a rule.
constexpr Duration RankDelay = std::chrono::milliseconds(60);
// Reports of peers that are older say nothing.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1200);
// Peers are asked no more often than this.
constexpr Duration MinInterval = std::chrono::milliseconds(250);

} // namespace

pool::ServicePool *Coordinator::pool(const std::string &Service) {
  const auto Found = S.ByService.find(Service);
  return Found == S.ByService.end() ? nullptr : Found->second.get();
}

bool Coordinator::holdsDuty(Time Now) const {
  return FencingToken != 0 && Duty.isValid(Now);
}

// A daemon that is cut off from the others cannot judge a primary.
bool Coordinator::seesPeers(Time Now) const {
  std::size_t Seen = 1;
  const Duration Lifetime =
      ReportLifetime - MinInterval + Others.slowestInterval();
  for (const auto &[Name, Other] : S.Peers)
    if (S.Daemons.contains(Name) && Now - Other.Last.Received < Lifetime)
      ++Seen;
  return 2 * Seen >= S.Daemons.size();
}

Task<void> Coordinator::run() {
  while (!S.Stopping) {
    const Time Now = bootTime();
    if (S.Loaded && !holdsDuty(Now)) {
      if (FencingToken != 0) {
        S.Log.write(event::DutyLost, "lease not renewed in time");
        FencingToken = 0;
      }
      if (S.Lease.isValid(Now) && S.Promoter.ModRevision == 0 && seesPeers(Now))
        co_await compete();
    } else if (holdsDuty(Now)) {
      if (!seesPeers(Now) && Running.empty())
        co_await resign("peers lost");
      else if (Now - RenewedAt >= DutyRenewal)
        co_await renew();
      evaluate(bootTime());
    }
    co_await runtime::sleepFor(Interval);
  }
}

Task<void> Coordinator::compete() {
  std::vector<ranking::ProxyIdentity> Live;
  for (const auto &[Name, D] : S.Daemons)
    Live.push_back({Name, D.AvailabilityZone});
  const unsigned Rank = ranking::rankOf(S.Settings.InstanceName, Live, "");
  co_await runtime::sleepFor(RankDelay * static_cast<int>(Rank));
  if (S.Promoter.ModRevision != 0 || S.Stopping)
    co_return;
  const Time SentAt = bootTime();
  Expected<keyvalue::LeaseGrant> Grant = co_await S.Store.grant(DutyTtl);
  if (!Grant)
    co_return;
  const std::string Key(cluster::PromoterKey);
  keyvalue::Transaction Claim;
  Claim.Conditions.push_back({Key, 0});
  Claim.Puts.push_back({Key, S.Settings.InstanceName, Grant.value().Id});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Claim));
  if (!Written || S.Stopping) {
    co_await endLease(Grant.value().Id);
    co_return;
  }
  Duty = cluster::LocalLease();
  Duty.confirm(Grant.value().Id, SentAt,
               std::chrono::milliseconds(Grant.value().TtlMs));
  RenewedAt = SentAt;
  FencingToken = Written.value();
  S.Promoter = {Key, S.Settings.InstanceName, Written.value(), Written.value(),
                Duty.id()};
  S.Log.write(event::DutyTaken, FencingToken);
}

Task<void> Coordinator::endLease(keyvalue::LeaseId Id) {
  const Expected<void> Ended = co_await S.Store.revokeLease(Id);
  // It ends by itself; others wait that long.
  if (!Ended)
    S.Log.write(event::StoreLost, "end lease", Ended.error().Detail);
}

Task<void> Coordinator::renew() {
  RenewedAt = bootTime();
  const keyvalue::LeaseId Id = Duty.id();
  const Expected<void> Renewed = co_await S.Store.renew(Id);
  if (Duty.id() != Id)
    co_return;
  if (Renewed) {
    Duty.renewed(RenewedAt);
  } else if (Renewed.error().Kind == FailureKind::NotFound) {
    S.Log.write(event::DutyLost, "lease ended at the store");
    Duty.drop();
    FencingToken = 0;
  }
}

Task<void> Coordinator::resign(std::string Why) {
  if (FencingToken == 0)
    co_return;
  S.Log.write(event::DutyLost, Why);
  FencingToken = 0;
  const keyvalue::LeaseId Id = Duty.id();
  Duty.drop();
  co_await endLease(Id);
}

change::Cause Coordinator::causeOf(const std::string &Service,
                                   pool::ServicePool &Pool,
                                   std::vector<change::PrimaryReport> &About,
                                   Time Now) {
  const GroupRecord &Record = Pool.record();
  const std::vector<catalog::Member> Members = Pool.members();
  About.push_back({Record.Primary, Pool.evidence(Record.Primary, Now)});
  for (const auto &[Name, Other] : S.Peers) {
    const auto Seen = Other.Last.About.find(Service);
    if (Now - Other.Last.Received < ReportLifetime &&
        Seen != Other.Last.About.end())
      About.push_back(Seen->second);
  }
  change::ServiceObservation Known;
  Known.Record = Record;
  Known.Members = Members;
  Known.Reports = About;
  // Where some daemons hold the connections for all, only they can tell.
  const auto Holders = S.Holders.find(Service);
  Known.LiveDaemons = std::max<std::size_t>(1, Holders == S.Holders.end()
                                                   ? S.Daemons.size()
                                                   : Holders->second.size());
  const catalog::Member *Primary = Pool.primary();
  Known.NotLeadingSince = NotLeading[Service].update(
      Record.Epoch, Primary != nullptr && !Primary->ClaimsPrimary, Now);
  Known.GoneSince = Gone[Service].update(Record.Epoch, Primary == nullptr, Now);
  return changeCause(Known, Now);
}

void Coordinator::evaluate(Time Now) {
  if (!holdsDuty(Now))
    return;
  for (const auto &[Service, Pool] : S.ByService) {
    if (Running.contains(Service))
      continue;
    std::vector<change::PrimaryReport> About;
    const Cause Why = causeOf(Service, *Pool, About, Now);
    if (Why == Cause::None)
      continue;
    S.Log.write(event::ChangeStarted, Service, change::name(Why),
                change::confirmations(About, Pool->record().Primary),
                S.Daemons.size());
    S.Metrics.addChange(change::name(Why));
    Running.insert(Service);
    runtime::spawn(S.Io, handle(Service, Why));
  }
}

Task<void> Coordinator::handle(std::string Service, Cause Why) {
  const Time Start = bootTime();
  bool Done = false;
  if (Why == Cause::NoRecord)
    Done = co_await createRecord(Service);
  else if (Why == Cause::Restarted && co_await confirmRestarted(Service))
    Done = true;
  else
    Done = co_await change(Service, Why);
  if (Done) {
    const GroupRecord &Record = S.Records[Service];
    S.Log.write(event::ChangeCompleted, Service, Record.Primary,
                Record.PrimaryTerm,
                runtime::toMilliseconds(bootTime() - Start));
  } else {
    co_await runtime::sleepFor(Interval);
  }
  Running.erase(Service);
}

} // namespace borageridge::entry
