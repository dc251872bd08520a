#ifndef BORAGERIDGE_HTTP_HTTPCLIENT_H
#define BORAGERIDGE_HTTP_HTTPCLIENT_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "http/Http.h"
#include "runtime/Async.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace borageridge::http {

/// Client of one server with persistent connections. Concurrent requests use
/// separate connections. The client must outlive its requests.
class HttpClient {
public:
  HttpClient(runtime::asio::io_context &Io, runtime::tcp::endpoint Server);
  ~HttpClient();

  /// Whether a request may still be sent.
  using Permission = std::function<bool()>;

  /// Returns Unavailable if no connection could be made, so that the server has
  /// not seen the request, and Unknown if the server may have executed it.
  runtime::Task<Expected<Response>> send(Request Message, Duration Timeout);
  /// Sends the request only if it is permitted once the connection is
  /// established; returns Unavailable otherwise. After Timeout, no part of the
  /// request that is not delivered yet will be.
  runtime::Task<Expected<Response>> sendIf(Permission IsPermitted,
                                           Request Message, Duration Timeout);

  /// Closes idle connections; requests in flight continue.
  void closeIdleConnections();
  /// Closes all established connections; requests on them fail with Unknown.
  /// Requests that are still connecting continue.
  void abortRequests();

private:
  struct Connection;
  runtime::Task<Expected<std::unique_ptr<Connection>>>
  connect(Duration Timeout);
  runtime::Task<Expected<Response>>
  sendAndKeep(std::unique_ptr<Connection> Conn, const Request &Message,
              Duration Timeout);
  runtime::Task<Expected<Response>>
  sendOver(Connection &Conn, const Request &Message, Duration Timeout);
  std::unique_ptr<Connection> takeIdleConnection();

  runtime::asio::io_context &Io;
  runtime::tcp::endpoint Server;
  std::string Host;
  std::vector<std::unique_ptr<Connection>> Idle;
  std::set<Connection *> Busy;
};

} // namespace borageridge::http

#endif // BORAGERIDGE_HTTP_HTTPCLIENT_H
