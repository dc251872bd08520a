#include "pool/ServicePool.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;
using statement::ErrorCode;
using statement::Reply;

constexpr Duration RelinquishStep = std::chrono::milliseconds(5);
// Waiting statements: a second of work at a usual rate.
constexpr std::size_t MaxWaiting = 512;
constexpr std::size_t MaxWaitingBytes = std::size_t(32) << 20;
constexpr std::uint32_t PrimaryLane = 0;
constexpr std::uint32_t ReplicaLane = 1;

} // namespace

std::string_view name(Refusal Why) {
  switch (Why) {
  case Refusal::WaitTooLong:
    return "no connection in time";
  case Refusal::QueueFull:
    return "too many statements wait";
  case Refusal::NoPrimary:
    return "no primary in time";
  }
  return "unknown";
}

struct ServicePool::Waiter {
  Waiter(runtime::asio::io_context &Io, Demand Wanted)
      : D(std::move(Wanted)), Ready(Io) {}
  Demand D;
  runtime::Event Ready;
  std::optional<Checkout> Given;
};

ServicePool::ServicePool(PoolContext &Context, std::string Name)
    : Shared(Context), Service(std::move(Name)),
      Queue({MaxWaiting, MaxWaitingBytes}) {
  Spec.Name = Service;
}

ServicePool::MemberState *ServicePool::find(std::string_view Member) {
  const auto Found = Members.find(Member);
  return Found == Members.end() ? nullptr : &Found->second;
}

const ServicePool::MemberState *
ServicePool::find(std::string_view Member) const {
  const auto Found = Members.find(Member);
  return Found == Members.end() ? nullptr : &Found->second;
}

std::vector<catalog::Member> ServicePool::members() const {
  std::vector<catalog::Member> Result;
  for (const auto &[Id, M] : Members)
    if (M.Registered)
      Result.push_back(M.Info);
  return Result;
}

const catalog::Member *ServicePool::primary() const {
  const MemberState *M = find(Record.Primary);
  return M != nullptr && M->Registered ? &M->Info : nullptr;
}

bool ServicePool::isPrimary(const MemberState &M) const {
  return Record.Epoch != 0 && M.Info.Id == Record.Primary;
}

void ServicePool::setMembers(std::vector<catalog::Member> Known, Time Now) {
  for (auto &[Id, M] : Members)
    M.Registered = false;
  for (catalog::Member &Info : Known) {
    MemberState &M = Members[Info.Id];
    const bool Reborn = !M.Info.Id.empty() && M.Info.Born != Info.Born;
    if (Reborn) {
      M.Applied = Position();
      M.AppliedSeen = Time();
      M.Idle.clear();
    }
    if (Info.Leaving && !M.Info.Leaving) {
      M.LeavingSince = Now;
      Shared.Log.write(entry::event::MemberLeaving, Service, Info.Id);
    }
    M.Info = std::move(Info);
    M.Registered = true;
  }
  for (auto It = Members.begin(); It != Members.end();) {
    MemberState &M = It->second;
    if (!M.Registered)
      M.Idle.clear();
    const bool Forget =
        !M.Registered && M.Busy.empty() && M.Opening == 0 && !M.Probing;
    It = Forget ? Members.erase(It) : std::next(It);
  }
  wake(Now);
}

void ServicePool::setRecord(const cluster::GroupRecord &Newer, Time Now) {
  if (Newer.Epoch <= Record.Epoch)
    return;
  const bool SamePrimary = Newer.Primary == Record.Primary &&
                           Newer.PrimaryTerm == Record.PrimaryTerm;
  Shared.Log.write(entry::event::RecordApplied, Service, Newer.Epoch,
                   Newer.PrimaryTerm, Newer.Primary, Newer.Changing);
  if (!SamePrimary || Newer.Changing)
    closePrimaryConnections();
  // While a change is under way nothing is acknowledged, so what is known of
  // the old primary's log stays true. A change that was given up resumes the
  // same log.
  const bool NewLog = !Newer.Changing && (Newer.Primary != LogPrimary ||
                                          Newer.PrimaryTerm != LogTerm);
  if (NewLog) {
    Positions.clear();
    LogEpoch = Newer.Epoch;
    LogPrimary = Newer.Primary;
    LogTerm = Newer.PrimaryTerm;
  }
  Record = Newer;
  wake(Now);
}

Task<void> ServicePool::followRecord(cluster::GroupRecord Newer,
                                     Duration Limit) {
  const bool Begins = Newer.Changing && !Record.Changing && Record.Epoch != 0 &&
                      Newer.Epoch > Record.Epoch;
  if (Begins)
    co_await relinquish(Record.Epoch, Limit);
  setRecord(Newer, bootTime());
}

bool ServicePool::mayUsePrimary(Time Now) const {
  return Record.Epoch != 0 && !Record.Changing && Held < Record.Epoch &&
         Relinquished < Record.Epoch && Shared.Lease.isValid(Now);
}

