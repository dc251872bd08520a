#ifndef BORAGERIDGE_HTTP_HTTPCLIENT_H
#define BORAGERIDGE_HTTP_HTTPCLIENT_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "http/Http.h"
#include "runtime/Async.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace borageridge::http {

/// Calls one server over connections that are kept open. Calls may overlap;
/// each uses a connection of its own. Must outlive its calls.
class HttpClient {
public:
  HttpClient(runtime::asio::io_context &Io, runtime::tcp::endpoint Server);
  ~HttpClient();

  /// Unavailable: the server was not reached and has not seen the call.
  /// Unknown: it may have carried it out.
  runtime::Task<Expected<Response>> call(Request Call, Duration Limit);

  /// Closes the idle connections.
  void dropConnections();
  /// Closes all connections; calls in work fail with Unknown.
  void endCalls();

private:
  struct Connection;
  runtime::Task<Expected<Response>>
  exchange(Connection &Link, const Request &Call, Duration Limit);
  std::unique_ptr<Connection> takeIdle();

  runtime::asio::io_context &Io;
  runtime::tcp::endpoint Server;
  std::string Host;
  std::vector<std::unique_ptr<Connection>> Idle;
  std::set<Connection *> Busy;
};

} // namespace borageridge::http

#endif // BORAGERIDGE_HTTP_HTTPCLIENT_H
