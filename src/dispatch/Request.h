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

enum class Stage {
  /// In the admission queue.
  Queued,
  /// A read that waits for a replica to catch up.
  Parked,
  /// Sent; the endpoint's reply is awaited.
  Running,
  /// Replied; confirmation by a majority is awaited.
  Confirming,
  /// A transaction between two steps of its caller.
  Open,
};

/// What the runtime hands over with a new request.
struct Submission {
  RequestId Id = NoRequest;
  std::string Caller;
  session::SessionPositions Positions;
  Time Deadline;
};

/// One request from its admission to its answer.
struct Request {
  RequestId Id = NoRequest;
  RequestType Type = RequestType::Read;
  std::string Caller;
  std::string RequestKey;
  std::string Class;
  /// For reads and writes.
  caller::ExecuteRequest Message;
  session::SessionPositions Positions;
  Time Arrival;
  Time Deadline;
  std::uint32_t Priority = 5;
  table::Acknowledge Acknowledge = table::Acknowledge::Majority;
  routing::ReadRequirements Demand;

  Stage At = Stage::Queued;
  ConnectionId Connection = 0;
  group::MemberIndex Member = group::NoMember;
  std::uint64_t Sequence = 0;
  Time SentAt;
  /// When the engine has to look at the request again.
  Time WakeAt;
  std::uint32_t Tries = 0;
  /// An earlier or the present try may have taken effect.
  bool MayHaveRun = false;
  /// A parked read that waited long enough goes to the primary.
  bool ReplicaWaitOver = false;
  /// Transaction: the caller was told that it has begun.
  bool Begun = false;
  /// Transaction: commit was sent.
  bool Committing = false;
  bool RollingBack = false;
  /// A transaction whose commit was lost is settled as a look-up.
  bool Settling = false;

  /// Set while confirming: the reply is sent once NeedIndex is confirmed in
  /// term ServedTerm and, if set, the term at or after NeedAsOf.
  Term ServedTerm = 0;
  LogIndex NeedIndex = 0;
  std::optional<Time> NeedAsOf;
  endpoint::ConnectionReply Held;
};

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_REQUEST_H
