#include "entry/StoreView.h"

#include "entry/Events.h"
#include "platform/Registry.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <set>
#include <utility>

namespace borageridge::entry {
namespace {

using keyvalue::Change;
using keyvalue::Item;
using runtime::bootTime;
using runtime::Task;

// A pause after each watch collects several changes in one answer, which costs
// fewer calls than one per change. It is proportional to the number of daemons,
// so that the total number of calls does not grow with the fleet. Its maximum
// is about a fifth of the time within which a new configuration must be
// applied.
constexpr Duration WatchPausePerDaemon = std::chrono::milliseconds(20);
constexpr Duration MaxWatchPause = std::chrono::milliseconds(800);
// Longer, because daemons join and leave often in a large fleet, and changes of
// primary are sent to peers directly.
constexpr Duration MaxFleetPause = std::chrono::milliseconds(1500);
constexpr Duration RegistrationWatchPause = std::chrono::milliseconds(100);
// Members are polled, because they rewrite their entries so often, mostly
// unchanged, that a watch would return at once. A read that may be stale costs
// a tenth of a call.
constexpr Duration MembersInterval = std::chrono::milliseconds(500);
// After a start or an outage, members whose entries expired register again
// within two seconds, and a read that may be stale can lag by as much.
constexpr Duration ReRegistrationPeriod = std::chrono::milliseconds(4000);
// Fleets in which the reads of all daemons after an outage are a load.
constexpr std::size_t MinDaemonsForRareReads = 24;
// For daemons that hold no connections to members.
constexpr Duration NonHolderMembersInterval = std::chrono::milliseconds(3000);
// While the store is unreachable, only the cheap reads of members are retried;
// other calls wait until one of them succeeds.
constexpr Duration FailurePause = std::chrono::milliseconds(150);
constexpr Duration MaxFailurePause = std::chrono::milliseconds(1000);
// Entries that expired in an outage are back two seconds after the store is
// reachable again.
constexpr Duration RemovalGracePeriod = std::chrono::milliseconds(2300);

// After the store has been restored, each daemon notices it with the next
// renewal of its lease at the latest, and registers again.
constexpr Duration ReRegistrationTime = std::chrono::milliseconds(2500);
// All daemons register within this time after an outage in which they lost
// their leases.
constexpr Duration FleetRegistrationTime = std::chrono::milliseconds(600);

// Pause before a task that the daemon needs is started again after an error.
constexpr Duration TaskRestartDelay = std::chrono::milliseconds(100);

std::string_view suffix(std::string_view Key, std::string_view Prefix) {
  return Key.substr(Prefix.size());
}

} // namespace

void applyRecord(State &S, const std::string &Service,
                 const cluster::GroupRecord &Newer) {
  cluster::GroupRecord &Known = S.Records[Service];
  if (Newer.Epoch <= Known.Epoch)
    return;
  Known = Newer;
  const auto Found = S.ByService.find(Service);
  if (Found != S.ByService.end())
    runtime::spawn(S.Io, Found->second->drainAndSetRecord(Newer, DrainTimeout));
}

Task<void> keepRunning(State &S, std::string Name,
                       std::function<Task<void>()> Run) {
  const auto OnError = [&S, Name](std::string_view Error) {
    S.Log.write(event::TaskFailed, Name, Error);
  };
  co_await runtime::keepRunning(std::move(Run), OnError, TaskRestartDelay);
}

void StoreView::recordStoreResult(std::string_view Call, const Failure *Failed,
                                  Time Now) {
  if (Failed != nullptr && !StoreUnreachableSince) {
    StoreUnreachableSince = Now;
    S.Log.write(event::StoreLost, Call, Failed->Detail);
  }
  if (Failed == nullptr && StoreUnreachableSince) {
    S.Log.write(event::StoreRegained,
                runtime::toMilliseconds(Now - *StoreUnreachableSince));
    StoreUnreachableSince.reset();
  }
}

Task<void> StoreView::run() {
  Random.seed(static_cast<std::minstd_rand::result_type>(
      S.Incarnation ^ std::hash<std::string>()(S.Settings.InstanceName)));
  const auto Keep = [this](const char *Name,
                           std::function<Task<void>()> Follow) {
    runtime::spawn(S.Io, keepRunning(S, Name, std::move(Follow)));
  };
  Keep("configuration",
       [this] { return follow(platform::ConfigPrefix, ConfigLoaded); });
  Keep("fleet", [this] { return follow(cluster::KeyPrefix, FleetLoaded); });
  Keep("configuration age", [this] { return keepConfigRecent(); });
  Keep("configuration of peers", [this] { return followPeerConfigVersions(); });
  co_await keepRunning(S, "members", [this] { return pollMembers(); });
}

Duration StoreView::pauseAfterWatch(std::string_view Prefix, Time Now) const {
  if (Now < S.FleetKnownFrom)
    return RegistrationWatchPause;
  const Duration Limit =
      Prefix == cluster::KeyPrefix ? MaxFleetPause : MaxWatchPause;
  return std::min<Duration>(Limit, WatchPausePerDaemon *
                                       static_cast<int>(S.Shared.LiveDaemons));
}

Task<void> StoreView::follow(std::string_view Prefix, bool &Complete) {
  std::optional<keyvalue::WatchPosition> From;
  for (;;) {
    if (!From) {
      Expected<keyvalue::WatchPosition> Read = co_await load(Prefix);
      recordStoreResult("range", Read ? nullptr : &Read.error(), bootTime());
      if (!Read) {
        co_await S.Store.waitUntilReachable(MaxFailurePause);
        continue;
      }
      Complete = true;
      updateLoaded(bootTime());
      if (Prefix == cluster::KeyPrefix && bootTime() < KeepDaemonsUntil) {
        co_await runtime::sleepFor(KeepDaemonsUntil - bootTime());
        continue;
      }
      From = Read.value();
    }
    const Duration Wait = watchTimeout(Prefix);
    if (Prefix == platform::ConfigPrefix)
      ConfigFrom = From;
    const Time AskedAt = bootTime();
    Expected<keyvalue::WatchResult> Seen =
        co_await S.Store.watch(std::string(Prefix), *From, Wait);
    const Time Now = bootTime();
    recordStoreResult("watch", Seen ? nullptr : &Seen.error(), Now);
    if (!Seen) {
      co_await S.Store.waitUntilReachable(MaxFailurePause);
      continue;
    }
    if (Seen.value().Compacted) {
      From.reset();
      continue;
    }
    for (const Change &C : Seen.value().Changes)
      apply(C);
    publishMembers(Now);
    if (Prefix == platform::ConfigPrefix)
      confirmConfig(AskedAt);
    From->After = std::max(From->After, Seen.value().StoreRevision);
    if (!Seen.value().Changes.empty())
      co_await runtime::sleepFor(pauseAfterWatch(Prefix, Now));
  }
}

// The active coordinator reads the newest entries: a stale entry may not show
// yet that a member has become primary.
Task<void> StoreView::pollMembers() {
  std::optional<Time> ReachableSince;
  for (;;) {
    const bool IsRecent =
        ReachableSince && bootTime() - *ReachableSince < ReRegistrationPeriod;
    const bool IsCoordinator = S.Promoter.Value == S.Settings.InstanceName;
    Expected<keyvalue::RangePage> Page = co_await S.Store.range(
        std::string(platform::MemberPrefix),
        IsRecent || IsCoordinator ? keyvalue::ReadMode::Latest
                                  : keyvalue::ReadMode::AllowStale);
    const Time Now = bootTime();
    recordStoreResult("range", Page ? nullptr : &Page.error(), Now);
    if (!Page) {
      ReachableSince.reset();
      co_await runtime::sleepFor(FailurePause);
      continue;
    }
    const bool First = !ReachableSince;
    if (First)
      ReachableSince = Now;
    applyMembers(Page.value(), Now);
    MembersReadAt = Now;
    updateLoaded(Now);
    // Until the fleet is known, this daemon may become a connection holder. In
    // a small fleet all daemons read the members that register again.
    const bool Soon =
        First || IsCoordinator || holdsConnections() ||
        Now < S.FleetKnownFrom ||
        (IsRecent && S.Shared.LiveDaemons < MinDaemonsForRareReads);
    const Time NextAt =
        Now + (Soon ? MembersInterval : NonHolderMembersInterval);
    // A daemon that becomes a connection holder needs the members at once.
    do
      co_await runtime::sleepFor(MembersInterval);
    while (bootTime() < NextAt && !holdsConnections());
  }
}

bool StoreView::holdsConnections() const {
  return std::any_of(
      S.ByService.begin(), S.ByService.end(),
      [](const auto &Entry) { return Entry.second->isConnectionHolder(); });
}

void StoreView::applyMembers(const keyvalue::RangePage &Page, Time Now) {
  const cluster::EntryTracker::Difference Seen =
      MemberEntries.update(Page, Now);
  for (const Item &Written : Seen.Written)
    applyMember(Written);
  for (const std::string &Key : Seen.Absent) {
    const std::string Id(suffix(Key, platform::MemberPrefix));
    if (S.Members.contains(Id))
      S.RemovedMembers.emplace(Id, Now);
  }
  publishMembers(Now);
}

void StoreView::updateLoaded(Time Now) {
  if (S.Loaded || !ConfigLoaded || !FleetLoaded || !MembersReadAt)
    return;
  // An entry left by this daemon's previous process shows that the store has
  // not lost the leases of the other daemons either.
  if (!S.Daemons.contains(S.Settings.InstanceName))
    S.FleetKnownFrom = Now + FleetRegistrationTime;
  S.Loaded = true;
}

// After a restore, the daemons register again, so that the absence of an entry
// says nothing at first, and nobody holds the lease of the coordinator.
void StoreView::noteFleetEra(keyvalue::Era Era, Time Now) {
  if (Era == FleetEra)
    return;
  if (FleetEra) {
    KeepDaemonsUntil = Now + ReRegistrationTime;
    S.Promoter = Item();
    S.Counters = quota::CounterMap();
  }
  FleetEra = Era;
}

Task<Expected<keyvalue::WatchPosition>>
StoreView::load(std::string_view Prefix) {
  const Time AskedAt = bootTime();
  Expected<keyvalue::RangePage> Page =
      co_await S.Store.range(std::string(Prefix));
  if (!Page)
    co_return std::move(Page).error();
  const Time Now = bootTime();
  if (Prefix == cluster::KeyPrefix)
    noteFleetEra(Page.value().StoreEra, Now);
  std::set<std::string> Present;
  for (const Item &Read : Page.value().Items) {
    Present.insert(Read.Key);
    apply({Read, false});
  }
  const auto Absent = [&](const std::string &Key) {
    if (Present.contains(Key))
      return;
    Change Removal;
    Removal.Removed = true;
    Removal.Written.Key = Key;
    Removal.Written.ModRevision = Page.value().StoreRevision;
    apply(Removal);
  };
  if (Prefix == cluster::KeyPrefix) {
    std::set<std::string> Daemons = {S.Settings.InstanceName};
    for (const auto &[Name, D] : S.Daemons)
      Daemons.insert(Name);
    for (const std::string &Name : Daemons)
      if (Now >= KeepDaemonsUntil)
        Absent(std::string(cluster::DaemonPrefix) + Name);
    Absent(std::string(cluster::PromoterKey));
    for (const std::string &Key : S.Counters.keys())
      Absent(Key);
  }
  publishMembers(Now);
  if (Prefix == platform::ConfigPrefix) {
    if (!Present.contains(std::string(platform::ConfigKey)))
      NewestConfigApplied = false;
    confirmConfig(AskedAt);
  }
  co_return keyvalue::WatchPosition{Page.value().StoreEra,
                                    Page.value().StoreRevision};
}

Task<Expected<void>> StoreView::refreshRecords() {
  Expected<keyvalue::RangePage> Page =
      co_await S.Store.range(std::string(cluster::GroupPrefix));
  if (!Page)
    co_return std::move(Page).error();
  for (const Item &Read : Page.value().Items)
    apply({Read, false});
  co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void StoreView::apply(const Change &Seen) {
  const std::string_view Key = Seen.Written.Key;
  if (Key == platform::ConfigKey) {
    if (!Seen.Removed)
      applyConfig(Seen.Written);
  } else if (Key.starts_with(cluster::DaemonPrefix)) {
    applyDaemon(Seen);
  } else if (Key.starts_with(cluster::CounterPrefix)) {
    S.Counters.apply(Seen);
  } else if (Key == cluster::PromoterKey) {
    if (Seen.Written.ModRevision >= S.Promoter.ModRevision)
      S.Promoter = Seen.Removed ? Item() : Seen.Written;
  } else if (Key.starts_with(cluster::GroupPrefix) && !Seen.Removed) {
    const Expected<cluster::GroupRecord> Record =
        cluster::decodeGroup(Seen.Written.Value, Seen.Written.ModRevision);
    if (Record)
      applyRecord(S, std::string(suffix(Key, cluster::GroupPrefix)),
                  Record.value());
    else
      S.Log.write(event::EntryIgnored, Key, Record.error().Detail);
  }
}

void StoreView::applyMember(const Item &Written) {
  const std::string Id(suffix(Written.Key, platform::MemberPrefix));
  Expected<catalog::Member> Member = platform::decodeMember(Id, Written.Value);
  // An entry that names no member counts as absent, also if it named one
  // before.
  if (!Member) {
    if (IgnoredEntryLog.tryAcquire(bootTime()))
      S.Log.write(event::EntryIgnored, Written.Key, Member.error().Detail);
    if (S.Members.contains(Id))
      S.RemovedMembers.emplace(Id, bootTime());
    return;
  }
  S.RemovedMembers.erase(Id);
  catalog::Member &Known = S.Members[Id];
  if (Known == Member.value())
    return;
  // A member that leaves does not come back in the same incarnation, so an
  // entry that says otherwise is older.
  const bool StillLeaving = Known.Leaving && Known.Incarnation != 0 &&
                            Known.Incarnation == Member.value().Incarnation;
  Known = std::move(Member).value();
  Known.Leaving = Known.Leaving || StillLeaving;
  MembersChanged = true;
}

void StoreView::applyDaemon(const Change &Seen) {
  const std::string Name(suffix(Seen.Written.Key, cluster::DaemonPrefix));
  if (Name == S.Settings.InstanceName)
    S.Entry.seen(cluster::makeEpoch(S.Store.era(), Seen.Written.ModRevision),
                 Seen.Removed ? 0 : Seen.Written.Lease);
  if (Seen.Removed) {
    S.Daemons.erase(Name);
    S.HolderRanking.remove(Name);
    S.PeersToCheck.insert(Name);
    return;
  }
  const Expected<cluster::DaemonRecord> Record =
      cluster::decodeDaemon(Seen.Written.Value);
  if (!Record) {
    S.Log.write(event::EntryIgnored, Seen.Written.Key, Record.error().Detail);
    return;
  }
  runtime::error_code Error;
  const auto Ip = runtime::asio::ip::make_address_v4(Record.value().Ip, Error);
  if (Error) {
    S.Log.write(event::EntryIgnored, Seen.Written.Key, "invalid address");
    return;
  }
  S.Daemons[Name] = Record.value();
  S.HolderRanking.add(Record.value());
  if (Name == S.Settings.InstanceName)
    return;
  Peer &Other = S.Peers[Name];
  if (Other.Channel && Other.Record == Record.value())
    return;
  Other.Record = Record.value();
  Other.Channel = std::make_shared<peer::PeerChannel>(
      S.Io, runtime::tcp::endpoint(Ip, Record.value().PeerPort));
  Other.LastReport = PeerReport();
  Other.Unreachable = false;
}

void StoreView::publishMembers(Time Now) {
  if (!MembersChanged)
    return;
  MembersChanged = false;
  std::map<std::string, std::vector<catalog::Member>> ByService;
  for (const auto &[Id, M] : S.Members)
    ByService[M.Service].push_back(M);
  for (const auto &[Name, Pool] : S.ByService)
    Pool->setMembers(std::move(ByService[Name]), Now, MembersReadAt);
}

void StoreView::tick(Time Now) {
  const keyvalue::Era Former = std::exchange(EraAtLastTick, S.Store.era());
  if (S.Loaded && Former != EraAtLastTick)
    S.Log.write(event::StoreRestored, EraAtLastTick, Former);
  for (auto It = S.RemovedMembers.begin(); It != S.RemovedMembers.end();) {
    if (Now - It->second < RemovalGracePeriod || StoreUnreachableSince) {
      if (StoreUnreachableSince)
        It->second = Now;
      ++It;
      continue;
    }
    S.Members.erase(It->first);
    It = S.RemovedMembers.erase(It);
    MembersChanged = true;
  }
  publishMembers(Now);
}

} // namespace borageridge::entry
