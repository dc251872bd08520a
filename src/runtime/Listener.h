#ifndef BORAGERIDGE_RUNTIME_LISTENER_H
#define BORAGERIDGE_RUNTIME_LISTENER_H

#include "borageridge/Failure.h"
#include "runtime/Async.h"

#include <functional>
#include <memory>
#include <utility>

namespace borageridge::runtime {

/// Receives each accepted connection.
using SocketHandler = std::function<void(tcp::socket)>;

/// Listens on the address; port 0 selects a free port. Returns Unavailable if
/// the address cannot be bound.
Expected<tcp::acceptor> listen(asio::io_context &Io, tcp::endpoint Address);

/// Passes each accepted connection to Handle until the event loop stops.
Task<void> acceptConnections(tcp::acceptor Acceptor, SocketHandler Handle);

/// Accepts connections until it is closed.
class Listener {
public:
  /// Returns Unavailable if the address cannot be bound.
  static Expected<std::shared_ptr<Listener>>
  open(asio::io_context &Io, tcp::endpoint Address, SocketHandler Handle);

  explicit Listener(tcp::acceptor Open, SocketHandler Handler)
      : Acceptor(std::move(Open)), Handle(std::move(Handler)) {}

  tcp::endpoint address() const { return Acceptor.local_endpoint(); }

  /// Passes the connections that wait to be accepted to the handler, and then
  /// refuses further connections.
  void close();

private:
  static Task<void> accept(std::shared_ptr<Listener> Self);

  tcp::acceptor Acceptor;
  SocketHandler Handle;
};

/// Listens and passes each accepted connection to Handle until the event loop
/// stops.
Expected<void> serve(asio::io_context &Io, tcp::endpoint Address,
                     SocketHandler Handle);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_LISTENER_H
