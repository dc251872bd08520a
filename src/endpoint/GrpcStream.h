#ifndef BORAGERIDGE_ENDPOINT_GRPCSTREAM_H
#define BORAGERIDGE_ENDPOINT_GRPCSTREAM_H

#include "borageridge/Failure.h"
#include "endpoint/CallbackGate.h"
#include "endpoint/GrpcFailure.h"

#include "endpoint.grpc.pb.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

namespace borageridge::endpoint::detail {

/// One bidirectional stream on a channel of its own. Keeps itself alive until
/// gRPC has ended the call.
template <typename Request, typename Reply>
class GrpcStream : public grpc::ClientBidiReactor<Request, Reply> {
public:
  using Callback = std::function<void(Expected<Reply>)>;

  GrpcStream(std::shared_ptr<grpc::Channel> OwnChannel, Callback ReplyCallback)
      : Channel(std::move(OwnChannel)), Stub(EndpointService::NewStub(Channel)),
        OnReply(std::move(ReplyCallback)) {}

  /// Open starts the call on the stub. Self is the owner of this object.
  template <typename F> void start(F Open, std::shared_ptr<GrpcStream> Owner) {
    Self = std::move(Owner);
    Open(*Stub, &Context, this);
    // Lets send() start writes outside of gRPC's own calls to this object.
    this->AddHold();
    this->StartRead(&Incoming);
    this->StartCall();
  }

  void send(Request Message) {
    const absl::MutexLock Lock(&Mutex);
    if (Ended)
      return;
    Queue.push_back(std::move(Message));
    if (Queue.size() == 1)
      this->StartWrite(&Queue.front());
  }

  /// No callback runs after this, except one that called it.
  void close() {
    Gate.close();
    Context.TryCancel();
    end();
  }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return end();
    Opened = true;
    Gate.run([this] { OnReply(std::move(Incoming)); });
    this->StartRead(&Incoming);
  }

  void OnWriteDone(bool Ok) override {
    const absl::MutexLock Lock(&Mutex);
    Opened = Opened || Ok;
    Queue.pop_front();
    if (!Ended && !Queue.empty())
      this->StartWrite(&Queue.front());
  }

  void OnDone(const grpc::Status &Status) override {
    const bool Reached = Opened || mayHaveReached(*Channel);
    Gate.run([&] { OnReply(toFailure(Status, Reached)); });
    Self.reset();
  }

private:
  void end() {
    {
      const absl::MutexLock Lock(&Mutex);
      if (Ended)
        return;
      Ended = true;
    }
    this->RemoveHold();
  }

  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<EndpointService::Stub> Stub;
  grpc::ClientContext Context;
  CallbackGate Gate;
  Callback OnReply;
  Reply Incoming;
  std::atomic<bool> Opened = false;
  absl::Mutex Mutex;
  // The first request is the one being written.
  std::deque<Request> Queue ABSL_GUARDED_BY(Mutex);
  bool Ended ABSL_GUARDED_BY(Mutex) = false;
  std::shared_ptr<GrpcStream> Self;
};

} // namespace borageridge::endpoint::detail

#endif // BORAGERIDGE_ENDPOINT_GRPCSTREAM_H
