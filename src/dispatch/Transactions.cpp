// Interactive transactions. A transaction holds one endpoint connection from
// begin to end.

#include "dispatch/GroupEngine.h"

namespace borageridge::dispatch {

void GroupEngine::continueTransaction(RequestId Id,
                                      const caller::TransactRequest &Step,
                                      Time Now, Actions &Out) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Request &R = *Found->second;
  if (R.Stage != RequestStage::TransactionIdle) {
    if (R.Connection != 0)
      discardConnection(R, Now, Out);
    return refuse(R, caller::REFUSAL_REASON_BAD_REQUEST,
                  "a step was sent before the previous one was answered", Now,
                  Out);
  }
  endpoint::ConnectionRequest Message;
  Message.set_term(R.ServedTerm);
  switch (Step.step_case()) {
  case caller::TransactRequest::kStatement:
    *Message.mutable_statement() = Step.statement();
    break;
  case caller::TransactRequest::kCommit:
    Message.mutable_commit();
    R.Committing = true;
    R.MayHaveRun = true;
    break;
  case caller::TransactRequest::kRollback:
    Message.set_rollback(true);
    R.RollingBack = true;
    break;
  default:
    discardConnection(R, Now, Out);
    return refuse(R, caller::REFUSAL_REASON_BAD_REQUEST,
                  "the step is not known", Now, Out);
  }
  send(R, std::move(Message), Settings.WriteAttemptTimeout, Now, Out);
}

void GroupEngine::transactionReplied(Request &R,
                                     const endpoint::ConnectionReply &Reply,
                                     Time Now, Actions &Out) {
  const endpoint::EndpointError Error = Reply.error();
  if (Error != endpoint::ENDPOINT_ERROR_NONE) {
    // The endpoint ends the transaction when it refuses a step. The connection
    // is closed nevertheless, to make sure that no transaction is open on it.
    discardConnection(R, Now, Out);
    if (Error == endpoint::ENDPOINT_ERROR_WRONG_TERM && !R.Begun) {
      RefusedTerm = R.ServedTerm;
      RefusedAt = Now;
      return requeue(R, Now, Out);
    }
    // A commit that the endpoint refused has no effect.
    R.MayHaveRun = false;
    if (Error == endpoint::ENDPOINT_ERROR_SETTLED)
      return awaitConfirmation(R, Reply, Now, Out);
    return refuse(R, caller::REFUSAL_REASON_STATEMENT_FAILED, Reply.detail(),
                  Now, Out);
  }
  if (R.RollingBack) {
    releaseConnection(R, Now);
    caller::TransactReply Ended;
    Ended.mutable_end()->set_committed(false);
    finish(R, std::move(Ended), Out);
    return dispatchQueued(Now, Out);
  }
  // A replayed outcome of an earlier attempt also ends the transaction.
  if (R.Committing || Reply.replayed()) {
    R.MayHaveRun = true;
    releaseConnection(R, Now);
    awaitConfirmation(R, Reply, Now, Out);
    return dispatchQueued(Now, Out);
  }
  caller::TransactReply Answer;
  if (!R.Begun)
    Answer.set_begun(true);
  else if (Reply.results_size() > 0)
    *Answer.mutable_result() = Reply.results(0);
  else
    Answer.mutable_result();
  R.Begun = true;
  R.Stage = RequestStage::TransactionIdle;
  setTimer(R, R.Deadline);
  Out.push_back(SendAnswer{R.Id, std::move(Answer), R.Positions, false});
}

// If no commit was sent, the endpoint rolls the transaction back when the
// connection ends. Otherwise a settle message in the current term determines
// the outcome.
void GroupEngine::transactionLost(Request &R, Time Now, Actions &Out) {
  if (!R.Committing) {
    if (!R.Begun)
      return retryWithinBudget(R, Now, Out);
    return refuse(R, caller::REFUSAL_REASON_CONNECTION_LOST,
                  "the connection was lost; the transaction was rolled back",
                  Now, Out);
  }
  R.Settling = true;
  requeue(R, Now, Out);
}

void GroupEngine::abandon(RequestId Id, Time Now, Actions &Out) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Request &R = *Found->second;
  // A request that was sent runs to its end, so that its connection can be
  // reused. A transaction whose commit was not sent is ended by closing its
  // connection.
  const bool Interactive = R.Type == RequestType::Transaction && !R.Committing;
  if (R.Connection != 0 && !Interactive)
    return;
  if (R.Connection != 0)
    discardConnection(R, Now, Out);
  refuse(R, caller::REFUSAL_REASON_DEADLINE, "the caller went away", Now, Out);
  dispatchQueued(Now, Out);
}

} // namespace borageridge::dispatch
