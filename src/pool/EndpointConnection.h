#ifndef BORAGERIDGE_POOL_ENDPOINTCONNECTION_H
#define BORAGERIDGE_POOL_ENDPOINTCONNECTION_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "runtime/Async.h"
#include "statement/ConnectionState.h"
#include "statement/Statement.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace borageridge::pool {

/// Why a request received no reply.
enum class CallFailure {
  /// The request was not sent.
  NotSent,
  /// The endpoint may have executed the request or may still execute it.
  MayHaveRun,
};

/// A connection to an endpoint. Handles one request at a time.
class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
public:
  /// Organisation: on whose behalf the connection is opened; empty for the
  /// daemon itself.
  EndpointConnection(runtime::asio::io_context &Io, std::string Member,
                     std::string Organisation = {});

  /// Connects and sends the start message. An error reply gives the reason why
  /// the endpoint refused the connection; a failure means that the endpoint was
  /// not reached.
  runtime::Task<Expected<statement::Reply>>
  open(runtime::tcp::endpoint To, std::string StartBytes, Duration Limit);

  /// Sends a request and reads the reply. Closes the connection on failure.
  runtime::Task<Expected<statement::Reply, CallFailure>> call(std::string Bytes,
                                                              Duration Limit);

  /// Whether the endpoint has neither closed the connection nor sent
  /// unsolicited data.
  bool isReusable();
  bool isOpen() const { return Socket.is_open(); }
  /// Tells the endpoint that nothing else will be sent. A call in progress
  /// still receives its reply.
  void finishSending();
  void close();

  /// Calls Handler once if the endpoint closes the connection between calls.
  void onRemoteClose(std::function<void()> Handler);

  const std::string &member() const { return Member; }
  const std::string &organisation() const { return Organisation; }
  statement::ConnectionState &state() { return State; }
  Time idleSince() const { return IdleSince; }
  void markIdle(Time Now) { IdleSince = Now; }

private:
  runtime::Task<bool> readLine(std::string &Line);
  runtime::Task<Expected<statement::Reply, CallFailure>> readReply();
  runtime::Task<Expected<statement::Reply, CallFailure>>
  exchange(std::string Bytes, Duration Limit);
  void watchForClose();

  runtime::tcp::socket Socket;
  std::string Member;
  std::string Organisation;
  std::string Buffer;
  statement::ConnectionState State;
  Time IdleSince;
  std::function<void()> RemoteCloseHandler;
  bool CallInProgress = false;
  bool WatchingForClose = false;
};

using Connection = std::shared_ptr<EndpointConnection>;

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_ENDPOINTCONNECTION_H
