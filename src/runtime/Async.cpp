#include "runtime/Async.h"

#include <charconv>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace borageridge::runtime {
namespace {

// The kernel closes a connection whose peer has not acknowledged data for this
// long. Longer than the retransmission of a single lost packet takes.
constexpr unsigned TcpUserTimeoutMs = 3000;

} // namespace

void spawn(asio::io_context &Io, Task<void> Work) {
  asio::co_spawn(Io, std::move(Work), [](std::exception_ptr Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
}

void runUntilStopped(asio::io_context &Io,
                     const std::function<void(std::string_view)> &OnError) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &Error) {
      OnError(Error.what());
    }
  }
}

Task<void> sleepFor(Duration Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

Task<void> keepRunning(std::function<Task<void>()> Run,
                       std::function<void(std::string_view)> OnError,
                       Duration Delay) {
  for (;;) {
    try {
      co_await Run();
      co_return;
    } catch (const std::exception &Error) {
      OnError(Error.what());
    }
    co_await sleepFor(Delay);
  }
}

Event::Event(asio::io_context &Io) : Timer(Io) {}

void Event::notify() {
  Signalled = true;
  Timer.cancel();
}

Task<bool> Event::wait(Duration Timeout) {
  if (!Signalled && Timeout > Duration::zero()) {
    Timer.expires_after(Timeout);
    error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  co_return std::exchange(Signalled, false);
}

Watchdog::Watchdog(tcp::socket &Socket, Duration Timeout)
    : Timer(Socket.get_executor()), Alive(std::make_shared<bool>(true)),
      Expired(std::make_shared<bool>(false)) {
  Timer.expires_after(Timeout);
  Timer.async_wait(
      [&Socket, Alive = Alive, Expired = Expired](const error_code &Error) {
        if (Error || !*Alive)
          return;
        *Expired = true;
        error_code Ignored;
        Socket.close(Ignored);
      });
}

Watchdog::~Watchdog() { *Alive = false; }

error_code parseEndpoint(std::string_view Text, tcp::endpoint &Result) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return asio::error::invalid_argument;
  error_code Error;
  const auto Ip =
      asio::ip::make_address_v4(std::string(Text.substr(0, Colon)), Error);
  if (Error)
    return Error;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return asio::error::invalid_argument;
  Result = tcp::endpoint(Ip, Port);
  return {};
}

void setSocketOptions(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  const unsigned TimeoutMs = TcpUserTimeoutMs;
  setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs,
             sizeof(TimeoutMs));
}

Task<error_code> connectTo(tcp::socket &Socket, tcp::endpoint Server,
                           Duration Timeout) {
  error_code Error;
  Socket.open(tcp::v4(), Error);
  if (Error)
    co_return Error;
  setSocketOptions(Socket);
  const Watchdog Guard(Socket, Timeout);
  co_await Socket.async_connect(
      Server, asio::redirect_error(asio::use_awaitable, Error));
  co_return Guard.hasExpired() ? error_code(asio::error::timed_out) : Error;
}

} // namespace borageridge::runtime
