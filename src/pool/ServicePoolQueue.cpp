#include "pool/ServicePool.h"

#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

// The statements that wait for a connection.
namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;

// Organisations of one database take turns only if their work is equal, while
// the measured mean changes with each answer. Rounds up to a power of two.
Duration roundedWork(Duration Mean) {
  Duration Result = std::chrono::milliseconds(1);
  while (Result < Mean)
    Result *= 2;
  return Result;
}

} // namespace

std::string_view name(AcquireFailure Why) {
  switch (Why) {
  case AcquireFailure::TimedOut:
    return "no connection in time";
  case AcquireFailure::QueueFull:
    return "too many statements wait";
  case AcquireFailure::NoPrimary:
    return "no primary in time";
  case AcquireFailure::Stopping:
    return "the proxy is stopping";
  case AcquireFailure::Abandoned:
    return "given up by the proxy that forwards it";
  }
  return "unknown";
}

struct ServicePool::Waiter {
  Waiter(runtime::asio::io_context &Io, PlacementRequest Wanted)
      : D(std::move(Wanted)), Ready(Io) {}
  PlacementRequest D;
  Duration ExpectedTime{};
  runtime::Event Ready;
  std::optional<Checkout> Assigned;
  /// Why it was taken out of the queue.
  std::optional<AcquireFailure> Withdrawn;
};

Task<Expected<Checkout, AcquireFailure>>
ServicePool::acquire(PlacementRequest D, std::string_view Database,
                     std::uint32_t Priority, Time QueueDeadline, Time Deadline,
                     WaitingTicket &Waiting) {
  const Time Now = bootTime();
  if (isTooLate(Database, D.CommitsWrite, Now))
    co_return AcquireFailure::Stopping;
  QueueDeadline = std::min(QueueDeadline, Deadline);
  if (Queue.size() == 0)
    if (std::optional<Checkout> Free = tryPlace(D, Now))
      co_return std::move(*Free);
  Waiter Self(Shared.Io, std::move(D));
  Self.ExpectedTime = expectedTime(Database, Self.D.CommitsWrite);
  admission::Ticket Ticket;
  Ticket.Id = ++LastTicket;
  Ticket.Caller = std::string(Database);
  if (!Self.D.Organisation.empty())
    Ticket.Caller.append(" ").append(Self.D.Organisation);
  Ticket.Priority = Priority;
  Ticket.Deadline = Deadline;
  Ticket.Lane = Self.D.NeedsPrimary ? PrimaryLane : ReplicaLane;
  if (const auto Known = ServiceTimeByDatabase.find(Database);
      Known != ServiceTimeByDatabase.end())
    Ticket.Work = Self.D.Organisation.empty()
                      ? Known->second.mean()
                      : roundedWork(Known->second.mean());
  const admission::TicketId Id = Ticket.Id;
  Expected<admission::Admitted, admission::Rejection> Admitted =
      Queue.push(std::move(Ticket),
                 Self.D.Organisation.empty() ? WaitLimits.MaxTickets
                                             : MaxWaitingOfOrganisation,
                 Now);
  if (!Admitted)
    co_return Admitted.error() == admission::Rejection::DeadlinePassed
        ? AcquireFailure::TimedOut
        : AcquireFailure::QueueFull;
  Waiters.emplace(Id, &Self);
  Waiting = {this, Id};
  ++WaitersOf[Self.D.Organisation];
  withdraw(Admitted.value().Displaced, AcquireFailure::QueueFull);
  wakeWaiters(Now);
  co_await waitForConnection(Self, Id, QueueDeadline);
  // A statement that is late because all members are busy is rejected in favor
  // of statements that can still meet their deadline. Without a usable member
  // it continues to wait for one to return.
  if (!Self.Assigned && !hasUsableMember(Self.D, bootTime()))
    co_await waitForConnection(Self, Id, Deadline);
  Waiting = {};
  Waiters.erase(Id);
  if (--WaitersOf[Self.D.Organisation] == 0)
    WaitersOf.erase(Self.D.Organisation);
  Queue.remove(Id);
  if (Self.Assigned)
    co_return std::move(*Self.Assigned);
  if (Self.Withdrawn)
    co_return *Self.Withdrawn;
  const Time Later = bootTime();
  if (Later >= latestStart(Self.ExpectedTime, Self.D.CommitsWrite))
    co_return AcquireFailure::Stopping;
  // Reads may also run on the primary, so an unusable primary is the cause for
  // them too.
  co_return mayUsePrimary(Later) ? AcquireFailure::TimedOut
                                 : AcquireFailure::NoPrimary;
}

// Woken also when a planned stop shortens the time.
Task<void> ServicePool::waitForConnection(Waiter &Self, admission::TicketId Id,
                                          Time Until) {
  for (;;) {
    const Time Now = bootTime();
    const Time End =
        std::min(Until, latestStart(Self.ExpectedTime, Self.D.CommitsWrite));
    if (Self.Assigned || !Queue.contains(Id) || Now >= End)
      co_return;
    co_await Self.Ready.wait(End - Now);
  }
}

bool ServicePool::hasUsableMember(const PlacementRequest &D, Time Now) const {
  for (const auto &[Id, M] : Members)
    if (isUsable(M, Now) && (isPrimary(M) || !D.NeedsPrimary))
      return true;
  return false;
}

// Assigns free connections to waiting statements in queue order.
void ServicePool::wakeWaiters(Time Now) {
  if (WakingWaiters || Queue.size() == 0)
    return;
  WakingWaiters = true;
  std::optional<Checkout> Free;
  const auto CanRun = [&](const admission::Ticket &Ticket) {
    const auto Found = Waiters.find(Ticket.Id);
    if (Found == Waiters.end())
      return false;
    Free = tryPlace(Found->second->D, Now);
    return Free.has_value();
  };
  while (std::optional<admission::Ticket> Next = Queue.popIf(CanRun, Now)) {
    Queue.finish(Next->Id);
    ++Started[Next->Lane];
    Waiter *Owner = Waiters.at(Next->Id);
    Owner->Assigned = std::exchange(Free, std::nullopt);
    Owner->Ready.notify();
  }
  WakingWaiters = false;
}

void ServicePool::setAnswerLimits(const AnswerLimits &Limits) {
  StopLimits = Limits;
  for (const auto &[Id, Waiting] : Waiters)
    Waiting->Ready.notify();
}

void ServicePool::abandon(admission::TicketId Waiting) {
  if (const std::optional<admission::Ticket> Out = Queue.remove(Waiting))
    withdraw({*Out}, AcquireFailure::Abandoned);
}

void ServicePool::withdraw(const std::vector<admission::Ticket> &Tickets,
                           AcquireFailure Why) {
  for (const admission::Ticket &Out : Tickets) {
    const auto Found = Waiters.find(Out.Id);
    if (Found == Waiters.end())
      continue;
    Found->second->Withdrawn = Why;
    Found->second->Ready.notify();
  }
}

} // namespace borageridge::pool
