#include "admission/AdmissionQueue.h"

#include <algorithm>

namespace borageridge::admission {

std::string_view name(Rejection Why) {
  switch (Why) {
  case Rejection::QueueFull:
    return "queue_full";
  case Rejection::BytesFull:
    return "bytes_full";
  case Rejection::CallerLimit:
    return "caller_limit";
  case Rejection::DeadlinePassed:
    return "deadline_passed";
  }
  return "queue_full";
}

bool AdmissionQueue::Share::empty() const {
  return std::ranges::all_of(ByLane,
                             [](const LaneList &Lane) { return Lane.empty(); });
}

AdmissionQueue::AdmissionQueue(QueueLimits Limit) : Limits(Limit) {}

AdmissionQueue::~AdmissionQueue() {
  while (!Entries.empty())
    discard(Entries.begin()->second);
}

Expected<Admitted, Rejection>
AdmissionQueue::push(Ticket Request, std::size_t CallerMaxInFlight, Time Now) {
  Request.Priority = std::min<std::uint32_t>(Request.Priority, Priorities - 1);
  Request.Lane = std::min<std::uint32_t>(Request.Lane, Lanes - 1);
  if (const auto Why = refusal(Request, CallerMaxInFlight, Now))
    return *Why;
  Admitted Result{displaceFor(Request)};
  insert(std::move(Request));
  return Result;
}

std::optional<Rejection> AdmissionQueue::refusal(const Ticket &Request,
                                                 std::size_t CallerMaxInFlight,
                                                 Time Now) const {
  if (Request.Deadline <= Now)
    return Rejection::DeadlinePassed;
  if (inFlight(Request.Caller) >= CallerMaxInFlight)
    return Rejection::CallerLimit;
  return roomAfterDisplacing(Request);
}

std::optional<Rejection>
AdmissionQueue::roomAfterDisplacing(const Ticket &Request) const {
  std::size_t Tickets = Entries.size();
  std::size_t Bytes = QueuedBytes;
  for (std::size_t Worse = Request.Priority + 1; Worse < Priorities; ++Worse) {
    Tickets -= Levels[Worse].Arrivals.size();
    Bytes -= Levels[Worse].Bytes;
  }
  if (Tickets >= Limits.MaxTickets)
    return Rejection::QueueFull;
  if (Request.Bytes > Limits.MaxBytes ||
      Bytes > Limits.MaxBytes - Request.Bytes)
    return Rejection::BytesFull;
  return std::nullopt;
}

// The newest ticket leaves first because the oldest has waited longest and is
// nearest to its turn.
std::vector<Ticket> AdmissionQueue::displaceFor(const Ticket &Request) {
  std::vector<Ticket> Displaced;
  auto Worst = Levels.rbegin();
  while (Entries.size() >= Limits.MaxTickets ||
         QueuedBytes > Limits.MaxBytes - Request.Bytes) {
    while (Worst->Arrivals.empty())
      ++Worst;
    Displaced.push_back(discard(Worst->Arrivals.back()));
  }
  return Displaced;
}

void AdmissionQueue::insert(Ticket Request) {
  CallerState &Owner = Callers[Request.Caller];
  Level &At = Levels[Request.Priority];
  Share &Waiting = Owner.Shares[Request.Priority];
  if (!Waiting.empty() && Waiting.Work != Request.Work)
    At.Round.erase(At.Round.iterator_to(Waiting));
  if (!Waiting.InRound.is_linked()) {
    Waiting.Work = Request.Work;
    enqueue(At.Round, Waiting);
  }
  ++Owner.InFlight;
  QueuedBytes += Request.Bytes;
  At.Bytes += Request.Bytes;
  Deadlines.emplace(Request.Deadline, Request.Id);
  Entry &Queued = Entries[Request.Id];
  Queued.Owner = &Owner;
  Queued.Request = std::move(Request);
  Waiting.ByLane[Queued.Request.Lane].push_back(Queued);
  ++SizeOfLane[Queued.Request.Lane];
  At.Arrivals.push_back(Queued);
}

// When not all can be served in time, short work first serves the most.
void AdmissionQueue::enqueue(RoundList &Round, Share &Waiting) {
  auto Position = Round.end();
  while (Position != Round.begin() && std::prev(Position)->Work > Waiting.Work)
    --Position;
  Round.insert(Position, Waiting);
}

std::optional<Ticket>
AdmissionQueue::popIf(absl::FunctionRef<bool(const Ticket &)> CanRun,
                      Time Now) {
  for (Level &At : Levels) {
    for (Share &Waiting : At.Round) {
      Entry *Found = candidate(Waiting, CanRun, Now);
      if (Found == nullptr)
        continue;
      // The served caller goes behind those with equal work; those that were
      // passed over keep their turn.
      At.Round.erase(At.Round.iterator_to(Waiting));
      enqueue(At.Round, Waiting);
      Running.emplace(Found->Request.Id, Found->Request.Caller);
      return detach(*Found);
    }
  }
  return std::nullopt;
}

AdmissionQueue::Entry *AdmissionQueue::candidate(
    Share &Waiting, absl::FunctionRef<bool(const Ticket &)> CanRun, Time Now) {
  for (LaneList &Lane : Waiting.ByLane) {
    const auto Head = std::ranges::find_if(Lane, [Now](const Entry &Queued) {
      return Queued.Request.Deadline > Now;
    });
    if (Head != Lane.end() && CanRun(Head->Request))
      return &*Head;
  }
  return nullptr;
}

std::vector<Ticket> AdmissionQueue::expire(Time Now) {
  std::vector<Ticket> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    Expired.push_back(discard(Entries.at(Deadlines.begin()->second)));
  return Expired;
}

std::vector<Ticket> AdmissionQueue::shrink(std::uint32_t Lane,
                                           std::size_t MaxTickets) {
  std::vector<Ticket> Taken;
  while (SizeOfLane[Lane] > MaxTickets)
    Taken.push_back(discard(lastOf(Lane)));
  return Taken;
}

// Of callers with equal work, which take turns, the one with the most tickets
// is served last.
AdmissionQueue::Entry &AdmissionQueue::lastOf(std::uint32_t Lane) {
  auto At = Levels.rbegin();
  for (;; ++At) {
    LaneList *Last = nullptr;
    Duration Work{};
    for (Share &Waiting : At->Round) {
      LaneList &Tickets = Waiting.ByLane[Lane];
      if (Tickets.empty() || (Last != nullptr && Waiting.Work == Work &&
                              Tickets.size() < Last->size()))
        continue;
      Last = &Tickets;
      Work = Waiting.Work;
    }
    if (Last != nullptr)
      return Last->back();
  }
}

std::optional<Ticket> AdmissionQueue::remove(TicketId Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return std::nullopt;
  return discard(Found->second);
}

void AdmissionQueue::finish(TicketId Id) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  release(Found->second);
  Running.erase(Found);
}

