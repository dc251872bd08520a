#include "pool/ConnectionBudget.h"

#include "admission/ConnectionShare.h"

#include <algorithm>

namespace borageridge::pool {
namespace {

// Percentage of a member's connections that is not divided into shares. It is
// kept for daemons that are being replaced, for borrowing and for primary
// changes.
constexpr std::uint32_t ReservePercent = 15;
// Maximum number of borrowed connections as a multiple of the share.
constexpr std::uint32_t BorrowedPerShare = 1;
// Exponential backoff after refused connections. A member keeps the connections
// of a dead caller for three seconds; a daemon without connections must retry
// more often than that.
constexpr Duration MinRefusedDelay = std::chrono::milliseconds(120);
constexpr Duration MaxRefusedDelay = std::chrono::milliseconds(960);
constexpr Duration NoBorrowingPeriod = std::chrono::milliseconds(2000);
// Longer than MaxRefusedDelay, so that the state persists between two attempts.
constexpr Duration StarvationPeriod = std::chrono::milliseconds(1200);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

std::uint32_t connectionShare(std::uint32_t MaxConnections,
                              std::size_t LiveDaemons) {
  const std::uint32_t Shared =
      MaxConnections - MaxConnections * ReservePercent / 100;
  return admission::share(Shared, static_cast<std::uint32_t>(
                                      std::max<std::size_t>(1, LiveDaemons)));
}

void ConnectionBudget::recordRefusal(Time Now) {
  RefusedDelay = std::clamp(2 * RefusedDelay, MinRefusedDelay, MaxRefusedDelay);
  NextAttemptAt = Now + RefusedDelay;
  BorrowingAllowedAt = Now + NoBorrowingPeriod;
  RefusedAt = Now;
}

void ConnectionBudget::stopBorrowing(Time Now) {
  BorrowingAllowedAt = Now + NoBorrowingPeriod;
}

bool ConnectionBudget::isStarved(std::uint32_t Held, std::uint32_t Share,
                                 Time Now) const {
  return RefusedAt && Now - *RefusedAt < StarvationPeriod && Held < Share;
}

void ConnectionBudget::recordFailure(Time Now) {
  NextAttemptAt = Now + RetryDelay;
}

void ConnectionBudget::recordSuccess() {
  RefusedDelay = Duration::zero();
  NextAttemptAt = Time();
  RefusedAt.reset();
}

bool ConnectionBudget::mayOpen(std::uint32_t Held, std::uint32_t Share,
                               Time Now) const {
  if (Now < NextAttemptAt)
    return false;
  if (Held < Share)
    return true;
  return Now >= BorrowingAllowedAt && Held < Share * (1 + BorrowedPerShare);
}

bool ConnectionBudget::isSurplus(std::uint32_t Held, std::uint32_t Share,
                                 Duration IdleFor, Time Now) const {
  if (Held > Share)
    return Now < BorrowingAllowedAt || IdleFor > MaxBorrowedIdle;
  return Held > 1 && IdleFor > MaxShareIdle;
}

} // namespace borageridge::pool
