#include "cluster/LocalLease.h"

#include <algorithm>

namespace borageridge::cluster {

// The store counts the lease from the arrival of the call. The daemon counts it
// from the earlier time of sending, so it expires here first.
void LocalLease::confirm(keyvalue::LeaseId Lease, Time SentAt, Duration Ttl,
                         keyvalue::Era Era) {
  const Time End = SentAt + Ttl - SafetyMargin;
  ValidUntil = Lease == Id ? std::max(ValidUntil, End) : End;
  Id = Lease;
  GrantedTtl = Ttl;
  GrantedIn = Era;
}

void LocalLease::renewed(Time SentAt) {
  confirm(Id, SentAt, GrantedTtl, GrantedIn);
}

void LocalLease::drop() {
  Id = 0;
  ValidUntil = Time();
}

} // namespace borageridge::cluster
