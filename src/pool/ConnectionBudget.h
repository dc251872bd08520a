#ifndef BORAGERIDGE_POOL_CONNECTIONBUDGET_H
#define BORAGERIDGE_POOL_CONNECTIONBUDGET_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace borageridge::pool {

/// Limits the number of connections that one daemon holds to one member. Every
/// daemon has a share. Connections outside all shares, and some of those that
/// other daemons do not use, may be borrowed for a short time as long as the
/// member does not refuse connections.
class ConnectionBudget {
public:
  /// Idle time after which a borrowed connection is closed.
  static constexpr Duration MaxBorrowedIdle = std::chrono::milliseconds(500);
  /// Idle time after which a connection within the share is closed, except the
  /// last one. After a power loss the members still hold the connections of the
  /// previous daemons, so unused connections would leave too few for the
  /// daemons that start.
  static constexpr Duration MaxShareIdle = std::chrono::milliseconds(1500);

  /// The member refused a connection because it has too many open.
  void recordRefusal(Time Now);
  /// A connection could not be opened for another reason.
  void recordFailure(Time Now);
  void recordSuccess();

  /// Stops borrowing for a while because another daemon cannot open its share.
  void stopBorrowing(Time Now);
  /// Whether this daemon was recently refused connections within its share.
  bool isStarved(std::uint32_t Held, std::uint32_t Share, Time Now) const;

  /// Whether another connection may be opened.
  bool mayOpen(std::uint32_t Held, std::uint32_t Share, Time Now) const;
  /// Whether a connection may be opened in place of one that is closed.
  bool mayReplace(Time Now) const { return Now >= NextAttemptAt; }
  /// Whether a connection that has been idle for IdleFor should be closed.
  bool isSurplus(std::uint32_t Held, std::uint32_t Share, Duration IdleFor,
                 Time Now) const;

private:
  Duration RefusedDelay{};
  Time NextAttemptAt;
  Time BorrowingAllowedAt;
  std::optional<Time> RefusedAt;
};

/// Returns the number of connections that each daemon may always hold.
std::uint32_t connectionShare(std::uint32_t MaxConnections,
                              std::size_t LiveDaemons);

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_CONNECTIONBUDGET_H
