#ifndef BORAGERIDGE_POOL_MEMBERHEALTH_H
#define BORAGERIDGE_POOL_MEMBERHEALTH_H

#include "borageridge/Types.h"

#include <optional>

namespace borageridge::pool {

/// What one daemon has observed of an unresponsive member.
struct Evidence {
  /// Connections are refused, which means that the process is not running.
  bool Refused = false;
  Duration Elapsed{};

  friend bool operator==(const Evidence &, const Evidence &) = default;
};

/// Tracks whether a member responds, based on all traffic with it.
class MemberHealth {
public:
  /// Time without a reply after which a member receives no more work.
  static constexpr Duration SuspicionTimeout = std::chrono::milliseconds(450);

  /// Data was received from the member.
  void recordReply(Time Now);
  /// A probe sent at Start was not answered, or a connection attempt begun at
  /// Start failed.
  void recordTimeout(Time Start);
  void recordRefusal(Time Now);

  bool isSuspected(Time Now) const;
  std::optional<Evidence> evidence(Time Now) const;
  Time lastReply() const { return LastReply; }
  /// Whether the last attempt to connect was refused, as others were for Least
  /// before it.
  bool isRefusing(Duration Least, Time Now) const {
    return RefusedSince && RefusedLast && Now - *RefusedSince >= Least;
  }

private:
  Time LastReply;
  std::optional<Time> SilentSince;
  std::optional<Time> RefusedSince;
  bool RefusedLast = false;
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_MEMBERHEALTH_H
