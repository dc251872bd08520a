#ifndef BORAGERIDGE_RUNTIME_LISTENER_H
#define BORAGERIDGE_RUNTIME_LISTENER_H

#include "borageridge/Failure.h"
#include "runtime/Async.h"

#include <functional>

namespace borageridge::runtime {

/// Takes over an accepted connection.
using SocketHandler = std::function<void(tcp::socket)>;

/// Listens on the address; port 0 takes a free one. Unavailable if the address
/// cannot be bound.
Expected<tcp::acceptor> listen(asio::io_context &Io, tcp::endpoint Address);

/// Hands on each connection until the loop ends.
Task<void> acceptAll(tcp::acceptor Acceptor, SocketHandler Accepted);

/// Listens and hands on each connection until the loop ends.
Expected<void> serve(asio::io_context &Io, tcp::endpoint Address,
                     SocketHandler Accepted);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_LISTENER_H
