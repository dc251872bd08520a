#ifndef BORAGERIDGE_RUNTIME_ASYNC_H
#define BORAGERIDGE_RUNTIME_ASYNC_H

#include "borageridge/Types.h"

// Boost 1.74 uses std::exchange in its coroutine support without including it.
#include <utility>

#include <boost/asio.hpp>

#include <memory>
#include <string_view>

namespace borageridge::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
template <typename T> using Task = asio::awaitable<T>;

/// Starts a coroutine that nobody waits for. An exception in it ends the
/// process.
void spawn(asio::io_context &Io, Task<void> Work);

/// Suspends the calling coroutine.
Task<void> sleepFor(Duration Delay);

/// Lets one coroutine wait for another one's signal.
class Event {
public:
  explicit Event(asio::io_context &Io);
  /// Wakes the waiting coroutine; a signal without one is kept.
  void notify();
  /// Returns false if Limit passed without a signal.
  Task<bool> wait(Duration Limit);

private:
  asio::steady_timer Timer;
  bool Signalled = false;
};

/// Closes a socket unless it is destroyed in time.
class Watchdog {
public:
  Watchdog(tcp::socket &Socket, Duration Limit);
  ~Watchdog();
  Watchdog(const Watchdog &) = delete;
  Watchdog &operator=(const Watchdog &) = delete;
  bool hasFired() const { return *Fired; }

private:
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
  std::shared_ptr<bool> Fired;
};

/// Parses "IP:port".
error_code parseEndpoint(std::string_view Text, tcp::endpoint &Result);

/// Connects and sets the options that every connection of a daemon has.
Task<error_code> connectTo(tcp::socket &Socket, tcp::endpoint To,
                           Duration Limit);
/// Sets the options of an accepted connection.
void setUsualOptions(tcp::socket &Socket);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_ASYNC_H
