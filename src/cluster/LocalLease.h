#ifndef BORAGERIDGE_CLUSTER_LOCALLEASE_H
#define BORAGERIDGE_CLUSTER_LOCALLEASE_H

#include "borageridge/Types.h"
#include "keyvalue/KeyValue.h"

namespace borageridge::cluster {

/// The daemon's local view of a lease that it holds in the key-value store, for
/// example the lease that permits it to use primaries. All times must come from
/// a clock that also advances while the machine is suspended.
class LocalLease {
public:
  /// The lease counts as expired this long before its end, to allow for clock
  /// resolution and for the time between a check and the action it permits.
  static constexpr Duration SafetyMargin = std::chrono::milliseconds(150);

  /// Records a lease granted for Ttl by a call sent at SentAt, which the store
  /// executed in the era GrantedIn.
  void confirm(keyvalue::LeaseId Id, Time SentAt, Duration Ttl,
               keyvalue::Era GrantedIn = keyvalue::FirstEra);
  /// Records a successful renewal sent at SentAt, for the same time as the
  /// grant.
  void renewed(Time SentAt);
  /// Discards a lease that was released or has expired.
  void drop();

  bool isValid(Time Now) const { return Now < ValidUntil; }
  /// 0 if there is no lease.
  keyvalue::LeaseId id() const { return Id; }
  /// The store forgets the lease if it is restored after this era. Until the
  /// lease expires here, its holder may still rely on it if nobody else acts on
  /// its absence from the store.
  keyvalue::Era era() const { return GrantedIn; }
  Time validUntil() const { return ValidUntil; }

private:
  keyvalue::LeaseId Id = 0;
  Duration GrantedTtl{};
  keyvalue::Era GrantedIn = keyvalue::FirstEra;
  Time ValidUntil;
};

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_LOCALLEASE_H
