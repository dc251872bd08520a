#ifndef BORAGERIDGE_DISPATCH_ACTIONS_H
#define BORAGERIDGE_DISPATCH_ACTIONS_H

#include "dispatch/ConnectionPool.h"
#include "failover/Actions.h"
#include "session/Token.h"

#include "caller.pb.h"
#include "endpoint.pb.h"

#include <string>
#include <variant>
#include <vector>

namespace borageridge::dispatch {

/// Opens a connection and sends a hello message with sequence number 1 on it.
struct OpenConnection {
  ConnectionId Id = 0;
  group::MemberIndex Member = group::NoMember;
};

/// Closes a connection immediately. No further event of the connection may be
/// reported to the engine.
struct CloseConnection {
  ConnectionId Id = 0;
};

struct SendOnConnection {
  ConnectionId Id = 0;
  endpoint::ConnectionRequest Message;
};

/// Starts or restarts the status stream of a member. Address replaces the
/// address of an earlier stream.
struct ObserveMember {
  group::MemberIndex Member = group::NoMember;
  std::string Name;
  std::string Address;
};

struct SendPing {
  group::MemberIndex Member = group::NoMember;
  std::uint64_t Sequence = 0;
};

using ReplyMessage = std::variant<caller::ExecuteReply, caller::LookUpReply,
                                  caller::TransactReply>;

/// Sends a reply to the caller of a request. Positions go into the new session
/// token.
struct SendAnswer {
  RequestId Request = NoRequest;
  ReplyMessage Reply;
  session::SessionPositions Positions;
  /// No further reply follows for this request.
  bool Last = true;
};

/// A call to the store or a member that the failover protocol requires.
struct FailoverAction {
  failover::Action Action;
};

using Action =
    std::variant<OpenConnection, CloseConnection, SendOnConnection,
                 ObserveMember, SendPing, SendAnswer, FailoverAction>;
using Actions = std::vector<Action>;

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_ACTIONS_H
