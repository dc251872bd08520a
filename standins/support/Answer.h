#ifndef BORAGERIDGE_STANDINS_SUPPORT_ANSWER_H
#define BORAGERIDGE_STANDINS_SUPPORT_ANSWER_H

#include <grpcpp/alarm.h>
#include <grpcpp/support/server_callback.h>

#include <chrono>
#include <mutex>

namespace borageridge::standins {

/// The answer to one call, which may be late or never come. A call without an
/// answer ends when its caller gives up or the server stops. Deletes itself.
class Answer : public grpc::ServerUnaryReactor {
public:
  /// Answers after a delay; zero answers at once.
  void send(grpc::Status Status, std::chrono::milliseconds Delay) {
    if (Delay.count() == 0)
      return finishOnce(Status);
    const std::lock_guard Lock(Mutex);
    Timer.Set(std::chrono::system_clock::now() + Delay,
              [this, Status](bool) { finishOnce(Status); });
    TimerSet = true;
  }

  void OnCancel() override {
    {
      // A cancelled timer runs its callback, which then ends the call.
      const std::lock_guard Lock(Mutex);
      if (TimerSet)
        return Timer.Cancel();
    }
    finishOnce(grpc::Status::CANCELLED);
  }

  void OnDone() override { delete this; }

private:
  void finishOnce(const grpc::Status &Status) {
    {
      const std::lock_guard Lock(Mutex);
      if (Finished)
        return;
      Finished = true;
    }
    Finish(Status);
  }

  std::mutex Mutex;
  grpc::Alarm Timer;
  bool TimerSet = false;
  bool Finished = false;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_SUPPORT_ANSWER_H
