#include "entry/StoreView.h"

#include "entry/Events.h"
#include "platform/Registry.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <set>

namespace borageridge::entry {
namespace {

using keyvalue::Change;
using keyvalue::Item;
using runtime::bootTime;
using runtime::Task;

// Each wait costs one call. The answer may be lost with the connection; peers
// tell of newer group records, and live daemons renew their leases all the
// same.
constexpr Duration WatchWait = std::chrono::seconds(10);
// Half of the time in which a configuration must be in force.
constexpr Duration ShortWatchWait = std::chrono::milliseconds(2500);
constexpr std::size_t FewDaemons = 3;
constexpr Duration HintInterval = std::chrono::milliseconds(100);
// Answers that carry many changes at once cost less than one call for each.
// Each daemon pauses in proportion to the fleet, so that the calls of all do
// not grow with it; the limit is a fifth of the time in which a configuration
// must be in force.
constexpr Duration WatchPausePerDaemon = std::chrono::milliseconds(20);
constexpr Duration MaxWatchPause = std::chrono::milliseconds(800);
// Daemons come and go often in a large fleet; changes of primary are told to
// peers directly.
constexpr Duration MaxFleetPause = std::chrono::milliseconds(1500);
constexpr Duration SettlingPause = std::chrono::milliseconds(100);
// Members write their entries more often than anything in them changes, so a
// watch would not wait; a read that may be old costs a tenth of a call.
constexpr Duration MembersInterval = std::chrono::milliseconds(500);
// After a start or an outage, entries that lapsed come back within two seconds,
// and a read may be as old again.
constexpr Duration Reentry = std::chrono::milliseconds(4000);
// For daemons that hold no connections to members.
constexpr Duration SpareMembersInterval = std::chrono::milliseconds(3000);
// While the store is down, the cheap reads of members find out when it is back;
// the other calls wait for them.
constexpr Duration FailurePause = std::chrono::milliseconds(150);
constexpr Duration MaxFailurePause = std::chrono::milliseconds(1000);
// Entries that lapsed with the store are back two seconds after its return.
constexpr Duration VanishedGrace = std::chrono::milliseconds(2300);

// All daemons register within this time after an outage in which they and their
// leases were lost.
constexpr Duration FleetSettling = std::chrono::milliseconds(600);

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
    runtime::spawn(S.Io, Found->second->drainAndSetRecord(Newer, DrainLimit));
}

void StoreView::noteResult(std::string_view Call, const Failure *Failed,
                           Time Now) {
  if (Failed != nullptr && !LostSince) {
    LostSince = Now;
    S.Log.write(event::StoreLost, Call, Failed->Detail);
  }
  if (Failed == nullptr && LostSince) {
    S.Log.write(event::StoreRegained,
                runtime::toMilliseconds(Now - *LostSince));
    LostSince.reset();
  }
}

Task<void> StoreView::run() {
  runtime::spawn(S.Io, follow(platform::ConfigPrefix, ConfigLoaded));
  runtime::spawn(S.Io, follow(cluster::KeyPrefix, FleetLoaded));
  runtime::spawn(S.Io, followHints());
  co_await pollMembers();
}

Duration StoreView::watchPause(std::string_view Prefix, Time Now) const {
  if (Now < S.FleetKnownFrom)
    return SettlingPause;
  const Duration Limit =
      Prefix == cluster::KeyPrefix ? MaxFleetPause : MaxWatchPause;
  return std::min<Duration>(Limit, WatchPausePerDaemon *
                                       static_cast<int>(S.Shared.LiveDaemons));
}

Task<void> StoreView::follow(std::string_view Prefix, bool &Complete) {
  keyvalue::Revision At = 0;
  for (;;) {
    if (At == 0) {
      Expected<keyvalue::Revision> Read = co_await load(Prefix);
      noteResult("range", Read ? nullptr : &Read.error(), bootTime());
      if (!Read) {
        co_await S.Store.waitUntilReachable(MaxFailurePause);
        continue;
      }
      At = Read.value();
      Complete = true;
      noteLoaded(bootTime());
    }
    const bool MayBeLong = Prefix == cluster::KeyPrefix &&
                           S.Store.isReachable(bootTime()) &&
                           S.Shared.LiveDaemons >= FewDaemons;
    const Duration Wait = MayBeLong ? WatchWait : ShortWatchWait;
    Expected<keyvalue::WatchResult> Seen =
        co_await S.Store.watch(std::string(Prefix), At, Wait);
    const Time Now = bootTime();
    noteResult("watch", Seen ? nullptr : &Seen.error(), Now);
    if (!Seen) {
      co_await S.Store.waitUntilReachable(MaxFailurePause);
      continue;
    }
    if (Seen.value().Compacted) {
      At = 0;
      continue;
    }
    for (const Change &C : Seen.value().Changes)
      apply(C);
    publishMembers(Now);
    At = std::max(At, Seen.value().StoreRevision);
    if (!Seen.value().Changes.empty())
      co_await runtime::sleepFor(watchPause(Prefix, Now));
  }
}

Task<void> StoreView::followHints() {
  for (;;) {
    co_await runtime::sleepFor(HintInterval);
    if (S.NewestConfigSeen <= S.Runner.catalog().Version || !S.Loaded)
      continue;
    const Expected<keyvalue::Revision> Read =
        co_await load(platform::ConfigPrefix);
    if (!Read)
      co_await runtime::sleepFor(FailurePause);
  }
}

// The daemon that replaces primaries needs the newest entries: an old one may
// deny a primary that leads by now.
Task<void> StoreView::pollMembers() {
  std::optional<Time> Regained;
  for (;;) {
    const bool Fresh = Regained && bootTime() - *Regained < Reentry;
    const bool Decides = S.Promoter.Value == S.Settings.InstanceName;
    Expected<keyvalue::RangePage> Page = co_await S.Store.range(
        std::string(platform::MemberPrefix),
        Fresh || Decides ? keyvalue::ReadMode::Latest
                         : keyvalue::ReadMode::AllowStale);
    const Time Now = bootTime();
    noteResult("range", Page ? nullptr : &Page.error(), Now);
    if (!Page) {
      Regained.reset();
      co_await runtime::sleepFor(FailurePause);
      continue;
    }
    const bool First = !Regained;
    if (First)
      Regained = Now;
    applyMembers(Page.value(), Now);
    MembersLoaded = true;
    noteLoaded(Now);
    const bool Soon = First || Fresh || Decides || holdsConnections();
    co_await runtime::sleepFor(Soon ? MembersInterval : SpareMembersInterval);
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
      S.Vanished.emplace(Id, Now);
  }
  publishMembers(Now);
}

void StoreView::noteLoaded(Time Now) {
  if (S.Loaded || !ConfigLoaded || !FleetLoaded || !MembersLoaded)
    return;
  // An entry of this daemon's former process shows that the leases of the
  // others have not lapsed either.
  if (!S.Daemons.contains(S.Settings.InstanceName))
    S.FleetKnownFrom = Now + FleetSettling;
  S.Loaded = true;
}

Task<Expected<keyvalue::Revision>> StoreView::load(std::string_view Prefix) {
  Expected<keyvalue::RangePage> Page =
      co_await S.Store.range(std::string(Prefix));
  if (!Page)
    co_return std::move(Page).error();
  const Time Now = bootTime();
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
    const auto Daemons = S.Daemons;
    for (const auto &[Name, D] : Daemons)
      Absent(std::string(cluster::DaemonPrefix) + Name);
    Absent(std::string(cluster::PromoterKey));
  }
  publishMembers(Now);
  co_return Page.value().StoreRevision;
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
  } else if (Key == cluster::PromoterKey) {
    if (Seen.Written.ModRevision >= S.Promoter.ModRevision || !Seen.Removed)
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

void StoreView::applyConfig(const Item &Written) {
  if (Written.ModRevision <= ConfigRevision)
    return;
  Expected<catalog::Catalog> Config = platform::decodeCatalog(Written.Value);
  if (!Config) {
    S.Log.write(event::EntryIgnored, Written.Key, Config.error().Detail);
    return;
  }
  ConfigRevision = Written.ModRevision;
  const catalog::Catalog &Newer = Config.value();
  if (Newer.Version < S.Runner.catalog().Version)
    return;
  S.Log.write(event::ConfigApplied, Newer.Version,
              Newer.RoutesByDatabase.size(), Newer.Services.size());
  for (const auto &[Name, Spec] : Newer.Services) {
    auto &Pool = S.ByService[Name];
    if (!Pool) {
      Pool = std::make_unique<pool::ServicePool>(S.Shared, Name);
      if (const auto Record = S.Records.find(Name); Record != S.Records.end())
        Pool->setRecord(Record->second, bootTime());
      MembersChanged = true;
    }
    Pool->setSpec(Spec);
  }
  S.Runner.setCatalog(std::move(Config).value());
}

void StoreView::applyMember(const Item &Written) {
  const std::string Id(suffix(Written.Key, platform::MemberPrefix));
  Expected<catalog::Member> Member = platform::decodeMember(Id, Written.Value);
  if (!Member) {
    S.Log.write(event::EntryIgnored, Written.Key, Member.error().Detail);
    return;
  }
  S.Vanished.erase(Id);
  catalog::Member &Known = S.Members[Id];
  if (Known == Member.value())
    return;
  Known = std::move(Member).value();
  MembersChanged = true;
}

void StoreView::applyDaemon(const Change &Seen) {
  const std::string Name(suffix(Seen.Written.Key, cluster::DaemonPrefix));
  if (Seen.Removed) {
    S.DaemonsVersion += S.Daemons.erase(Name);
    return;
  }
  const Expected<cluster::DaemonRecord> Record =
      cluster::decodeDaemon(Seen.Written.Value);
  if (!Record) {
    S.Log.write(event::EntryIgnored, Seen.Written.Key, Record.error().Detail);
    return;
  }
  S.Daemons[Name] = Record.value();
  ++S.DaemonsVersion;
  if (Name == S.Settings.InstanceName)
    return;
  Peer &Other = S.Peers[Name];
  if (Other.Channel && Other.Record == Record.value())
    return;
  Other.Record = Record.value();
  runtime::error_code Ignored;
  const auto Ip =
      runtime::asio::ip::make_address_v4(Record.value().Ip, Ignored);
  Other.Channel = std::make_shared<peer::PeerChannel>(
      S.Io, runtime::tcp::endpoint(Ip, Record.value().PeerPort));
  Other.Last = PeerReport();
  Other.Lost = false;
}

void StoreView::publishMembers(Time Now) {
  if (!MembersChanged)
    return;
  MembersChanged = false;
  std::map<std::string, std::vector<catalog::Member>> ByService;
  for (const auto &[Id, M] : S.Members)
    ByService[M.Service].push_back(M);
  for (const auto &[Name, Pool] : S.ByService)
    Pool->setMembers(std::move(ByService[Name]), Now);
}

void StoreView::tick(Time Now) {
  for (auto It = S.Vanished.begin(); It != S.Vanished.end();) {
    if (Now - It->second < VanishedGrace || LostSince) {
      if (LostSince)
        It->second = Now;
      ++It;
      continue;
    }
    S.Members.erase(It->first);
    It = S.Vanished.erase(It);
    MembersChanged = true;
  }
  publishMembers(Now);
}

} // namespace borageridge::entry
