// Admission of requests and their assignment to connections.

#include "dispatch/GroupEngine.h"

#include <algorithm>
#include <limits>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;
using group::NoMember;

// Reads that accept no stale data wait for the primary. They have their own
// lane so that they do not block reads that a replica can serve.
constexpr std::uint32_t DefaultLane = 0;
constexpr std::uint32_t StrictLane = 1;

bool isRead(const Request &R) { return R.Type == RequestType::Read; }

caller::RefusalReason reasonOf(admission::Rejection Rejection) {
  switch (Rejection) {
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
  NewestSessionTerm = std::max(NewestSessionTerm, R.Demand.Session.EntryTerm);
  Requests.emplace(R.Id, std::move(New));
  setTimer(R, R.Deadline);
  Retries.addRequest(Now);
  const std::uint32_t MaxInFlight =
      CurrentTable.caller(Database, R.Caller).MaxInFlight;
  if (enqueue(R, Bytes, MaxInFlight, Now, Out))
    dispatchQueued(Now, Out);
}

// Returns false if the request was refused; R is destroyed in this case.
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

void GroupEngine::dispatchQueued(Time Now, Actions &Out) {
  if (!Pool.anyIdle())
    return;
  dispatchWrites(Now, Out);
  dispatchReads(Now, Out);
}

bool GroupEngine::canWrite(Time Now) const {
  const Term Active = View.activeTerm();
  if (Active == 0 || Active == RefusedTerm)
    return false;
  if (UnconfirmedWrites >= Settings.MaxUnconfirmedWrites)
    return false;
  return !isSuspected(View.primary(), Now);
}

bool GroupEngine::isBelowConnectionLimit(const Request &R) const {
  const auto Found = CallerConnections.find(R.Caller);
  return Found == CallerConnections.end() ||
         Found->second < CurrentTable.caller(Database, R.Caller).MaxConnections;
}

void GroupEngine::dispatchWrites(Time Now, Actions &Out) {
  if (Writes.size() == 0 || !canWrite(Now))
    return;
  const MemberIndex Primary = View.primary();
  const auto CanStart = [&](const admission::Ticket &Ticket) {
    const Request &R = *Requests.at(Ticket.Id);
    // A session that has observed a newer term must not write in an older one.
    return R.Demand.Session.EntryTerm <= View.activeTerm() &&
           isBelowConnectionLimit(R);
  };
  while (Pool.hasIdle(Primary, Purpose::Write, true) && canWrite(Now)) {
    const auto Ticket = Writes.popIf(CanStart, Now);
    if (!Ticket)
      return;
    Request &R = *Requests.at(Ticket->Id);
    const auto Id = Pool.acquire(Primary, Purpose::Write, true, R.Id, Now);
    R.Member = Primary;
    sendWrite(R, *Id, Now, Out);
  }
}

void GroupEngine::dispatchReads(Time Now, Actions &Out) {
  if (Reads.size() == 0)
    return;
  const auto CanStart = [&](const admission::Ticket &Ticket) {
    Request &R = *Requests.at(Ticket.Id);
    return isBelowConnectionLimit(R) && tryStartRead(R, Now, Out);
  };
  while (Pool.anyIdle() && Reads.popIf(CanStart, Now)) {
  }
}

void GroupEngine::dispatchReplicaWaiters(Time Now, Actions &Out) {
  const std::vector<RequestId> Waiting(ReplicaWaiters.begin(),
                                       ReplicaWaiters.end());
  for (const RequestId Id : Waiting) {
    Request &R = *Requests.at(Id);
    if (isBelowConnectionLimit(R))
      tryStartRead(R, Now, Out);
  }
}

std::vector<routing::MemberLoad> GroupEngine::memberLoads(Time Now) const {
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

// Sends a read or makes it wait for a replica. Returns false if the read has to
// stay in the queue.
bool GroupEngine::tryStartRead(Request &R, Time Now, Actions &Out) {
  // The session has observed a term that this proxy has not learned yet.
  if (R.Demand.Session.EntryTerm > View.record().term())
    return false;
  routing::ReadRequirements Demand = R.Demand;
  if (R.ReplicaWaitExpired)
    Demand.ReplicaAllowed = false;
  const std::vector<routing::MemberLoad> Loads = memberLoads(Now);
  const routing::Route Route = routing::chooseRoute(
      View, Loads, Demand, Settings.Self.AvailabilityZone, Random(), Now);
  MemberIndex Member = Route.Member;
  switch (Route.Kind) {
  case routing::RouteKind::WaitForConnection:
    return false;
  case routing::RouteKind::WaitForReplica:
    if (R.Stage != RequestStage::WaitingForReplica) {
      R.Stage = RequestStage::WaitingForReplica;
      ReplicaWaiters.insert(R.Id);
    }
    setTimer(R, std::min(Route.Until, R.Deadline));
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
  const auto Id = Pool.acquire(Member, Purpose::Read, IsPrimary, R.Id, Now);
  if (!Id)
    return false;
  ReplicaWaiters.erase(R.Id);
  sendRead(R, Member, *Id, Now, Out);
  return true;
}

void GroupEngine::sendRead(Request &R, MemberIndex Member, ConnectionId Id,
                           Time Now, Actions &Out) {
  R.Connection = Id;
  R.Member = Member;
  ++CallerConnections[R.Caller];
  endpoint::ConnectionRequest Message;
  // A replica does not check the term: its reply is validated by position.
  Message.set_term(Member == View.primary() ? View.activeTerm() : 0);
  endpoint::Batch &Batch = *Message.mutable_batch();
  *Batch.mutable_statements() = R.Message.statements();
  Batch.set_read_only(true);
  send(R, std::move(Message), Settings.ReadAttemptTimeout, Now, Out);
}

void GroupEngine::sendWrite(Request &R, ConnectionId Id, Time Now,
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
  send(R, std::move(Message), Settings.WriteAttemptTimeout, Now, Out);
}

void GroupEngine::send(Request &R, endpoint::ConnectionRequest Message,
                       Duration Timeout, Time Now, Actions &Out) {
  R.Stage = RequestStage::Running;
  R.SentAt = Now;
  R.ServedTerm = Message.term();
  ++R.Attempts;
  R.Sequence = Pool.nextSequence(R.Connection);
  Message.set_sequence(R.Sequence);
  setTimer(R, std::min(R.Deadline, Now + Timeout));
  Out.push_back(SendOnConnection{R.Connection, std::move(Message)});
}

void GroupEngine::requeue(Request &R, Time Now, Actions &Out) {
  R.Stage = RequestStage::Queued;
  R.EndpointReply.Clear();
  setTimer(R, R.Deadline);
  (isRead(R) ? Reads : Writes).finish(R.Id);
  // The limit on the caller's requests was checked at admission.
  if (enqueue(R, R.Message.ByteSizeLong(),
              std::numeric_limits<std::uint32_t>::max(), Now, Out))
    dispatchQueued(Now, Out);
}

// The retry budget bounds the additional load that retries cause while an
// endpoint is failing.
void GroupEngine::retryWithinBudget(Request &R, Time Now, Actions &Out) {
  if (!Retries.tryRetry(Now))
    return refuse(R, caller::REFUSAL_REASON_CONNECTION_LOST,
                  "the connection was lost and the retry budget is used up",
                  Now, Out);
  ++Counters.Retries;
  requeue(R, Now, Out);
}

} // namespace borageridge::dispatch
