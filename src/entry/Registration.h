#ifndef BORAGERIDGE_ENTRY_REGISTRATION_H
#define BORAGERIDGE_ENTRY_REGISTRATION_H

#include "entry/State.h"
#include "entry/StoreView.h"

namespace borageridge::entry {

/// Maintains the lease under which the daemon may use primaries, and its entry
/// in the store by which other daemons discover it.
class Registration {
public:
  Registration(State &Shared, StoreView &Reader)
      : S(Shared), View(Reader), Wakeup(Shared.Io) {}

  /// Registers the daemon and renews its lease until the daemon stops.
  runtime::Task<void> run();
  /// Ends the lease, so that other daemons need not wait for it to expire.
  runtime::Task<void> release();
  /// Registers again if the store no longer holds the entry of this daemon.
  /// Logs when the lease expires without an answer from the store, and when it
  /// is renewed afterwards.
  void tick(Time Now);

private:
  bool isRegistered() const;
  runtime::Task<bool> registerDaemon();
  runtime::Task<bool> obtainLease();
  runtime::Task<bool> writeEntry();
  runtime::Task<bool> findEntry(std::string Key);
  runtime::Task<void> renew();

  State &S;
  StoreView &View;
  /// Ends the pause before the next renewal.
  runtime::Event Wakeup;
  /// The lease under which the entry is written. It permits the use of
  /// primaries once the entry and the records are known.
  cluster::LocalLease Granted;
  Time GrantSentAt;
  /// Revision of the entry to replace; 0 if there is none.
  keyvalue::Revision Replaced = 0;
  bool WasValid = false;
  bool Released = false;
  /// The last lease that expired locally. The store may still hold it, so a
  /// later renewal can succeed.
  keyvalue::LeaseId ExpiredLease = 0;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_REGISTRATION_H
