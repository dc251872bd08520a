#include "endpoint/CallbackGate.h"

namespace borageridge::endpoint {

void CallbackGate::close() {
  const absl::MutexLock Lock(&Mutex);
  Closed = true;
  // An action that closes its own gate cannot be awaited.
  if (Running == std::this_thread::get_id())
    return;
  const auto Idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Running == std::thread::id();
  };
  Mutex.Await(absl::Condition(&Idle));
}

bool CallbackGate::enter() {
  const absl::MutexLock Lock(&Mutex);
  if (Closed)
    return false;
  Running = std::this_thread::get_id();
  return true;
}

void CallbackGate::leave() {
  const absl::MutexLock Lock(&Mutex);
  Running = std::thread::id();
}

} // namespace borageridge::endpoint
