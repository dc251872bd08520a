#ifndef BORAGERIDGE_CLUSTER_OWNENTRY_H
#define BORAGERIDGE_CLUSTER_OWNENTRY_H

#include "cluster/Epoch.h"
#include "keyvalue/KeyValue.h"

namespace borageridge::cluster {

/// The entry of this daemon in the key-value store: the last write that the
/// store has confirmed, and the newest state that was read since. Other daemons
/// wait only for daemons that have an entry, so a daemon whose entry is gone
/// must not rely on its lease.
class OwnEntry {
public:
  /// Records that the store confirmed a write at At under the lease.
  void written(Epoch At, keyvalue::LeaseId Under) {
    WrittenAt = At;
    Lease = Under;
  }

  /// Records the state read at At. Under: the lease of the entry; 0 if it does
  /// not exist. States may arrive out of order.
  void seen(Epoch At, keyvalue::LeaseId Under) {
    if (At < SeenAt)
      return;
    SeenAt = At;
    SeenLease = Under;
  }

  /// Whether the entry that was written last has been removed or replaced by
  /// one under another lease.
  bool isLost() const {
    return WrittenAt != 0 && SeenAt > WrittenAt && SeenLease != Lease;
  }

  /// The lease of the last confirmed write; 0 if there was none.
  keyvalue::LeaseId lease() const { return Lease; }

private:
  Epoch WrittenAt = 0;
  Epoch SeenAt = 0;
  keyvalue::LeaseId Lease = 0;
  keyvalue::LeaseId SeenLease = 0;
};

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_OWNENTRY_H
