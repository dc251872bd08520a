#ifndef BORAGERIDGE_ENTRY_STOREVIEW_H
#define BORAGERIDGE_ENTRY_STOREVIEW_H

#include "entry/State.h"
#include "keyvalue/KeyValue.h"

namespace borageridge::entry {

/// Keeps the daemon's view of the store up to date: configuration, members,
/// group records and daemons.
class StoreView {
public:
  explicit StoreView(State &Shared) : S(Shared) {}

  /// Reads everything, then watches for changes, until the loop ends.
  runtime::Task<void> run();

  /// Reads the group records now. Fails if the store does not answer.
  runtime::Task<Expected<void>> refreshRecords();

  /// Forgets members whose entries vanished long enough ago.
  void tick(Time Now);

private:
  runtime::Task<Expected<keyvalue::Revision>> load();
  void apply(const keyvalue::Change &Seen, Time Now);
  void applyConfig(const keyvalue::Item &Written);
  void applyMember(const keyvalue::Change &Seen, Time Now);
  void applyDaemon(const keyvalue::Change &Seen);
  void publishMembers(Time Now);
  void noteResult(std::string_view Call, const Failure *Failed, Time Now);

  State &S;
  keyvalue::Revision ConfigRevision = 0;
  bool MembersChanged = false;
  std::optional<Time> LostSince;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STOREVIEW_H
