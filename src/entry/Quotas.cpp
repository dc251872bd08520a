#include "entry/Quotas.h"

#include "entry/Events.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <array>
#include <utility>

namespace borageridge::entry {
namespace {

using quota::CounterNumber;
using runtime::bootTime;
using runtime::Task;

constexpr Duration ExaminationInterval = std::chrono::milliseconds(100);
// Outages of the store that are shorter than this, less one interval between
// renewals, do not interrupt the counters.
constexpr Duration LeaseTtl = std::chrono::milliseconds(5000);
constexpr Duration LeaseRenewalInterval = std::chrono::milliseconds(1000);
// Daemons try to acquire a counter in order of rank with this delay between
// them, so that usually only one call to the store is needed.
constexpr Duration RankDelay = std::chrono::milliseconds(60);
constexpr std::size_t MaxDelayedRank = 40;
// Many round trips between availability zones. The operation waits meanwhile,
// and two counters may be silent before the third answers.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(60);
constexpr Duration AvoidancePeriod = std::chrono::milliseconds(1000);

} // namespace

Quotas::Quotas(State &Shared)
    : S(Shared), Allowed{Shared.Settings.QuotaWindow,
                         Shared.Settings.QuotaOverage,
                         Shared.Settings.QuotaSlack} {}

std::optional<quota::RateLimit>
Quotas::limitOf(std::string_view Organisation) const {
  const catalog::Catalog &Config = S.StatementExecutor.catalog();
  const auto Found = Config.Organisations.find(Organisation);
  if (Found == Config.Organisations.end() || !Found->second.RatePerSecond)
    return std::nullopt;
  return quota::RateLimit{*Found->second.RatePerSecond, Found->second.Burst};
}

std::size_t Quotas::counterCount() const {
  return quota::counterCount(
      S.StatementExecutor.catalog().Organisations.size());
}

bool Quotas::hasLimits() const {
  const auto &Known = S.StatementExecutor.catalog().Organisations;
  return std::any_of(Known.begin(), Known.end(), [](const auto &Entry) {
    return Entry.second.RatePerSecond.has_value();
  });
}

bool Quotas::isHolder(CounterNumber Counter, Time Now) const {
  const auto Found = Held.find(Counter);
  return Found != Held.end() && Found->second.Lease.isValid(Now) &&
         Found->second.Lease.era() == S.Store.era();
}

void Quotas::lose(CounterNumber Counter, std::string_view Cause) {
  if (Held.erase(Counter) != 0)
    S.Log.write(event::CounterLost, Counter, Cause);
}

Task<void> Quotas::run() {
  for (;;) {
    co_await runtime::sleepFor(ExaminationInterval);
    if (!S.Loaded || Released || (!hasLimits() && Held.empty()))
      continue;
    for (CounterNumber Counter = 0; Counter < counterCount(); ++Counter)
      examine(Counter, bootTime());
  }
}

void Quotas::examine(CounterNumber Counter, Time Now) {
  const auto Found = Held.find(Counter);
  if (Found != Held.end()) {
    if (S.Counters.entry(Counter).ModRevision != Found->second.EntryRevision)
      lose(Counter, "another daemon holds the entry, or it is gone");
    else if (!isHolder(Counter, Now))
      lose(Counter, "lease not renewed in time");
  }
  if (Busy.contains(Counter))
    return;
  if (!Held.contains(Counter)) {
    if (!mayAcquire(Counter, Now))
      return;
    Busy.insert(Counter);
    runtime::spawn(S.Io,
                   acquire(Counter, S.Counters.entry(Counter).ModRevision));
  } else if (Now - Found->second.RenewedAt >= LeaseRenewalInterval) {
    Busy.insert(Counter);
    runtime::spawn(S.Io, renew(Counter));
  }
}

// An entry under the own name is that of an earlier process on this instance,
// which has ended. A restored store has lost the leases of holders that may
// still grant tokens.
bool Quotas::mayAcquire(CounterNumber Counter, Time Now) {
  if (S.Stopping || !S.Daemons.contains(S.Settings.InstanceName) ||
      (S.Store.era() != keyvalue::FirstEra &&
       Now - S.Store.eraSeenAt() < LeaseTtl))
    return false;
  const keyvalue::Item &Entry = S.Counters.entry(Counter);
  if (Entry.ModRevision != 0) {
    VacantSince.erase(Counter);
    return Entry.Value == S.Settings.InstanceName;
  }
  const Time Since = VacantSince.try_emplace(Counter, Now).first->second;
  const std::size_t Rank =
      std::min(MaxDelayedRank,
               quota::rankFor(Counter, S.Settings.InstanceName, S.Daemons));
  return Now - Since >= RankDelay * static_cast<int>(Rank);
}

// The condition is what was seen when the counter was found vacant: another
// daemon may take it while the lease is granted.
Task<void> Quotas::acquire(CounterNumber Counter, keyvalue::Revision Entry) {
  const Time SentAt = bootTime();
  const Expected<keyvalue::LeaseGrant> Grant = co_await S.Store.grant(LeaseTtl);
  if (!Grant) {
    Busy.erase(Counter);
    co_return;
  }
  const std::string Key = quota::counterKey(Counter);
  keyvalue::Transaction Claim;
  Claim.StoreEra = Grant.value().StoreEra;
  Claim.Conditions.push_back({Key, Entry});
  Claim.Puts.push_back({Key, S.Settings.InstanceName, Grant.value().Id});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Claim));
  VacantSince.erase(Counter);
  if (!Written || S.Stopping) {
    co_await endLease(Grant.value().Id, Grant.value().StoreEra);
    Busy.erase(Counter);
    co_return;
  }
  const Time Now = bootTime();
  HeldCounter New{{}, Written.value(), SentAt, {Allowed, Now}};
  New.Lease.confirm(Grant.value().Id, SentAt,
                    std::chrono::milliseconds(Grant.value().TtlMs),
                    Grant.value().StoreEra);
  Held.insert_or_assign(Counter, std::move(New));
  keyvalue::Change Own;
  Own.Written = {Key, S.Settings.InstanceName, Written.value(), Written.value(),
                 Grant.value().Id};
  S.Counters.apply(Own);
  S.Log.write(event::CounterTaken, Counter, Written.value());
  Busy.erase(Counter);
}

