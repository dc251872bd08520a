// Replies of endpoints and their confirmation by a majority.

#include "dispatch/GroupEngine.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

// Weight of a new latency measurement is 1 / LatencyDivisor.
constexpr int LatencyDivisor = 8;
// A lost round of pings for term confirmation is repeated after this time.
constexpr Duration RoundTimeout = std::chrono::milliseconds(20);
constexpr Duration RoundDistance = std::chrono::milliseconds(1);

} // namespace

void GroupEngine::connectionReplied(ConnectionId Id,
                                    const endpoint::ConnectionReply &Reply,
                                    Time Now, Actions &Out) {
  const PooledConnection *Connection = Pool.find(Id);
  if (!Connection)
    return;
  if (Connection->State != ConnectionState::Busy) {
    if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
      Pool.remove(Id, true, Now);
      Out.push_back(CloseConnection{Id});
      return;
    }
    Pool.answered(Id, Now);
    return pump(Now, Out);
  }
  const auto Found = Requests.find(Connection->Owner);
  // A reply that does not belong to the request in work shows that the
  // connection is not clean.
  if (Found == Requests.end() || Reply.sequence() != Found->second->Sequence)
    return connectionLost(Id, Now, Out);
  Request &R = *Found->second;
  Duration &Latency = MemberRuntimes[R.Member].Latency[R.Type];
  const Duration Measured = Now - R.SentAt;
  Latency +=
      (Measured - Latency) / (Latency == Duration::zero() ? 1 : LatencyDivisor);
  switch (R.Type) {
  case RequestType::Read:
    return readReplied(R, Reply, Now, Out);
  case RequestType::Write:
    return writeReplied(R, Reply, Now, Out);
  case RequestType::LookUp:
    return lookUpReplied(R, Reply, Now, Out);
  case RequestType::Transaction:
    return R.Settling ? lookUpReplied(R, Reply, Now, Out)
                      : transactionReplied(R, Reply, Now, Out);
  }
}

void GroupEngine::releaseConnection(Request &R, Time Now) {
  Pool.release(R.Connection, Now);
  R.Connection = 0;
  const auto Found = CallerConnections.find(R.Caller);
  if (Found != CallerConnections.end() && --Found->second == 0)
    CallerConnections.erase(Found);
}

void GroupEngine::discardConnection(Request &R, Time Now, Actions &Out) {
  const ConnectionId Id = R.Connection;
  releaseConnection(R, Now);
  Pool.remove(Id, true, Now);
  Out.push_back(CloseConnection{Id});
}

void GroupEngine::readReplied(Request &R,
                              const endpoint::ConnectionReply &Reply, Time Now,
                              Actions &Out) {
  releaseConnection(R, Now);
  if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
    endpointRefused(R, Reply, Now, Out);
    return pump(Now, Out);
  }
  if (R.ServedTerm != 0) {
    awaitConfirmation(R, Reply, Now, Out);
    return pump(Now, Out);
  }
  // The choice of the replica rested on an earlier status; the answer is
  // judged by what it really saw.
  if (!routing::satisfies(View, R.Member, Reply.position().index(), R.Demand)) {
    R.ReplicaWaitOver = true;
    return requeue(R, Now, Out);
  }
  R.Held = Reply;
  answer(R, Now, Out);
  pump(Now, Out);
}

void GroupEngine::writeReplied(Request &R,
                               const endpoint::ConnectionReply &Reply, Time Now,
                               Actions &Out) {
  releaseConnection(R, Now);
  if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
    endpointRefused(R, Reply, Now, Out);
    return pump(Now, Out);
  }
  awaitConfirmation(R, Reply, Now, Out);
  pump(Now, Out);
}

void GroupEngine::lookUpReplied(Request &R,
                                const endpoint::ConnectionReply &Reply,
                                Time Now, Actions &Out) {
  releaseConnection(R, Now);
  if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
    // A settle can be repeated without harm.
    if (Reply.error() == endpoint::ENDPOINT_ERROR_WRONG_TERM) {
      RefusedTerm = R.ServedTerm;
      RefusedAt = Now;
    }
    return retryLater(R, Now, Out);
  }
  awaitConfirmation(R, Reply, Now, Out);
  pump(Now, Out);
}

void GroupEngine::endpointRefused(Request &R,
                                  const endpoint::ConnectionReply &Reply,
                                  Time Now, Actions &Out) {
  switch (Reply.error()) {
  case endpoint::ENDPOINT_ERROR_WRONG_TERM:
    if (R.ServedTerm == View.activeTerm()) {
      RefusedTerm = R.ServedTerm;
      RefusedAt = Now;
    }
    return requeue(R, Now, Out);
  case endpoint::ENDPOINT_ERROR_LEAVING:
  case endpoint::ENDPOINT_ERROR_TOO_MANY_CONNECTIONS:
    return retryLater(R, Now, Out);
  case endpoint::ENDPOINT_ERROR_SETTLED:
    // The refused record itself must survive before "not run" is certain.
    return awaitConfirmation(R, Reply, Now, Out);
  default:
    break;
  }
  // This try had no effect; an earlier one whose answer was lost may have.
  return refuse(R, caller::REFUSAL_REASON_STATEMENT_FAILED, Reply.detail(), Now,
                Out);
}

