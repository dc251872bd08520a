#ifndef BORAGERIDGE_DATABASE_SERVERCORE_H
#define BORAGERIDGE_DATABASE_SERVERCORE_H

#include "database/Faults.h"
#include "database/Member.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace borageridge::database {

struct ServerOptions {
  std::string Name;
  MemberOptions Storage;
  std::uint32_t ConnectionLimit = 20;
  std::chrono::milliseconds OpenDelay{10};
};

/// Told about changes of the member's status and of the fault switches.
class Listener {
public:
  virtual ~Listener() = default;
  virtual void changed() = 0;
  /// Called a few times a second.
  virtual void tick() {}
};

/// The member with its threads and fault switches, which the streams share.
class ServerCore {
public:
  using Action = std::function<void()>;

  explicit ServerCore(ServerOptions ServerOptions);
  /// Streams must have ended.
  ~ServerCore();

  const ServerOptions Options;
  Faults Switches;
  std::atomic<std::uint32_t> OpenConnections = 0;
  std::atomic<std::uint32_t> PeakConnections = 0;

  Member &member() { return *Node; }
  endpoint::MemberStatus status() const;

  /// Runs Work on a thread that may block.
  void post(Action Work);
  /// Runs Work after a delay; at once, on this thread, if there is none.
  void after(Duration Delay, Action Work);
  /// Runs Work when the member is not cut off; at once, on this thread, if it
  /// is not cut off now.
  void whenReachable(Action Work);

  void setFaults(const control::Faults &Change);
  /// Tells every listener; also used when the status changed.
  void notify();
  void add(const std::shared_ptr<Listener> &New);

  /// From now on nothing is delayed or held back.
  void stop();

private:
  void releaseHeld();
  std::vector<std::shared_ptr<Listener>> listeners();
  void runApply();
  void runTicks();

  // Threads that may be blocked at the same time: one for each connection, and
  // some for calls that change the term.
  static constexpr std::size_t ExtraThreads = 16;

  boost::asio::thread_pool Pool;
  std::atomic<bool> Started = false;
  std::atomic<bool> Stopping = false;
  std::unique_ptr<Member> Node;

  absl::Mutex Mutex;
  std::vector<std::weak_ptr<Listener>> Listeners ABSL_GUARDED_BY(Mutex);
  std::vector<Action> Held ABSL_GUARDED_BY(Mutex);
  bool ApplyWanted ABSL_GUARDED_BY(Mutex) = false;

  std::thread ApplyThread;
  std::thread TickThread;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_SERVERCORE_H