std::optional<Time> AdmissionQueue::nextDeadline() const {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
}

std::size_t AdmissionQueue::inFlight(std::string_view Caller) const {
  const auto Found =
      Callers.find(absl::string_view(Caller.data(), Caller.size()));
  return Found == Callers.end() ? 0 : Found->second.InFlight;
}

// Takes a ticket out of the queue; it still counts as in flight.
Ticket AdmissionQueue::detach(Entry &Queued) {
  const Ticket &Request = Queued.Request;
  Level &At = Levels[Request.Priority];
  Share &Waiting = Queued.Owner->Shares[Request.Priority];
  LaneList &Lane = Waiting.ByLane[Request.Lane];
  Lane.erase(Lane.iterator_to(Queued));
  At.Arrivals.erase(At.Arrivals.iterator_to(Queued));
  if (Waiting.empty())
    At.Round.erase(At.Round.iterator_to(Waiting));
  At.Bytes -= Request.Bytes;
  QueuedBytes -= Request.Bytes;
  --SizeOfLane[Request.Lane];
  Deadlines.erase({Request.Deadline, Request.Id});
  Ticket Taken = std::move(Queued.Request);
  Entries.erase(Taken.Id);
  return Taken;
}

Ticket AdmissionQueue::discard(Entry &Queued) {
  Ticket Taken = detach(Queued);
  release(Taken.Caller);
  return Taken;
}

void AdmissionQueue::release(const std::string &Caller) {
  const auto Found = Callers.find(Caller);
  if (--Found->second.InFlight == 0)
    Callers.erase(Found);
}

} // namespace borageridge::admission
