#ifndef BORAGERIDGE_HTTP_HTTPSERVER_H
#define BORAGERIDGE_HTTP_HTTPSERVER_H

#include "borageridge/Failure.h"
#include "http/Http.h"
#include "runtime/Async.h"
#include "runtime/Listener.h"

#include <functional>
#include <string>

namespace borageridge::http {

/// Returns the response to a request. Runs on the event loop and must not
/// block.
using Handler = std::function<Response(const Request &)>;

/// Listens and serves requests until the event loop stops. Fails if the address
/// cannot be bound.
Expected<void> serve(runtime::asio::io_context &Io,
                     runtime::tcp::endpoint Address, Handler Handle);

/// Returns a handler that serves HTTP on the connections of a listener.
runtime::SocketHandler connectionHandler(runtime::asio::io_context &Io,
                                         Handler Handle);

} // namespace borageridge::http

#endif // BORAGERIDGE_HTTP_HTTPSERVER_H
