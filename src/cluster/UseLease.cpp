#include "cluster/UseLease.h"

#include <algorithm>

namespace borageridge::cluster {

// The store counts the lease from the arrival of the call, which is later than
// its sending; the daemon's view therefore ends first.
void UseLease::confirm(keyvalue::LeaseId Lease, Time SentAt, Duration Ttl) {
  const Time End = SentAt + Ttl - Margin;
  ValidUntil = Lease == Id ? std::max(ValidUntil, End) : End;
  Id = Lease;
  Granted = Ttl;
}

void UseLease::renewed(Time SentAt) { confirm(Id, SentAt, Granted); }

void UseLease::drop() {
  Id = 0;
  ValidUntil = Time();
}

} // namespace borageridge::cluster
