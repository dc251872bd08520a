#include "pool/ConnectionBudget.h"

#include "admission/ConnectionShare.h"

#include <algorithm>

namespace borageridge::pool {
namespace {

// Part of a member's connections that no share covers: for daemons that are
// being replaced, for borrowing and for changes of primary.
constexpr std::uint32_t ReservePercent = 15;
// Borrowed connections of one daemon, as a part of its share.
constexpr std::uint32_t BorrowedPerShare = 1;
// After a refusal: as long as a dead caller's connections stay at the member
// would be too long for a daemon that holds none, so it asks more often.
constexpr Duration RefusedDelay = std::chrono::milliseconds(120);
constexpr Duration NoBorrowing = std::chrono::milliseconds(2000);
constexpr Duration FailedDelay = std::chrono::milliseconds(100);

} // namespace

std::uint32_t connectionShare(std::uint32_t MaxConnections,
                              std::size_t LiveDaemons) {
  const std::uint32_t Shared =
      MaxConnections - MaxConnections * ReservePercent / 100;
  return admission::share(Shared, static_cast<std::uint32_t>(
                                      std::max<std::size_t>(1, LiveDaemons)));
}

void ConnectionBudget::refused(Time Now) {
  NotBefore = Now + RefusedDelay;
  NoBorrowingBefore = Now + NoBorrowing;
}

void ConnectionBudget::failed(Time Now) { NotBefore = Now + FailedDelay; }

void ConnectionBudget::succeeded() { NotBefore = Time(); }

bool ConnectionBudget::mayOpen(std::uint32_t Held, std::uint32_t Share,
                               Time Now) const {
  if (Now < NotBefore)
    return false;
  if (Held < Share)
    return true;
  return Now >= NoBorrowingBefore && Held < Share * (1 + BorrowedPerShare);
}

bool ConnectionBudget::isSurplus(std::uint32_t Held, std::uint32_t Share,
                                 Duration IdleFor) const {
  if (Held > Share)
    return IdleFor > BorrowedIdle;
  return Held > 1 && IdleFor > ShareIdle;
}

} // namespace borageridge::pool
