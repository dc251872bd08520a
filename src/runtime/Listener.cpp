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

Expected<std::shared_ptr<Listener>> Listener::open(asio::io_context &Io,
                                                   tcp::endpoint Address,
                                                   SocketHandler Handle) {
  Expected<tcp::acceptor> Acceptor = listen(Io, Address);
  if (!Acceptor)
    return std::move(Acceptor).error();
  const auto Result = std::make_shared<Listener>(std::move(Acceptor).value(),
                                                 std::move(Handle));
  spawn(Io, accept(Result));
  return Result;
}

Task<void> Listener::accept(std::shared_ptr<Listener> Self) {
  while (Self->Acceptor.is_open()) {
    error_code Error;
    tcp::socket Socket = co_await Self->Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, Error));
    if (!Error)
      Self->Handle(std::move(Socket));
    else if (Self->Acceptor.is_open())
      co_await sleepFor(AcceptRetryDelay);
  }
}

void Listener::close() {
  error_code Error;
  Acceptor.non_blocking(true, Error);
  while (!Error) {
    tcp::socket Socket = Acceptor.accept(Error);
    if (!Error)
      Handle(std::move(Socket));
  }
  Acceptor.close(Error);
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
