#ifndef BORAGERIDGE_STORE_CONNECTIONWAITER_H
#define BORAGERIDGE_STORE_CONNECTIONWAITER_H

#include <grpcpp/channel.h>
#include <grpcpp/completion_queue.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace borageridge::store {

/// Waits until channels are connected. A call that is started only on a
/// connected channel is known not to have been sent until then. Thread-safe.
class ConnectionWaiter {
public:
  using Clock = std::chrono::system_clock;
  using Callback = std::function<void(bool Connected)>;

  ConnectionWaiter();
  /// Ends all waits with false.
  ~ConnectionWaiter();
  ConnectionWaiter(const ConnectionWaiter &) = delete;
  ConnectionWaiter &operator=(const ConnectionWaiter &) = delete;

  /// Reports true in the call itself if the channel is connected already;
  /// otherwise reports later, on a thread of its own: true once it is, or
  /// false if the attempt fails or the deadline passes.
  void wait(std::shared_ptr<grpc::Channel> Channel, Clock::time_point Deadline,
            Callback OnEnd);
  /// Ends all waits with false and returns when that is done.
  void close();

private:
  struct Waiting {
    std::shared_ptr<grpc::Channel> Channel;
    Clock::time_point Deadline;
    Callback OnEnd;
  };

  void run();
  void resume(std::unique_ptr<Waiting> W);
  bool notify(std::unique_ptr<Waiting> &W, grpc_connectivity_state Seen,
              Clock::time_point Until);

  grpc::CompletionQueue Queue;
  std::mutex Mutex;
  bool Closing = false;
  std::thread Thread;
};

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_CONNECTIONWAITER_H