void GroupEngine::awaitConfirmation(Request &R,
                                    const endpoint::ConnectionReply &Reply,
                                    Time Now, Actions &Out) {
  R.Held = Reply;
  R.At = Stage::Confirming;
  // Until it is confirmed, what the reply tells may or may not survive.
  R.MayHaveRun = R.Type != RequestType::Read;
  wakeAt(R, R.Deadline);
  View.primaryCommitted(R.ServedTerm, Reply.position().index(), Now);
  R.NeedIndex = Reply.position().index();
  R.NeedAsOf.reset();
  if (R.Type == RequestType::Read)
    R.NeedAsOf = R.Demand.Arrival - R.Demand.AcceptedAge;
  const bool AtRisk = R.Type == RequestType::Write &&
                      R.Acknowledge == table::Acknowledge::Primary;
  if (AtRisk || isConfirmed(R))
    return answer(R, Now, Out);
  // The term changed while the reply was on its way.
  if (R.ServedTerm != View.record().term())
    return restartInNewTerm(R, Now, Out);
  Confirming.emplace(R.NeedIndex, R.Id);
  if (R.Type == RequestType::Read)
    requestTermConfirmation(Now, Out);
  else
    ++UnconfirmedWrites;
}

bool GroupEngine::isConfirmed(const Request &R) const {
  if (R.ServedTerm != View.activeTerm() || !View.isConfirmed(R.NeedIndex))
    return false;
  if (!R.NeedAsOf)
    return true;
  const std::optional<Time> AsOf = View.termConfirmedAsOf(R.SentAt);
  return AsOf && *AsOf >= *R.NeedAsOf;
}

void GroupEngine::checkConfirmations(Time Now, Actions &Out) {
  std::vector<RequestId> Confirmed;
  bool AwaitsTerm = false;
  for (const auto &[Index, Id] : Confirming) {
    if (!View.isConfirmed(Index))
      break;
    if (isConfirmed(*Requests.at(Id)))
      Confirmed.push_back(Id);
    else
      AwaitsTerm = true;
  }
  for (const RequestId Id : Confirmed)
    answer(*Requests.at(Id), Now, Out);
  if (AwaitsTerm)
    requestTermConfirmation(Now, Out);
}

// One round at a time serves all reads that wait for it. Answers to an earlier
// round start no new one, and rounds keep a distance: a replica that is sealed
// can never confirm the term, and each answer would start the next round.
void GroupEngine::requestTermConfirmation(Time Now, Actions &Out) {
  if (RoundSentAt) {
    const Duration Wait = RoundAnswered ? RoundDistance : RoundTimeout;
    if (Now - *RoundSentAt < Wait)
      return;
  }
  RoundSentAt = Now;
  RoundFirstPing = NextPingSequence + 1;
  RoundAnswered = false;
  for (MemberIndex I = 0; I < View.members().size(); ++I)
    if (View.member(I).InRecord && I != View.primary() &&
        MemberRuntimes[I].Observing)
      ping(I, Now, Out);
}

// Replies of a replaced primary can no longer be confirmed. Requests that can
// be repeated start again in the new term; there the request key tells whether
// the first try survived.
void GroupEngine::abortConfirmations(Time Now, Actions &Out) {
  std::vector<RequestId> Stale;
  for (const auto &[Index, Id] : Confirming)
    if (Requests.at(Id)->ServedTerm != View.record().term())
      Stale.push_back(Id);
  for (const RequestId Id : Stale) {
    Request &R = *Requests.at(Id);
    Confirming.erase({R.NeedIndex, Id});
    if (R.Type != RequestType::Read)
      --UnconfirmedWrites;
    restartInNewTerm(R, Now, Out);
  }
}

// A replaced primary that was cut off or frozen may never reply; what was sent
// to it is settled in the new term instead of after its own timeout.
void GroupEngine::abandonReplacedPrimary(Time Now, Actions &Out) {
  const Term Active = View.activeTerm();
  if (Active == 0)
    return;
  std::vector<ConnectionId> Replaced;
  for (const auto &[Id, R] : Requests)
    if (R->At == Stage::Running && R->ServedTerm != 0 && R->ServedTerm < Active)
      Replaced.push_back(R->Connection);
  for (const ConnectionId Id : Replaced)
    connectionLost(Id, Now, Out);
}

// The statements of a transaction are its caller's; only its outcome can be
// found out.
void GroupEngine::restartInNewTerm(Request &R, Time Now, Actions &Out) {
  if (R.Type == RequestType::Transaction)
    R.Settling = true;
  requeue(R, Now, Out);
}

void GroupEngine::connectionFailed(ConnectionId Id, const Failure &Why,
                                   Time Now, Actions &Out) {
  const PooledConnection *Connection = Pool.find(Id);
  if (!Connection)
    return;
  if (Why.Kind == FailureKind::Unavailable)
    Suspicion.connectionRefused(View.member(Connection->Member).Name, Now);
  connectionLost(Id, Now, Out);
}

void GroupEngine::connectionLost(ConnectionId Id, Time Now, Actions &Out) {
  const PooledConnection *Connection = Pool.find(Id);
  if (!Connection)
    return;
  const auto Found = Requests.find(Connection->Owner);
  if (Connection->State != ConnectionState::Busy || Found == Requests.end()) {
    Pool.remove(Id, true, Now);
    Out.push_back(CloseConnection{Id});
    return;
  }
  Request &R = *Found->second;
  discardConnection(R, Now, Out);
  if (R.Type == RequestType::Transaction && !R.Settling)
    return transactionLost(R, Now, Out);
  if (R.Type == RequestType::Write)
    R.MayHaveRun = true;
  retryLater(R, Now, Out);
}

} // namespace borageridge::dispatch
