// Admission of requests and their way to a connection.

#include "dispatch/GroupEngine.h"

#include <algorithm>
#include <limits>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;
using group::NoMember;

// Reads that accept no age wait for the primary and must not hold up those that
// a replica can answer.
constexpr std::uint32_t DefaultLane = 0;
constexpr std::uint32_t StrictLane = 1;

bool isRead(const Request &R) { return R.Type == RequestType::Read; }

caller::RefusalReason reasonOf(admission::Rejection Why) {
  switch (Why) {
  case admission::Rejection::QueueFull:
  case admission::Rejection::BytesFull:
    return caller::REFUSAL_REASON_QUEUE_FULL;
  case admission::Rejection::CallerLimit:
    return caller::REFUSAL_REASON_CALLER_LIMIT;
  case admission::Rejection::DeadlinePassed:
    return caller::REFUSAL_REASON_DEADLINE;
  }
  return caller::REFUSAL_REASON_QUEUE_FULL;
}

} // namespace

void GroupEngine::admit(std::unique_ptr<Request> New, std::uint64_t Bytes,
                        Time Now, Actions &Out) {
  Request &R = *New;
  R.Arrival = Now;
  R.Demand.Session = R.Positions.at(Database);
  R.Demand.Arrival = Now;
  WantedTerm = std::max(WantedTerm, R.Demand.Session.EntryTerm);
  Requests.emplace(R.Id, std::move(New));
  wakeAt(R, R.Deadline);
  Retries.addRequest(Now);
  const std::uint32_t MaxInFlight =
      InForce.caller(Database, R.Caller).MaxInFlight;
  if (enqueue(R, Bytes, MaxInFlight, Now, Out))
    pump(Now, Out);
}

// Returns false if the request was refused and is gone.
bool GroupEngine::enqueue(Request &R, std::uint64_t Bytes,
                          std::uint32_t MaxInFlight, Time Now, Actions &Out) {
  admission::AdmissionQueue &Queue = isRead(R) ? Reads : Writes;
  const bool Strict = isRead(R) && R.Demand.AcceptedAge == Duration::zero();
  const auto Pushed = Queue.push({R.Id, R.Caller, R.Priority, Bytes, R.Deadline,
                                  Strict ? StrictLane : DefaultLane},
                                 MaxInFlight, Now);
  if (!Pushed.has_value()) {
    refuse(R, reasonOf(Pushed.error()),
           std::string(admission::name(Pushed.error())), Now, Out);
    return false;
  }
  for (const admission::Ticket &Displaced : Pushed.value().Displaced)
    refuse(*Requests.at(Displaced.Id), caller::REFUSAL_REASON_QUEUE_FULL,
           "displaced by a request of a better priority", Now, Out);
  return true;
}

void GroupEngine::pump(Time Now, Actions &Out) {
  if (!Pool.anyIdle())
    return;
  pumpWrites(Now, Out);
  pumpReads(Now, Out);
}

bool GroupEngine::mayWrite(Time Now) const {
  const Term Active = View.activeTerm();
  if (Active == 0 || Active == RefusedTerm)
    return false;
  if (UnconfirmedWrites >= Settings.MaxUnconfirmedWrites)
    return false;
  return !isSuspected(View.primary(), Now);
}

bool GroupEngine::hasConnectionLeft(const Request &R) const {
  const auto Found = CallerConnections.find(R.Caller);
  return Found == CallerConnections.end() ||
         Found->second < InForce.caller(Database, R.Caller).MaxConnections;
}

void GroupEngine::pumpWrites(Time Now, Actions &Out) {
  if (Writes.size() == 0 || !mayWrite(Now))
    return;
  const MemberIndex Primary = View.primary();
  const auto MayStart = [&](const admission::Ticket &Ticket) {
    const Request &R = *Requests.at(Ticket.Id);
    // A session that has seen a newer term must not write in an older one.
    return R.Demand.Session.EntryTerm <= View.activeTerm() &&
           hasConnectionLeft(R);
  };
  while (Pool.hasIdle(Primary, Purpose::Write, true) && mayWrite(Now)) {
    const auto Ticket = Writes.popIf(MayStart, Now);
    if (!Ticket)
      return;
    Request &R = *Requests.at(Ticket->Id);
    const auto Id = Pool.take(Primary, Purpose::Write, true, R.Id, Now);
    R.Member = Primary;
    startWrite(R, *Id, Now, Out);
  }
}

void GroupEngine::pumpReads(Time Now, Actions &Out) {
  if (Reads.size() == 0)
    return;
  const auto MayStart = [&](const admission::Ticket &Ticket) {
    Request &R = *Requests.at(Ticket.Id);
    return hasConnectionLeft(R) && placeRead(R, Now, Out);
  };
  while (Pool.anyIdle() && Reads.popIf(MayStart, Now)) {
  }
}

void GroupEngine::pumpParked(Time Now, Actions &Out) {
  const std::vector<RequestId> Waiting(Parked.begin(), Parked.end());
  for (const RequestId Id : Waiting) {
    Request &R = *Requests.at(Id);
    if (hasConnectionLeft(R))
      placeRead(R, Now, Out);
  }
}

