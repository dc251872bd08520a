#ifndef BORAGERIDGE_HTTP_HTTPSERVER_H
#define BORAGERIDGE_HTTP_HTTPSERVER_H

#include "borageridge/Failure.h"
#include "http/Http.h"
#include "runtime/Async.h"
#include "runtime/Listener.h"

#include <functional>
#include <string>

namespace borageridge::http {

/// Answers a request; runs on the event loop and must not wait.
using Handler = std::function<Response(const Request &)>;

/// Listens and serves until the loop ends. Fails if the address cannot be
/// bound.
Expected<void> serve(runtime::asio::io_context &Io,
                     runtime::tcp::endpoint Address, Handler Answer);

/// Serves the connections of a listener.
runtime::SocketHandler connectionHandler(runtime::asio::io_context &Io,
                                         Handler Answer);

} // namespace borageridge::http

#endif // BORAGERIDGE_HTTP_HTTPSERVER_H
