#ifndef BORAGERIDGE_RUNTIME_ASYNC_H
#define BORAGERIDGE_RUNTIME_ASYNC_H

#include "borageridge/Types.h"

// Boost 1.74 uses std::exchange in its coroutine support without including it.
#include <utility>

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace borageridge::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
template <typename T> using Task = asio::awaitable<T>;

/// Starts a detached coroutine. An exception that leaves it is thrown from
/// Io.run().
void spawn(asio::io_context &Io, Task<void> Work);

/// Runs the event loop until it is stopped. An exception that leaves a handler
/// or a detached coroutine ends only that one; its text is passed to OnError.
void runUntilStopped(asio::io_context &Io,
                     const std::function<void(std::string_view)> &OnError);

/// Suspends the calling coroutine for Delay.
Task<void> sleepFor(Duration Delay);
/// Runs a task and starts it again Delay after an exception, of which OnError
/// is told. Ends when the task ends without one.
Task<void> keepRunning(std::function<Task<void>()> Run,
                       std::function<void(std::string_view)> OnError,
                       Duration Delay);

/// Auto-reset event for a single waiting coroutine.
class Event {
public:
  explicit Event(asio::io_context &Io);
  /// Wakes the waiting coroutine. If none waits, the next wait() returns at
  /// once.
  void notify();
  /// Returns false if Timeout passed without a signal.
  Task<bool> wait(Duration Timeout);

private:
  asio::steady_timer Timer;
  bool Signalled = false;
};

/// Closes the socket if this object still exists after Timeout.
class Watchdog {
public:
  Watchdog(tcp::socket &Socket, Duration Timeout);
  ~Watchdog();
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;
  bool hasExpired() const { return *Expired; }

private:
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
  std::shared_ptr<bool> Expired;
};

/// Parses "IP:port".
error_code parseEndpoint(std::string_view Text, tcp::endpoint &Result);

/// Connects and sets the common socket options.
Task<error_code> connectTo(tcp::socket &Socket, tcp::endpoint Server,
                           Duration Timeout);
/// Sets the socket options that all connections of a daemon use.
void setSocketOptions(tcp::socket &Socket);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_ASYNC_H