std::vector<routing::MemberLoad> GroupEngine::loads(Time Now) const {
  std::vector<routing::MemberLoad> Loads(View.members().size());
  for (MemberIndex I = 0; I < Loads.size(); ++I) {
    const group::MemberState &State = View.member(I);
    routing::MemberLoad &Load = Loads[I];
    Load.Usable = State.InRecord && !State.leaving() && !isSuspected(I, Now);
    Load.HasIdleConnection = Pool.hasIdle(I, Purpose::Read, false);
    Load.InFlight = Pool.busyCount(I);
    const auto Found = MemberRuntimes[I].Latency.find(RequestType::Read);
    if (Found != MemberRuntimes[I].Latency.end())
      Load.Latency = Found->second;
  }
  return Loads;
}

// Starts or parks a read. Returns false if it has to stay in the queue.
bool GroupEngine::placeRead(Request &R, Time Now, Actions &Out) {
  // The session has seen a term that this proxy does not know yet.
  if (R.Demand.Session.EntryTerm > View.record().term())
    return false;
  routing::ReadRequirements Demand = R.Demand;
  if (R.ReplicaWaitOver)
    Demand.ReplicaAllowed = false;
  const std::vector<routing::MemberLoad> Loads = loads(Now);
  const routing::Route Route = routing::chooseRoute(
      View, Loads, Demand, Settings.Self.AvailabilityZone, Random(), Now);
  MemberIndex Member = Route.Member;
  switch (Route.Kind) {
  case routing::RouteKind::WaitForConnection:
    return false;
  case routing::RouteKind::WaitForReplica:
    if (R.At != Stage::Parked) {
      R.At = Stage::Parked;
      Parked.insert(R.Id);
    }
    wakeAt(R, std::min(Route.Until, R.Deadline));
    return true;
  case routing::RouteKind::Primary:
    Member = View.primary();
    if (Member == NoMember || !Loads[Member].Usable ||
        View.activeTerm() == RefusedTerm)
      return false;
    break;
  case routing::RouteKind::Replica:
    break;
  }
  const bool IsPrimary = Route.Kind == routing::RouteKind::Primary;
  const auto Id = Pool.take(Member, Purpose::Read, IsPrimary, R.Id, Now);
  if (!Id)
    return false;
  Parked.erase(R.Id);
  startRead(R, Member, *Id, Now, Out);
  return true;
}

void GroupEngine::startRead(Request &R, MemberIndex Member, ConnectionId Id,
                            Time Now, Actions &Out) {
  R.Connection = Id;
  R.Member = Member;
  ++CallerConnections[R.Caller];
  endpoint::ConnectionRequest Message;
  // A replica's reply is checked by the position that it saw.
  Message.set_term(Member == View.primary() ? View.activeTerm() : 0);
  endpoint::Batch &Batch = *Message.mutable_batch();
  *Batch.mutable_statements() = R.Message.statements();
  Batch.set_read_only(true);
  send(R, std::move(Message), Settings.ReadTryTimeout, Now, Out);
}

void GroupEngine::startWrite(Request &R, ConnectionId Id, Time Now,
                             Actions &Out) {
  R.Connection = Id;
  ++CallerConnections[R.Caller];
  endpoint::ConnectionRequest Message;
  Message.set_term(View.activeTerm());
  endpoint::RequestKey Key;
  Key.set_caller(R.Caller);
  Key.set_request_id(R.RequestKey);
  if (R.Type == RequestType::LookUp || R.Settling) {
    *Message.mutable_settle()->mutable_request_key() = Key;
  } else if (R.Type == RequestType::Transaction) {
    *Message.mutable_begin()->mutable_request_key() = Key;
  } else {
    endpoint::Batch &Batch = *Message.mutable_batch();
    *Batch.mutable_statements() = R.Message.statements();
    if (!R.RequestKey.empty())
      *Batch.mutable_request_key() = Key;
  }
  send(R, std::move(Message), Settings.WriteTryTimeout, Now, Out);
}

void GroupEngine::send(Request &R, endpoint::ConnectionRequest Message,
                       Duration Timeout, Time Now, Actions &Out) {
  R.At = Stage::Running;
  R.SentAt = Now;
  R.ServedTerm = Message.term();
  ++R.Tries;
  R.Sequence = Pool.nextSequence(R.Connection);
  Message.set_sequence(R.Sequence);
  wakeAt(R, std::min(R.Deadline, Now + Timeout));
  Out.push_back(SendOnConnection{R.Connection, std::move(Message)});
}

void GroupEngine::requeue(Request &R, Time Now, Actions &Out) {
  R.At = Stage::Queued;
  R.Held.Clear();
  wakeAt(R, R.Deadline);
  (isRead(R) ? Reads : Writes).finish(R.Id);
  // The caller's limit was checked when the request was admitted.
  if (enqueue(R, R.Message.ByteSizeLong(),
              std::numeric_limits<std::uint32_t>::max(), Now, Out))
    pump(Now, Out);
}

// Counts against the retry budget: without it, retries would add load just
// when an endpoint is in trouble.
void GroupEngine::retryLater(Request &R, Time Now, Actions &Out) {
  if (!Retries.tryRetry(Now))
    return refuse(R, caller::REFUSAL_REASON_CONNECTION_LOST,
                  "the connection was lost and the retry budget is used up",
                  Now, Out);
  ++Counters.Retries;
  requeue(R, Now, Out);
}

} // namespace borageridge::dispatch