bool ServicePool::mayAcknowledge(std::uint64_t Epoch, Time Now) const {
  return Epoch == Record.Epoch && !Record.Changing && Relinquished < Epoch &&
         Shared.Lease.isValid(Now);
}

bool ServicePool::isUsable(const MemberState &M, Time Now) const {
  if (!M.Registered || M.Health.isSuspected(Now))
    return false;
  if (isPrimary(M))
    return mayUsePrimary(Now) &&
           !(M.Info.Leaving &&
             Now - M.LeavingSince > Shared.LeavingPrimaryLimit);
  return !M.Info.Leaving;
}

MemberLoad ServicePool::loadOf(MemberState &M, const Demand &D,
                               Time Now) const {
  std::erase_if(M.Idle, [](const Connection &C) { return !C->isOpen(); });
  MemberLoad L;
  L.Primary = isPrimary(M);
  L.Usable = isUsable(M, Now);
  L.Excluded = std::find(D.Excluded.begin(), D.Excluded.end(), M.Info.Id) !=
               D.Excluded.end();
  L.SameZone = M.Info.AvailabilityZone == Shared.AvailabilityZone;
  L.HasIdleConnection = !M.Idle.empty();
  L.CanOpenConnection = mayOpen(M, Now);
  L.Slots = M.Info.Slots;
  L.Sharers = SharingDaemons;
  L.OwnInFlight = M.inFlight();
  L.OthersInFlight = M.OthersInFlight;
  L.Applied = M.Applied;
  L.AppliedSeen = M.AppliedSeen;
  return L;
}

// If the best member needs a new connection, one is opened for later, and the
// statement goes to the best member that has one.
std::optional<Checkout> ServicePool::tryPlace(const Demand &D, Time Now) {
  const std::optional<Position> Required = replicaPosition(
      D, Positions.covering(D.Arrival - D.MaxStaleness), LogEpoch);
  std::vector<MemberLoad> Loads;
  std::vector<MemberState *> States;
  for (auto &[Id, M] : Members) {
    Loads.push_back(loadOf(M, D, Now));
    States.push_back(&M);
  }
  std::optional<Place> Chosen = choosePlace(Loads, D, Required, Now);
  if (Chosen && Chosen->OpenFirst) {
    MemberState &Wanted = *States[Chosen->Member];
    if (Wanted.Opening < std::max<std::size_t>(1, Queue.size()))
      openConnection(Wanted.Info.Id);
    for (MemberLoad &L : Loads)
      L.CanOpenConnection = false;
    Chosen = choosePlace(Loads, D, Required, Now);
  }
  if (!Chosen)
    return std::nullopt;
  return checkOut(*States[Chosen->Member], *Chosen);
}

std::optional<Checkout> ServicePool::checkOut(MemberState &M,
                                              const Place &Chosen) {
  Connection Link = takeIdle(M);
  if (!Link)
    return std::nullopt;
  const bool SlotFree = M.inFlight() + M.OthersInFlight < M.Info.Slots;
  M.Busy.insert(Link);
  return Checkout{std::move(Link), Chosen.After, isPrimary(M), Record.Epoch,
                  SlotFree};
}

Task<Expected<Checkout, Refusal>>
ServicePool::acquire(Demand D, std::string_view Database,
                     std::uint32_t Priority, Time GiveUp, Time Deadline) {
  const Time Now = bootTime();
  if (Queue.size() == 0)
    if (std::optional<Checkout> Free = tryPlace(D, Now))
      co_return std::move(*Free);
  Waiter Self(Shared.Io, std::move(D));
  admission::Ticket Ticket;
  Ticket.Id = ++LastTicket;
  Ticket.Caller = std::string(Database);
  Ticket.Priority = Priority;
  Ticket.Deadline = Deadline;
  Ticket.Lane = Self.D.NeedsPrimary ? PrimaryLane : ReplicaLane;
  if (const auto Known = WorkByDatabase.find(Database);
      Known != WorkByDatabase.end())
    Ticket.Work = Known->second.mean();
  const admission::TicketId Id = Ticket.Id;
  Expected<admission::Admitted, admission::Rejection> Admitted =
      Queue.push(std::move(Ticket), MaxWaiting, Now);
  if (!Admitted)
    co_return Admitted.error() == admission::Rejection::DeadlinePassed
        ? Refusal::WaitTooLong
        : Refusal::QueueFull;
  Waiters.emplace(Id, &Self);
  for (const admission::Ticket &Out : Admitted.value().Displaced)
    if (const auto Found = Waiters.find(Out.Id); Found != Waiters.end())
      Found->second->Ready.notify();
  wake(Now);
  if (!Self.Given)
    co_await Self.Ready.wait(GiveUp - Now);
  // What is late because all members are busy makes room for what can still be
  // in time; what waits for a member to come back is worth waiting for.
  if (!Self.Given && !hasUsableMember(Self.D, bootTime()) && Queue.contains(Id))
    co_await Self.Ready.wait(Deadline - bootTime());
  Waiters.erase(Id);
  Queue.remove(Id);
  if (Self.Given)
    co_return std::move(*Self.Given);
  const Time Later = bootTime();
  if (Later < GiveUp)
    co_return Refusal::QueueFull;
  // A read could have used the primary as well.
  co_return mayUsePrimary(Later) ? Refusal::WaitTooLong : Refusal::NoPrimary;
}

