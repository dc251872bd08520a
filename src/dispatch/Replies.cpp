// Replies of endpoints and their confirmation by a majority.

#include "dispatch/GroupEngine.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

// A new measurement has the weight 1 / LatencyDivisor in the moving average.
constexpr int LatencyDivisor = 8;
// A round of pings for term confirmation that gets no reply is repeated after
// this time.
constexpr Duration ConfirmationRoundTimeout = std::chrono::milliseconds(20);
constexpr Duration ConfirmationRoundMinInterval = std::chrono::milliseconds(1);

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
    Pool.replyReceived(Id, Now);
    return dispatchQueued(Now, Out);
  }
  const auto Found = Requests.find(Connection->Owner);
  // An unexpected sequence number means that the connection is out of step with
  // the request, so it cannot be reused.
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
    return dispatchQueued(Now, Out);
  }
  if (R.ServedTerm != 0) {
    awaitConfirmation(R, Reply, Now, Out);
    return dispatchQueued(Now, Out);
  }
  // The replica was chosen by an earlier status; the reply is validated by the
  // position at which the read actually ran.
  if (!routing::satisfies(View, R.Member, Reply.position().index(), R.Demand)) {
    R.ReplicaWaitExpired = true;
    return requeue(R, Now, Out);
  }
  R.EndpointReply = Reply;
  answer(R, Now, Out);
  dispatchQueued(Now, Out);
}

void GroupEngine::writeReplied(Request &R,
                               const endpoint::ConnectionReply &Reply, Time Now,
                               Actions &Out) {
  releaseConnection(R, Now);
  if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
    endpointRefused(R, Reply, Now, Out);
    return dispatchQueued(Now, Out);
  }
  awaitConfirmation(R, Reply, Now, Out);
  dispatchQueued(Now, Out);
}

void GroupEngine::lookUpReplied(Request &R,
                                const endpoint::ConnectionReply &Reply,
                                Time Now, Actions &Out) {
  releaseConnection(R, Now);
  if (Reply.error() != endpoint::ENDPOINT_ERROR_NONE) {
    // A settle message is idempotent, so it is always safe to retry.
    if (Reply.error() == endpoint::ENDPOINT_ERROR_WRONG_TERM) {
      RefusedTerm = R.ServedTerm;
      RefusedAt = Now;
    }
    return retryWithinBudget(R, Now, Out);
  }
  awaitConfirmation(R, Reply, Now, Out);
  dispatchQueued(Now, Out);
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
    return retryWithinBudget(R, Now, Out);
  case endpoint::ENDPOINT_ERROR_SETTLED:
    // "Not run" is certain only once a majority has confirmed the record of the
    // refusal.
    return awaitConfirmation(R, Reply, Now, Out);
  default:
    break;
  }
  // This attempt had no effect. MayHaveRun stays set if an earlier attempt
  // whose reply was lost may have taken effect.
  return refuse(R, caller::REFUSAL_REASON_STATEMENT_FAILED, Reply.detail(), Now,
                Out);
}

void GroupEngine::awaitConfirmation(Request &R,
                                    const endpoint::ConnectionReply &Reply,
                                    Time Now, Actions &Out) {
  R.EndpointReply = Reply;
  R.Stage = RequestStage::Confirming;
  // Before confirmation, a change of primary can discard the result.
  R.MayHaveRun = R.Type != RequestType::Read;
  setTimer(R, R.Deadline);
  View.primaryCommitted(R.ServedTerm, Reply.position().index(), Now);
  R.RequiredIndex = Reply.position().index();
  R.RequiredAsOf.reset();
  if (R.Type == RequestType::Read)
    R.RequiredAsOf = R.Demand.Arrival - R.Demand.AcceptedAge;
  const bool AtRisk = R.Type == RequestType::Write &&
                      R.Acknowledge == table::Acknowledge::Primary;
  if (AtRisk || isConfirmed(R))
    return answer(R, Now, Out);
  // The term changed while the reply was in transit.
  if (R.ServedTerm != View.record().term())
    return restartInNewTerm(R, Now, Out);
  Confirming.emplace(R.RequiredIndex, R.Id);
  if (R.Type == RequestType::Read)
    requestTermConfirmation(Now, Out);
  else
    ++UnconfirmedWrites;
}

bool GroupEngine::isConfirmed(const Request &R) const {
  if (R.ServedTerm != View.activeTerm() || !View.isConfirmed(R.RequiredIndex))
    return false;
  if (!R.RequiredAsOf)
    return true;
  const std::optional<Time> AsOf = View.termConfirmedAsOf(R.SentAt);
  return AsOf && *AsOf >= *R.RequiredAsOf;
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

// A single outstanding round of pings serves all waiting reads. Replies to an
// earlier round do not start a new one, and rounds have a minimum interval:
// otherwise a sealed replica, which can never confirm the term, would trigger a
// new round with each reply.
void GroupEngine::requestTermConfirmation(Time Now, Actions &Out) {
  if (ConfirmationRoundSentAt) {
    const Duration Wait = ConfirmationRoundAnswered
                              ? ConfirmationRoundMinInterval
                              : ConfirmationRoundTimeout;
    if (Now - *ConfirmationRoundSentAt < Wait)
      return;
  }
  ConfirmationRoundSentAt = Now;
  ConfirmationRoundFirstPing = NextPingSequence + 1;
  ConfirmationRoundAnswered = false;
  for (MemberIndex I = 0; I < View.members().size(); ++I)
    if (View.member(I).InRecord && I != View.primary() &&
        MemberRuntimes[I].Observing)
      ping(I, Now, Out);
}

// Replies of a replaced primary can no longer be confirmed. The requests are
// restarted in the new term; if they have a request key, it shows there whether
// the first attempt took effect.
void GroupEngine::abortConfirmations(Time Now, Actions &Out) {
  std::vector<RequestId> Stale;
  for (const auto &[Index, Id] : Confirming)
    if (Requests.at(Id)->ServedTerm != View.record().term())
      Stale.push_back(Id);
  for (const RequestId Id : Stale) {
    Request &R = *Requests.at(Id);
    Confirming.erase({R.RequiredIndex, Id});
    if (R.Type != RequestType::Read)
      --UnconfirmedWrites;
    restartInNewTerm(R, Now, Out);
  }
}

// A replaced primary that is partitioned or paused may never reply. Requests
// sent to it are retried in the new term without waiting for their timeouts.
void GroupEngine::failRequestsToReplacedPrimary(Time Now, Actions &Out) {
  const Term Active = View.activeTerm();
  if (Active == 0)
    return;
  std::vector<ConnectionId> Replaced;
  for (const auto &[Id, R] : Requests)
    if (R->Stage == RequestStage::Running && R->ServedTerm != 0 &&
        R->ServedTerm < Active)
      Replaced.push_back(R->Connection);
  for (const ConnectionId Id : Replaced)
    connectionLost(Id, Now, Out);
}

// The proxy does not keep the statements of a transaction, so it cannot run the
// transaction again; it can only determine the outcome.
void GroupEngine::restartInNewTerm(Request &R, Time Now, Actions &Out) {
  if (R.Type == RequestType::Transaction)
    R.Settling = true;
  requeue(R, Now, Out);
}

void GroupEngine::connectionFailed(ConnectionId Id, const Failure &Error,
                                   Time Now, Actions &Out) {
  const PooledConnection *Connection = Pool.find(Id);
  if (!Connection)
    return;
  if (Error.Kind == FailureKind::Unavailable)
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
  retryWithinBudget(R, Now, Out);
}

} // namespace borageridge::dispatch
