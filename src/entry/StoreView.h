#ifndef BORAGERIDGE_ENTRY_STOREVIEW_H
#define BORAGERIDGE_ENTRY_STOREVIEW_H

#include "cluster/EntryTracker.h"
#include "cluster/Epoch.h"
#include "entry/LogRateLimiter.h"
#include "entry/State.h"
#include "keyvalue/KeyValue.h"

#include <optional>
#include <random>

namespace borageridge::entry {

/// Keeps the daemon's copy of the store's content up to date: configuration,
/// members, group records and daemons.
class StoreView {
public:
  explicit StoreView(State &Shared) : S(Shared) {}

  /// Reads everything and then applies changes until the loop ends.
  runtime::Task<void> run();

  /// Reads and applies the group records. Fails if the store does not answer.
  runtime::Task<Expected<void>> refreshRecords();

  /// Removes members whose entries have been absent for the grace period.
  void tick(Time Now);

private:
  runtime::Task<void> follow(std::string_view Prefix, bool &Complete);
  runtime::Task<void> pollMembers();
  runtime::Task<void> followPeerConfigVersions();
  runtime::Task<Expected<keyvalue::WatchPosition>>
  load(std::string_view Prefix);
  void noteFleetEra(keyvalue::Era Era, Time Now);
  Duration watchTimeout(std::string_view Prefix);
  /// Asks the store whether the configuration has changed whenever it would
  /// otherwise become too old to serve keys.
  runtime::Task<void> keepConfigRecent();
  void confirmConfig(Time AskedAt);
  /// A random number from 0 to 1.
  double jitter();
  Duration pauseAfterWatch(std::string_view Prefix, Time Now) const;
  bool holdsConnections() const;
  void updateLoaded(Time Now);
  void apply(const keyvalue::Change &Seen);
  void applyMembers(const keyvalue::RangePage &Page, Time Now);
  void applyConfig(const keyvalue::Item &Written);
  void applyMember(const keyvalue::Item &Written);
  void applyDaemon(const keyvalue::Change &Seen);
  void publishMembers(Time Now);
  void recordStoreResult(std::string_view Call, const Failure *Failed,
                         Time Now);

  State &S;
  bool ConfigLoaded = false;
  bool FleetLoaded = false;
  /// When the members were last read, if they were.
  std::optional<Time> MembersReadAt;
  /// The write of the last configuration that was read.
  cluster::Epoch ConfigEpoch = 0;
  /// Whether the last configuration that was read is the applied one.
  bool NewestConfigApplied = false;
  /// Position up to which the configuration has been read.
  std::optional<keyvalue::WatchPosition> ConfigFrom;
  std::minstd_rand Random;
  /// Era in which the daemons were last read, if they were.
  std::optional<keyvalue::Era> FleetEra;
  /// Until then, daemons are kept although their entries are absent.
  Time KeepDaemonsUntil;
  keyvalue::Era EraAtLastTick = keyvalue::FirstEra;
  cluster::EntryTracker MemberEntries;
  bool MembersChanged = false;
  LogRateLimiter IgnoredEntryLog;
  std::optional<Time> StoreUnreachableSince;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STOREVIEW_H
