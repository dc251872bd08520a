#include "runtime/Listener.h"

#include <string>
#include <utility>

namespace borageridge::runtime {
namespace {

// Delay after a failed accept, for example when no file descriptor is free.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

} // namespace

Expected<tcp::acceptor> listen(asio::io_context &Io, tcp::endpoint Address) {
  tcp::acceptor Acceptor(Io);
  error_code Error;
  Acceptor.open(tcp::v4(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Failure{FailureKind::Unavailable,
                   "cannot listen on " + Address.address().to_string() + ":" +
                       std::to_string(Address.port()) + ": " + Error.message()};
  return Acceptor;
}

Task<void> acceptConnections(tcp::acceptor Acceptor, SocketHandler Handle) {
  for (;;) {
    error_code Error;
    tcp::socket Socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_await sleepFor(AcceptRetryDelay);
    else
      Handle(std::move(Socket));
  }
}

Expected<void> serve(asio::io_context &Io, tcp::endpoint Address,
                     SocketHandler Handle) {
  Expected<tcp::acceptor> Acceptor = listen(Io, Address);
  if (!Acceptor)
    return std::move(Acceptor).error();
  spawn(Io, acceptConnections(std::move(Acceptor).value(), std::move(Handle)));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace borageridge::runtime