Task<void> Quotas::renew(CounterNumber Counter) {
  const auto Asked = Held.find(Counter);
  if (Asked == Held.end()) {
    Busy.erase(Counter);
    co_return;
  }
  const Time SentAt = bootTime();
  Asked->second.RenewedAt = SentAt;
  const keyvalue::LeaseId Id = Asked->second.Lease.id();
  const Expected<void> Renewed =
      co_await S.Store.renew(Id, Asked->second.Lease.era());
  Busy.erase(Counter);
  const auto Found = Held.find(Counter);
  if (Found == Held.end() || Found->second.Lease.id() != Id)
    co_return;
  if (Renewed)
    Found->second.Lease.renewed(SentAt);
  else if (Renewed.error().Kind == FailureKind::NotFound)
    lose(Counter, "lease ended at the store");
}

Task<void> Quotas::endLease(keyvalue::LeaseId Id, keyvalue::Era GrantedIn) {
  const Expected<void> Ended = co_await S.Store.revokeLease(Id, GrantedIn);
  // The lease then expires by itself; other daemons wait until it does.
  if (!Ended)
    S.Log.write(event::StoreLost, "end lease", Ended.error().Detail);
}

Task<void> Quotas::release() {
  Released = true;
  std::vector<cluster::LocalLease> Leases;
  for (const auto &[Counter, Own] : Held)
    Leases.push_back(Own.Lease);
  while (!Held.empty())
    lose(Held.begin()->first, "stopping");
  for (const cluster::LocalLease &Lease : Leases)
    co_await endLease(Lease.id(), Lease.era());
}

peer::QuotaReply Quotas::answer(const peer::QuotaRequest &Asked) {
  const Time Now = bootTime();
  const auto Limit = limitOf(Asked.Organisation);
  const auto Counters = quota::countersOf(Asked.Organisation, counterCount());
  const bool IsAssigned = std::find(Counters.begin(), Counters.end(),
                                    Asked.Counter) != Counters.end();
  if (!Limit || !IsAssigned || !isHolder(Asked.Counter, Now))
    return {};
  return {true,
          Held.at(Asked.Counter)
              .Grants.grant(Asked.Organisation, *Limit, Asked.Wanted, Now)};
}

// The counter in the own availability zone, to save messages between zones.
std::size_t Quotas::nearestCounter(const std::string &Organisation) const {
  const auto Counters = quota::countersOf(Organisation, counterCount());
  for (std::size_t I = 0; I < Counters.size(); ++I) {
    const auto Holder = S.Daemons.find(S.Counters.entry(Counters[I]).Value);
    if (Holder != S.Daemons.end() &&
        Holder->second.AvailabilityZone == S.Settings.AvailabilityZone)
      return I;
  }
  return 0;
}

