#ifndef BORAGERIDGE_ENTRY_REGISTRATION_H
#define BORAGERIDGE_ENTRY_REGISTRATION_H

#include "entry/State.h"
#include "entry/StoreView.h"

namespace borageridge::entry {

/// Holds the daemon's lease on the use of primaries, and its entry in the
/// store that tells others about it.
class Registration {
public:
  Registration(State &Shared, StoreView &Reader) : S(Shared), View(Reader) {}

  /// Registers and renews until the daemon stops.
  runtime::Task<void> run();
  /// Gives the lease up, so that nobody waits for its end.
  runtime::Task<void> release();
  /// Logs when the lease runs out without an answer of the store, and when it
  /// is renewed after that.
  void tick(Time Now);

private:
  runtime::Task<bool> registerAnew();
  runtime::Task<void> renew();

  State &S;
  StoreView &View;
  bool WasValid = false;
  /// The last lease that ran out; it may be renewed all the same.
  keyvalue::LeaseId RanOut = 0;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_REGISTRATION_H
