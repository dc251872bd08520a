#ifndef BORAGERIDGE_CLUSTER_USELEASE_H
#define BORAGERIDGE_CLUSTER_USELEASE_H

#include "borageridge/Types.h"
#include "keyvalue/KeyValue.h"

namespace borageridge::cluster {

/// The right of one daemon to use primaries, bounded in time. All times must
/// come from a clock that counts suspension.
class UseLease {
public:
  /// Before its end by this much the lease counts as over: for the resolution
  /// of clocks and for work between a check and its effect.
  static constexpr Duration Margin = std::chrono::milliseconds(150);

  /// The lease was granted for Ttl by a call that was sent at SentAt.
  void confirm(keyvalue::LeaseId Id, Time SentAt, Duration Ttl);
  /// A renewal that was sent at SentAt was confirmed; it lasts as long as the
  /// grant.
  void renewed(Time SentAt);
  /// The lease is given up or was found to have ended.
  void drop();

  bool isValid(Time Now) const { return Now < ValidUntil; }
  /// 0: none.
  keyvalue::LeaseId id() const { return Id; }
  Time validUntil() const { return ValidUntil; }

private:
  keyvalue::LeaseId Id = 0;
  Duration Granted{};
  Time ValidUntil;
};

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_USELEASE_H
