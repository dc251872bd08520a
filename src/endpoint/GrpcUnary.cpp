#include "endpoint/GrpcUnary.h"

namespace borageridge::endpoint::detail {

bool UnaryCalls::add(const std::shared_ptr<UnaryCall> &Call) {
  const absl::MutexLock Lock(&Mutex);
  if (Closed)
    return false;
  Calls.insert(Call);
  return true;
}

void UnaryCalls::remove(const std::shared_ptr<UnaryCall> &Call) {
  const absl::MutexLock Lock(&Mutex);
  Calls.erase(Call);
}

void UnaryCalls::close() {
  std::vector<std::shared_ptr<UnaryCall>> Open;
  {
    const absl::MutexLock Lock(&Mutex);
    Closed = true;
    Open.assign(Calls.begin(), Calls.end());
  }
  // A callback that is running may itself add or remove a call, so the gates
  // are closed without the lock.
  for (const auto &Call : Open) {
    Call->Gate.close();
    Call->Context.TryCancel();
  }
}

} // namespace borageridge::endpoint::detail
