#ifndef BORAGERIDGE_POOL_CONNECTIONBUDGET_H
#define BORAGERIDGE_POOL_CONNECTIONBUDGET_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace borageridge::pool {

/// How many connections one daemon may hold to one member. Every daemon has a
/// share; what the shares leave, and a part of what others do not use, may be
/// borrowed for a short time while the member does not refuse.
class ConnectionBudget {
public:
  /// A borrowed connection that is idle for longer is closed.
  static constexpr Duration BorrowedIdle = std::chrono::milliseconds(500);
  /// So is one of the share, but for the last: connections that nobody needs
  /// are missing to daemons that start after a loss of power, while the members
  /// still hold those of before.
  static constexpr Duration ShareIdle = std::chrono::milliseconds(1500);

  /// The member refused a connection because it has too many.
  void refused(Time Now);
  /// Opening failed for another reason.
  void failed(Time Now);
  void succeeded();

  /// Another daemon lacks connections of its share.
  void yield(Time Now);
  /// Whether connections of the share are lacking because others hold them.
  bool isStarved(std::uint32_t Held, std::uint32_t Share, Time Now) const;

  /// Whether another connection may be opened.
  bool mayOpen(std::uint32_t Held, std::uint32_t Share, Time Now) const;
  /// Whether an idle connection is to be closed.
  bool isSurplus(std::uint32_t Held, std::uint32_t Share, Duration IdleFor,
                 Time Now) const;

private:
  Duration RefusedDelay{};
  Time NotBefore;
  Time NoBorrowingBefore;
  std::optional<Time> RefusedAt;
};

/// The connections that each daemon may hold at any time.
std::uint32_t connectionShare(std::uint32_t MaxConnections,
                              std::size_t LiveDaemons);

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_CONNECTIONBUDGET_H
