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

/// Why a request got no answer.
enum class Loss {
  /// The endpoint has not received the request.
  NotSent,
  /// The endpoint may have run the request or may yet run it.
  MayHaveRun,
};

/// One connection to an endpoint; answers one request at a time.
class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
public:
  EndpointConnection(runtime::asio::io_context &Io, std::string Member);

  /// Connects and introduces itself. An error reply says why the endpoint
  /// refused; a failure that it was not reached.
  runtime::Task<Expected<statement::Reply>>
  open(runtime::tcp::endpoint To, std::string StartBytes, Duration Limit);

  /// Sends a request and collects its answer. After a loss the connection is
  /// closed.
  runtime::Task<Expected<statement::Reply, Loss>> call(std::string Bytes,
                                                       Duration Limit);

  /// Whether the endpoint has neither closed it nor sent anything unasked.
  bool isQuiet();
  bool isOpen() const { return Socket.is_open(); }
  void close();

  /// Calls Ended once if the endpoint ends the connection between two calls.
  void notifyWhenEnded(std::function<void()> Ended);

  const std::string &member() const { return Member; }
  statement::ConnectionState &state() { return State; }
  Time idleSince() const { return IdleSince; }
  void markIdle(Time Now) { IdleSince = Now; }

private:
  runtime::Task<bool> readLine(std::string &Line);
  runtime::Task<Expected<statement::Reply, Loss>> collect();
  runtime::Task<Expected<statement::Reply, Loss>> exchange(std::string Bytes,
                                                           Duration Limit);
  void awaitEnd();

  runtime::tcp::socket Socket;
  std::string Member;
  std::string Buffer;
  statement::ConnectionState State;
  Time IdleSince;
  std::function<void()> OnEnd;
  bool Calling = false;
  bool AwaitsEnd = false;
};

using Connection = std::shared_ptr<EndpointConnection>;

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_ENDPOINTCONNECTION_H