Quotas::Account &Quotas::accountOf(const std::string &Organisation) {
  const auto Found = Accounts.find(Organisation);
  if (Found != Accounts.end())
    return Found->second;
  Account &Own = Accounts.emplace(Organisation, quota::tokenLifetime(Allowed))
                     .first->second;
  Own.FirstCounter = nearestCounter(Organisation);
  return Own;
}

Task<bool> Quotas::admit(std::string Organisation, Time Deadline) {
  if (!limitOf(Organisation))
    co_return true;
  Account &Own = accountOf(Organisation);
  Time Now = bootTime();
  Own.Tokens.noteArrival(Now);
  while (!Own.Tokens.take(Now)) {
    // A planned stop may shorten the wait.
    const Time End = std::min(Deadline, S.StatementExecutor.latestAnswer());
    if (Own.Tokens.isDenied(Now) || Now >= End) {
      S.Metrics.addQuotaDecision(Organisation, false);
      co_return false;
    }
    const auto Ready = std::make_shared<runtime::Event>(S.Io);
    Own.Waiting.push_back(Ready);
    if (!std::exchange(Own.IsAsking, true))
      runtime::spawn(S.Io, ask(Organisation));
    co_await Ready->wait(End - Now);
    std::erase(Own.Waiting, Ready);
    Now = bootTime();
  }
  S.Metrics.addQuotaDecision(Organisation, true);
  if (Own.Tokens.isRunningLow(Now) && !Own.Tokens.isDenied(Now) &&
      !std::exchange(Own.IsAsking, true))
    runtime::spawn(S.Io, ask(Organisation));
  co_return true;
}

// Only the first counter is asked for tokens in advance; the others are asked
// for what the waiting operations still need.
Task<void> Quotas::ask(std::string Organisation) {
  Account &Own = accountOf(Organisation);
  // Also if an exception ends this coroutine.
  const std::shared_ptr<void> Done(nullptr, [&Own](void *) {
    Own.IsAsking = false;
    for (const auto &Waiter : Own.Waiting)
      Waiter->notify();
  });
  const auto Counters = quota::countersOf(Organisation, counterCount());
  auto Needed = static_cast<std::uint32_t>(Own.Waiting.size());
  std::uint32_t Wanted = Own.Tokens.wanted(Needed, bootTime());
  for (std::size_t I = 0; I < Counters.size() && Wanted > 0; ++I) {
    const std::size_t Index = (Own.FirstCounter + I) % Counters.size();
    const Time AskedAt = bootTime();
    const std::optional<std::uint32_t> Granted =
        co_await request(Counters[Index], Organisation, Wanted);
    if (!Granted)
      continue;
    Own.Tokens.add(*Granted, AskedAt);
    if (*Granted >= Needed) {
      Own.FirstCounter = Index;
      Needed = 0;
      break;
    }
    Needed -= *Granted;
    Wanted = Needed;
  }
  if (Needed > 0)
    Own.Tokens.deny(bootTime());
}

Task<std::optional<std::uint32_t>> Quotas::request(CounterNumber Counter,
                                                   std::string Organisation,
                                                   std::uint32_t Wanted) {
  const peer::QuotaRequest Asked{Counter, std::move(Organisation), Wanted};
  const std::string Holder = S.Counters.entry(Counter).Value;
  peer::QuotaReply Reply;
  if (Holder == S.Settings.InstanceName) {
    Reply = answer(Asked);
  } else {
    const auto Found = S.Peers.find(Holder);
    if (Found == S.Peers.end() || Found->second.Unreachable ||
        bootTime() < AvoidUntil[Counter])
      co_return std::nullopt;
    const auto Channel = Found->second.Channel;
    const Expected<peer::Message> Answer =
        co_await Channel->request(encode(Asked), AnswerTimeout);
    const Expected<peer::QuotaReply> Decoded =
        Answer ? peer::decodeQuotaReply(Answer.value())
               : Expected<peer::QuotaReply>(Answer.error());
    if (!Decoded) {
      AvoidUntil[Counter] = bootTime() + AvoidancePeriod;
      S.PeersToCheck.insert(Holder);
      co_return std::nullopt;
    }
    Reply = Decoded.value();
  }
  if (!Reply.IsHolder)
    co_return std::nullopt;
  co_return std::min(Reply.Granted, Wanted);
}

} // namespace borageridge::entry
