#include "store/ConnectionWaiter.h"

#include <algorithm>

namespace borageridge::store {

// gRPC cannot cancel a wait for a state, so waits are cut into slices that
// bound the time of close().
static constexpr std::chrono::milliseconds Slice{50};

ConnectionWaiter::ConnectionWaiter() : Thread([this] { run(); }) {}

ConnectionWaiter::~ConnectionWaiter() { close(); }

void ConnectionWaiter::close() {
  {
    const std::lock_guard Lock(Mutex);
    if (!Closing)
      Queue.Shutdown();
    Closing = true;
  }
  if (Thread.joinable())
    Thread.join();
}

void ConnectionWaiter::wait(std::shared_ptr<grpc::Channel> Channel,
                            Clock::time_point Deadline, Callback OnEnd) {
  const grpc_connectivity_state State = Channel->GetState(true);
  if (State == GRPC_CHANNEL_READY)
    return OnEnd(true);
  auto W = std::make_unique<Waiting>(
      Waiting{std::move(Channel), Deadline, std::move(OnEnd)});
  // A wait that is over at once still reports on the thread.
  const bool Failed = State == GRPC_CHANNEL_TRANSIENT_FAILURE;
  const Clock::time_point Now = Clock::now();
  if (!notify(W, State, Failed ? Now : std::min(Deadline, Now + Slice)))
    W->OnEnd(false);
}

bool ConnectionWaiter::notify(std::unique_ptr<Waiting> &W,
                              grpc_connectivity_state Seen,
                              Clock::time_point Until) {
  const std::lock_guard Lock(Mutex);
  if (Closing)
    return false;
  grpc::Channel &Channel = *W->Channel;
  Channel.NotifyOnStateChange(Seen, Until, &Queue, W.release());
  return true;
}

void ConnectionWaiter::run() {
  void *Tag = nullptr;
  bool Changed = false;
  while (Queue.Next(&Tag, &Changed))
    resume(std::unique_ptr<Waiting>(static_cast<Waiting *>(Tag)));
}

void ConnectionWaiter::resume(std::unique_ptr<Waiting> W) {
  const grpc_connectivity_state State = W->Channel->GetState(true);
  const Clock::time_point Now = Clock::now();
  if (State == GRPC_CHANNEL_READY)
    return W->OnEnd(true);
  const bool Over =
      State == GRPC_CHANNEL_TRANSIENT_FAILURE || Now >= W->Deadline;
  if (Over || !notify(W, State, std::min(W->Deadline, Now + Slice)))
    W->OnEnd(false);
}

} // namespace borageridge::store
