#include "entry/Events.h"

namespace borageridge::entry {

std::vector<telemetry::EventDescription> allEvents() {
  using namespace event;
  return telemetry::describeAll(
      Started, Ready, Draining, Stopped, SettingsReloaded, StartFailed,
      ConfigApplied, ConfigSkipped, EntryIgnored, RecordApplied, MemberLeaving,
      MemberSuspected, MemberRecovered, ConnectionRefused, StoreLost,
      StoreRegained, StoreRestored, LeaseGranted, LeaseLost, PeerLost, PeerSeen,
      PeerMessageRejected, TaskFailed, DutyTaken, DutyLost, ChangeStarted,
      ChangeStep, ChangeCompleted, ChangeFailed, UseRelinquished,
      RequestRefused, RequestRetried, LinesSuppressed);
}

} // namespace borageridge::entry
