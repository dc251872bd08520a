#ifndef BORAGERIDGE_ENDPOINT_CALLBACKGATE_H
#define BORAGERIDGE_ENDPOINT_CALLBACKGATE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <thread>

namespace borageridge::endpoint {

/// Ends the callbacks of one handle. Callbacks of one gate do not overlap.
class CallbackGate {
public:
  /// Runs Action unless the gate is closed.
  template <typename F> void run(F Action) {
    if (!enter())
      return;
    Action();
    leave();
  }

  /// No action starts after this returns, and none is running, except the one
  /// that called this.
  void close();

private:
  bool enter();
  void leave();

  absl::Mutex Mutex;
  bool Closed ABSL_GUARDED_BY(Mutex) = false;
  std::thread::id Running ABSL_GUARDED_BY(Mutex);
};

} // namespace borageridge::endpoint

#endif // BORAGERIDGE_ENDPOINT_CALLBACKGATE_H
