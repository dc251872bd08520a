#include "entry/Events.h"

namespace borageridge::entry {

std::vector<telemetry::EventDescription> allEvents() {
  using namespace event;
  return telemetry::describeAll(
      Started, Ready, Draining, Stopped, SettingsReloaded, StartFailed,
      ConfigApplied, ConfigSkipped, EntryIgnored, RecordApplied,
      PrimaryUseEnded, PrimarySuperseded, MemberLeaving, MemberSuspected,
      MemberRecovered, ConnectionRefused, StoreLost, StoreRegained,
      StoreRestored, LeaseGranted, LeaseLost, PeersLost, PeerSeen,
      PeerMessageRejected, TaskFailed, DutyTaken, DutyLost, ChangeStarted,
      ChangeStep, PromotionCalled, PromotionAnswered, ChangeCompleted,
      ChangeFailed, UseRelinquished, CounterTaken, CounterLost, RequestRefused,
      CallerRefused, CallerClosed, RequestRetried, LinesSuppressed);
}

} // namespace borageridge::entry
