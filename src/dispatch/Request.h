#ifndef BORAGERIDGE_DISPATCH_REQUEST_H
#define BORAGERIDGE_DISPATCH_REQUEST_H

#include "dispatch/ConnectionPool.h"
#include "routing/ReadRouter.h"
#include "session/Token.h"
#include "table/Table.h"

#include "caller.pb.h"

#include <optional>
#include <string>

namespace borageridge::dispatch {

enum class RequestType { Read, Write, LookUp, Transaction };

enum class RequestStage {
  /// Waits in the admission queue.
  Queued,
  /// A read that waits for a replica to apply the required position.
  WaitingForReplica,
  /// Sent to the endpoint, which has not replied yet.
  Running,
  /// The endpoint has replied; a majority has not confirmed the position yet.
  Confirming,
  /// A transaction whose caller has not sent the next step yet.
  TransactionIdle,
};

/// Properties of a new request that its message does not contain.
struct RequestContext {
  RequestId Id = NoRequest;
  std::string Caller;
  session::SessionPositions Positions;
  Time Deadline;
};

/// State of one request from admission to the last reply.
struct Request {
  RequestId Id = NoRequest;
  RequestType Type = RequestType::Read;
  std::string Caller;
  std::string RequestKey;
  std::string Class;
  /// Set for reads and writes only.
  caller::ExecuteRequest Message;
  session::SessionPositions Positions;
  Time Arrival;
  Time Deadline;
  std::uint32_t Priority = 5;
  table::Acknowledge Acknowledge = table::Acknowledge::Majority;
  routing::ReadRequirements Demand;

  RequestStage Stage = RequestStage::Queued;
  ConnectionId Connection = 0;
  group::MemberIndex Member = group::NoMember;
  std::uint64_t Sequence = 0;
  Time SentAt;
  /// Expiry of the request's timer: the deadline or an earlier timeout.
  Time TimerAt;
  std::uint32_t Attempts = 0;
  /// The current or an earlier attempt may have taken effect.
  bool MayHaveRun = false;
  /// The wait for a replica has timed out; the read goes to the primary.
  bool ReplicaWaitExpired = false;
  /// Transaction: the caller has received the reply to the begin.
  bool Begun = false;
  /// Transaction: the commit was sent.
  bool Committing = false;
  bool RollingBack = false;
  /// Transaction: the outcome of the commit is unknown and is determined with a
  /// settle message, as for a look-up.
  bool Settling = false;

  /// Term in which the message was sent; 0 for a read from a replica.
  Term ServedTerm = 0;
  /// While Confirming: the reply is sent to the caller once RequiredIndex is
  /// confirmed in ServedTerm and, if RequiredAsOf is set, ServedTerm is known
  /// to have been current at or after that time.
  LogIndex RequiredIndex = 0;
  std::optional<Time> RequiredAsOf;
  endpoint::ConnectionReply EndpointReply;
};

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_REQUEST_H
