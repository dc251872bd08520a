// Replies to callers and removal of finished requests.

#include "dispatch/GroupEngine.h"

namespace borageridge::dispatch {

namespace {

Position positionOf(const endpoint::ConnectionReply &Reply) {
  return {Reply.position().term(), Reply.position().index()};
}

caller::Refusal makeRefusal(const Request &R, caller::RefusalReason Reason,
                            std::string Detail) {
  caller::Refusal Refusal;
  Refusal.set_reason(Reason);
  // Reads never set MayHaveRun. For other requests, a single attempt without a
  // known outcome makes the outcome of the request uncertain.
  Refusal.set_execution(R.MayHaveRun ? caller::EXECUTION_UNKNOWN
                                     : caller::EXECUTION_NOT_RUN);
  Refusal.set_request_id(R.RequestKey);
  Refusal.set_detail(std::move(Detail));
  return Refusal;
}

void fillServedBy(caller::ServedBy &ServedBy, const std::string &Member,
                  bool Replica, Position At) {
  ServedBy.set_member(Member);
  ServedBy.set_replica(Replica);
  ServedBy.set_term(At.EntryTerm);
  ServedBy.set_position(At.Index);
}

} // namespace

void GroupEngine::answer(Request &R, Time Now, Actions &Out) {
  if (R.EndpointReply.error() == endpoint::ENDPOINT_ERROR_SETTLED) {
    R.MayHaveRun = false;
    return refuse(R, caller::REFUSAL_REASON_SETTLED,
                  "a look-up settled this request as not run", Now, Out);
  }
  const Position At = positionOf(R.EndpointReply);
  const bool Replica = R.Type == RequestType::Read && R.ServedTerm == 0;
  const std::string &Member = View.member(R.Member).Name;
  R.Positions.advance(Database, At);
  if (R.Type == RequestType::LookUp) {
    caller::LookUpReply Reply;
    const bool Ran =
        R.EndpointReply.outcome() == endpoint::RECORDED_OUTCOME_RAN;
    Reply.set_outcome(Ran ? caller::OUTCOME_RAN : caller::OUTCOME_NOT_RUN);
    fillServedBy(*Reply.mutable_served_by(), Member, Replica, At);
    return finish(R, std::move(Reply), Out);
  }
  if (R.Type == RequestType::Transaction) {
    if (R.Settling &&
        R.EndpointReply.outcome() == endpoint::RECORDED_OUTCOME_REFUSED) {
      R.MayHaveRun = false;
      return refuse(R, caller::REFUSAL_REASON_CONNECTION_LOST,
                    "the connection was lost before the commit took effect",
                    Now, Out);
    }
    caller::TransactReply Reply;
    caller::TransactEnd &End = *Reply.mutable_end();
    End.set_committed(true);
    End.set_replayed(R.Settling || R.EndpointReply.replayed());
    fillServedBy(*End.mutable_served_by(), Member, Replica, At);
    return finish(R, std::move(Reply), Out);
  }
  if (R.Type == RequestType::Read)
    ++(Replica ? Counters.ReplicaReads : Counters.PrimaryReads);
  caller::ExecuteReply Reply;
  *Reply.mutable_results() = std::move(*R.EndpointReply.mutable_results());
  Reply.set_replayed(R.EndpointReply.replayed());
  fillServedBy(*Reply.mutable_served_by(), Member, Replica, At);
  finish(R, std::move(Reply), Out);
}

void GroupEngine::refuse(Request &R, caller::RefusalReason Reason,
                         std::string Detail, Time, Actions &Out) {
  const caller::Refusal Refusal = makeRefusal(R, Reason, std::move(Detail));
  if (R.Type == RequestType::LookUp) {
    caller::LookUpReply Reply;
    *Reply.mutable_refusal() = Refusal;
    return finish(R, std::move(Reply), Out);
  }
  if (R.Type == RequestType::Transaction) {
    caller::TransactReply Reply;
    *Reply.mutable_refusal() = Refusal;
    return finish(R, std::move(Reply), Out);
  }
  caller::ExecuteReply Reply;
  *Reply.mutable_refusal() = Refusal;
  finish(R, std::move(Reply), Out);
}

void GroupEngine::finish(Request &R, ReplyMessage Reply, Actions &Out) {
  Out.push_back(SendAnswer{R.Id, std::move(Reply), R.Positions, true});
  removeRequest(R);
}

// R is destroyed.
void GroupEngine::removeRequest(Request &R) {
  admission::AdmissionQueue &Queue =
      R.Type == RequestType::Read ? Reads : Writes;
  if (R.Stage == RequestStage::Queued)
    Queue.remove(R.Id);
  else
    Queue.finish(R.Id);
  if (Confirming.erase({R.RequiredIndex, R.Id}) > 0 &&
      R.Type != RequestType::Read)
    --UnconfirmedWrites;
  ReplicaWaiters.erase(R.Id);
  Timers.erase({R.TimerAt, R.Id});
  Requests.erase(R.Id);
}

} // namespace borageridge::dispatch
