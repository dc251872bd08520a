#ifndef BORAGERIDGE_RUNTIME_LISTENER_H
#define BORAGERIDGE_RUNTIME_LISTENER_H

#include "borageridge/Failure.h"
#include "runtime/Async.h"

#include <functional>

namespace borageridge::runtime {

/// Receives each accepted connection.
using SocketHandler = std::function<void(tcp::socket)>;

/// Listens on the address; port 0 selects a free port. Returns Unavailable if
/// the address cannot be bound.
Expected<tcp::acceptor> listen(asio::io_context &Io, tcp::endpoint Address);

/// Passes each accepted connection to Handle until the event loop stops.
Task<void> acceptConnections(tcp::acceptor Acceptor, SocketHandler Handle);

/// Listens and passes each accepted connection to Handle until the event loop
/// stops.
Expected<void> serve(asio::io_context &Io, tcp::endpoint Address,
                     SocketHandler Handle);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_LISTENER_H
