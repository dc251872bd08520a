#include "database/ObserveStream.h"

namespace borageridge::database {

namespace {

// Several changes within this time are pushed as one.
constexpr std::chrono::milliseconds PushInterval{1};

} // namespace

ObserveStream *ObserveStream::open(ServerCore &Core,
                                   grpc::CallbackServerContext *Context) {
  auto Stream = std::make_shared<ObserveStream>(Core, Context);
  Stream->Self = Stream;
  ObserveStream *const Result = Stream.get();
  if (Core.Switches.down()) {
    Stream->Finish({grpc::StatusCode::UNAVAILABLE, "down"});
    return Result;
  }
  Core.add(Stream);
  Stream->changed();
  Stream->StartRead(&Stream->Incoming);
  return Result;
}

ObserveStream::ObserveStream(ServerCore &StreamCore,
                             grpc::CallbackServerContext *StreamContext)
    : Core(StreamCore), Context(StreamContext),
      Generation(Core.Switches.generation()) {}

void ObserveStream::changed() {
  Duration Delay = Duration::zero();
  {
    const absl::MutexLock Lock(&Mutex);
    if (Ended || PushPending)
      return;
    if (Core.Switches.down())
      return Context->TryCancel();
    PushPending = true;
    ++Uses;
    Delay = LastPush + PushInterval - std::chrono::steady_clock::now();
  }
  Core.after(Delay, [this] { push(); });
}

void ObserveStream::push() {
  {
    const absl::MutexLock Lock(&Mutex);
    PushPending = false;
    LastPush = std::chrono::steady_clock::now();
  }
  deliver(0);
  release();
}

void ObserveStream::OnReadDone(bool Ok) {
  if (!Ok) {
    {
      const absl::MutexLock Lock(&Mutex);
      Ended = true;
    }
    return release();
  }
  Core.whenReachable([this] {
    deliver(Incoming.sequence());
    StartRead(&Incoming);
  });
}

void ObserveStream::deliver(std::uint64_t PingSequence) {
  endpoint::MemberStatus Status = Core.status();
  Status.set_ping_sequence(PingSequence);
  {
    const absl::MutexLock Lock(&Mutex);
    ++Uses;
  }
  Core.after(Core.Switches.answerDelay(),
             [this, Status = std::move(Status)]() mutable {
               enqueue(std::move(Status));
               release();
             });
}

void ObserveStream::enqueue(endpoint::MemberStatus Status) {
  if (silent() || Core.Switches.cutOff())
    return;
  const absl::MutexLock Lock(&Mutex);
  if (Ended)
    return;
  Queue.push_back(std::move(Status));
  if (Queue.size() > 1)
    return;
  ++Uses;
  StartWrite(&Queue.front());
}

void ObserveStream::OnWriteDone(bool Ok) {
  {
    const absl::MutexLock Lock(&Mutex);
    Queue.pop_front();
    if (Ok && !Ended && !Queue.empty())
      return StartWrite(&Queue.front());
    Queue.clear();
  }
  release();
}

void ObserveStream::release() {
  {
    const absl::MutexLock Lock(&Mutex);
    if (--Uses > 0)
      return;
  }
  Finish(grpc::Status::OK);
}

} // namespace borageridge::database
