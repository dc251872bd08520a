#include "entry/StoreView.h"

#include "entry/Events.h"
#include "platform/Registry.h"
#include "runtime/Clock.h"

#include <utility>

// How long the watches wait, and how the configuration is followed.
namespace borageridge::entry {
namespace {

using keyvalue::Change;
using keyvalue::Item;
using runtime::bootTime;
using runtime::Task;

// Long, because each wait costs one call to the store. If an answer is lost
// with the connection, peers still send newer group records, and live daemons
// still renew their leases.
constexpr Duration LongWatchTimeout = std::chrono::seconds(10);
// Half of the time within which a new configuration must be applied.
constexpr Duration ShortWatchTimeout = std::chrono::milliseconds(2500);
// Smallest fleet in which long watches are used.
constexpr std::size_t MinDaemonsForLongWatch = 3;
// Smallest fleet in which peers tell of a new configuration reliably enough.
constexpr std::size_t MinDaemonsForLongConfigWatch = 24;
constexpr Duration ConfigAgeInterval = std::chrono::milliseconds(100);
constexpr Duration PeerConfigInterval = std::chrono::milliseconds(100);
// After a call of the store that failed.
constexpr Duration RetryPause = std::chrono::milliseconds(150);

} // namespace

// Peers tell of a newer configuration, so that in a larger fleet a lost answer
// matters to one daemon only. The waits differ, since all of them begin
// together after a change and may be lost together.
Duration StoreView::watchTimeout(std::string_view Prefix) {
  const std::size_t Daemons = S.Shared.LiveDaemons;
  const bool MayBeLong = S.Store.isReachable(bootTime());
  if (Prefix == cluster::KeyPrefix)
    return MayBeLong && Daemons >= MinDaemonsForLongWatch ? LongWatchTimeout
                                                          : ShortWatchTimeout;
  if (!MayBeLong || Daemons < MinDaemonsForLongConfigWatch)
    return ShortWatchTimeout;
  return std::chrono::duration_cast<Duration>(
      ShortWatchTimeout + (LongWatchTimeout - ShortWatchTimeout) * jitter());
}

double StoreView::jitter() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

Task<void> StoreView::keepConfigRecent() {
  double Jitter = jitter();
  for (;;) {
    co_await runtime::sleepFor(ConfigAgeInterval);
    const Time AskedAt = bootTime();
    if (!S.Loaded || !ConfigFrom ||
        !S.StatementExecutor.catalog().HasOrganisations ||
        !S.StatementExecutor.recency().needsCheck(Jitter, AskedAt))
      continue;
    Jitter = jitter();
    const std::string Prefix(platform::ConfigPrefix);
    const keyvalue::WatchPosition From = *ConfigFrom;
    const Expected<keyvalue::WatchResult> Seen =
        co_await S.Store.watch(Prefix, From, Duration::zero());
    recordStoreResult("watch", Seen ? nullptr : &Seen.error(), bootTime());
    if (!Seen) {
      co_await S.Store.waitUntilReachable(RetryPause);
      continue;
    }
    if (Seen.value().Compacted) {
      const Expected<keyvalue::WatchPosition> Read =
          co_await load(platform::ConfigPrefix);
      if (!Read)
        co_await runtime::sleepFor(RetryPause);
      continue;
    }
    for (const Change &C : Seen.value().Changes)
      apply(C);
    publishMembers(bootTime());
    confirmConfig(AskedAt);
  }
}

// Everything that the store holds has been applied, unless it cannot be decoded
// or is older than what is in force.
void StoreView::confirmConfig(Time AskedAt) {
  if (NewestConfigApplied)
    S.StatementExecutor.recency().config().confirm(
        AskedAt, S.StatementExecutor.catalog().Version);
}

Task<void> StoreView::followPeerConfigVersions() {
  for (;;) {
    co_await runtime::sleepFor(PeerConfigInterval);
    if (S.NewestConfigSeen <= S.StatementExecutor.catalog().Version ||
        !S.Loaded)
      continue;
    const Expected<keyvalue::WatchPosition> Read =
        co_await load(platform::ConfigPrefix);
    if (!Read)
      co_await runtime::sleepFor(RetryPause);
  }
}

// Versions order the configurations, not revisions: a restored store holds an
// older version until the operator writes the newest one again, with a revision
// that may be lower than the one it had.
void StoreView::applyConfig(const Item &Written) {
  const cluster::Epoch Read =
      cluster::makeEpoch(S.Store.era(), Written.ModRevision);
  // A late answer may show what has been replaced since.
  if (Read <= ConfigEpoch)
    return;
  Expected<catalog::Catalog> Config = platform::decodeCatalog(Written.Value);
  NewestConfigApplied = false;
  if (!Config) {
    S.Log.write(event::EntryIgnored, Written.Key, Config.error().Detail);
    return;
  }
  if (Config.value().IgnoredOrganisations > 0)
    S.Log.write(event::EntryIgnored, Written.Key,
                std::to_string(Config.value().IgnoredOrganisations) +
                    " organisations cannot be decoded");
  ConfigEpoch = Read;
  const catalog::Catalog &Newer = Config.value();
  const std::uint64_t Applied = S.StatementExecutor.catalog().Version;
  if (Newer.Version < Applied) {
    S.Log.write(event::ConfigSkipped, Newer.Version, Written.ModRevision,
                S.Store.era(), Applied);
    return;
  }
  S.Log.write(event::ConfigApplied, Newer.Version,
              Newer.RoutesByDatabase.size(), Newer.Services.size(),
              Written.ModRevision, S.Store.era());
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
  S.StatementExecutor.setCatalog(std::move(Config).value());
  NewestConfigApplied = true;
}

} // namespace borageridge::entry