bool ServicePool::hasUsableMember(const Demand &D, Time Now) const {
  for (const auto &[Id, M] : Members)
    if (isUsable(M, Now) && (isPrimary(M) || !D.NeedsPrimary))
      return true;
  return false;
}

// Hands free connections to waiting statements in the order of the queue.
void ServicePool::wake(Time Now) {
  if (Waking || Queue.size() == 0)
    return;
  Waking = true;
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
    Waiter *Owner = Waiters.at(Next->Id);
    Owner->Given = std::exchange(Free, std::nullopt);
    Owner->Ready.notify();
  }
  Waking = false;
}

void ServicePool::rest(const Checkout &Pinned) {
  MemberState *M = find(Pinned.Link->member());
  if (M == nullptr || !M->Busy.contains(Pinned.Link))
    return;
  M->Resting.insert(Pinned.Link);
  wake(bootTime());
}

void ServicePool::resume(const Checkout &Pinned) {
  if (MemberState *M = find(Pinned.Link->member()))
    M->Resting.erase(Pinned.Link);
}

void ServicePool::addWork(std::string_view Database, Duration Took) {
  const auto Known = WorkByDatabase.find(Database);
  if (Known == WorkByDatabase.end())
    WorkByDatabase.emplace(Database, LatencyEstimate()).first->second.add(Took);
  else
    Known->second.add(Took);
}

Task<Expected<Reply, Loss>>
ServicePool::call(const Checkout &Over, std::string Bytes, Duration Limit) {
  const Time SentAt = bootTime();
  const std::string Member = Over.Link->member();
  Expected<Reply, Loss> Answer =
      co_await Over.Link->call(std::move(Bytes), Limit);
  const Time Now = bootTime();
  if (Answer && Answer.value().At)
    Latency.add(Now - SentAt);
  if (MemberState *M = find(Member); M != nullptr && Answer)
    learn(*M, Answer.value(), SentAt, Over.Epoch, Now);
  co_return Answer;
}

void ServicePool::learn(MemberState &M, const Reply &Answer, Time SentAt,
                        std::uint64_t Epoch, Time Now) {
  M.Health.answered(Now);
  if (!Answer.At)
    return;
  M.Applied = *Answer.At;
  M.AppliedSeen = Now;
  const bool StillPrimary = isPrimary(M) && mayAcknowledge(Epoch, Now) &&
                            Answer.Error != ErrorCode::ReadOnly;
  if (StillPrimary)
    Positions.add(SentAt, *Answer.At);
}

Task<void> ServicePool::relinquish(std::uint64_t Epoch, Duration Limit) {
  if (Relinquished >= Epoch)
    co_return;
  Held = std::max(Held, Epoch);
  const Time Start = bootTime();
  const std::string Old = Record.Primary;
  const auto HasWork = [&] {
    const MemberState *M = find(Old);
    return M != nullptr && !M->Busy.empty();
  };
  while (Record.Epoch <= Epoch && !Record.Changing && HasWork() &&
         bootTime() - Start < Limit)
    co_await runtime::sleepFor(RelinquishStep);
  Relinquished = std::max(Relinquished, Epoch);
  if (Record.Epoch <= Epoch)
    closePrimaryConnections();
}

bool ServicePool::isSuspected(std::string_view Member, Time Now) const {
  const MemberState *M = find(Member);
  return M == nullptr || M->Health.isSuspected(Now);
}

std::optional<Evidence> ServicePool::evidence(std::string_view Member,
                                              Time Now) const {
  const MemberState *M = find(Member);
  return M == nullptr ? std::nullopt : M->Health.evidence(Now);
}

std::map<std::string, std::uint32_t> ServicePool::inFlight() const {
  std::map<std::string, std::uint32_t> Result;
  for (const auto &[Id, M] : Members)
    if (M.inFlight() > 0)
      Result.emplace(Id, M.inFlight());
  return Result;
}

void ServicePool::setOthersInFlight(std::map<std::string, std::uint32_t> Sum) {
  for (auto &[Id, M] : Members)
    M.OthersInFlight = Sum.contains(Id) ? Sum[Id] : 0;
  wake(bootTime());
}

std::optional<freshness::PrimaryPositions::Sample>
ServicePool::newestSample() const {
  return Positions.newest();
}

void ServicePool::addSample(std::uint64_t SeenIn, Time AsOf, Position At) {
  if (SeenIn == LogEpoch && LogEpoch != 0)
    Positions.add(AsOf, At);
}

} // namespace borageridge::pool
