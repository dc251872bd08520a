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
// After the first refusal, and twice as long after each further one. A dead
// caller's connections stay at the member for three seconds; a daemon that
// holds none asks more often.
constexpr Duration FirstRefusedDelay = std::chrono::milliseconds(120);
constexpr Duration MaxRefusedDelay = std::chrono::milliseconds(960);
constexpr Duration NoBorrowing = std::chrono::milliseconds(2000);
// Longer than the longest delay between two refusals.
constexpr Duration StarvedFor = std::chrono::milliseconds(1200);
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
  RefusedDelay =
      std::clamp(2 * RefusedDelay, FirstRefusedDelay, MaxRefusedDelay);
  NotBefore = Now + RefusedDelay;
  NoBorrowingBefore = Now + NoBorrowing;
  RefusedAt = Now;
}

void ConnectionBudget::yield(Time Now) {
  NoBorrowingBefore = Now + NoBorrowing;
}

bool ConnectionBudget::isStarved(std::uint32_t Held, std::uint32_t Share,
                                 Time Now) const {
  return RefusedAt && Now - *RefusedAt < StarvedFor && Held < Share;
}

void ConnectionBudget::failed(Time Now) { NotBefore = Now + FailedDelay; }

void ConnectionBudget::succeeded() {
  RefusedDelay = Duration::zero();
  NotBefore = Time();
  RefusedAt.reset();
}

bool ConnectionBudget::mayOpen(std::uint32_t Held, std::uint32_t Share,
                               Time Now) const {
  if (Now < NotBefore)
    return false;
  if (Held < Share)
    return true;
  return Now >= NoBorrowingBefore && Held < Share * (1 + BorrowedPerShare);
}

bool ConnectionBudget::isSurplus(std::uint32_t Held, std::uint32_t Share,
                                 Duration IdleFor, Time Now) const {
  if (Held > Share)
    return Now < NoBorrowingBefore || IdleFor > BorrowedIdle;
  return Held > 1 && IdleFor > ShareIdle;
}

} // namespace borageridge::pool
