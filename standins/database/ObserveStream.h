#ifndef BORAGERIDGE_DATABASE_OBSERVESTREAM_H
#define BORAGERIDGE_DATABASE_OBSERVESTREAM_H

#include "database/ServerCore.h"

#include <grpcpp/grpcpp.h>

#include <deque>
#include <memory>

namespace borageridge::database {

/// Answers pings and pushes the status when it changes.
class ObserveStream final
    : public grpc::ServerBidiReactor<endpoint::Ping, endpoint::MemberStatus>,
      public Listener,
      public std::enable_shared_from_this<ObserveStream> {
public:
  static ObserveStream *open(ServerCore &Core,
                             grpc::CallbackServerContext *Context);

  ObserveStream(ServerCore &StreamCore,
                grpc::CallbackServerContext *StreamContext);

  void changed() override;
  void OnReadDone(bool Ok) override;
  void OnWriteDone(bool Ok) override;
  void OnDone() override { Self.reset(); }

private:
  bool silent() const { return Core.Switches.generation() != Generation; }
  void push();
  void deliver(std::uint64_t PingSequence);
  void enqueue(endpoint::MemberStatus Status);
  void release();

  ServerCore &Core;
  grpc::CallbackServerContext *const Context;
  const std::uint64_t Generation;
  endpoint::Ping Incoming;
  std::shared_ptr<ObserveStream> Self;

  absl::Mutex Mutex;
  // Uses of this object by reads, writes and timers; the last one finishes.
  int Uses ABSL_GUARDED_BY(Mutex) = 1;
  bool Ended ABSL_GUARDED_BY(Mutex) = false;
  bool PushPending ABSL_GUARDED_BY(Mutex) = false;
  Time LastPush ABSL_GUARDED_BY(Mutex);
  // The first status is the one being written.
  std::deque<endpoint::MemberStatus> Queue ABSL_GUARDED_BY(Mutex);
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_OBSERVESTREAM_H
