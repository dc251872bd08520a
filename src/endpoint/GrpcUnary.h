#ifndef BORAGERIDGE_ENDPOINT_GRPCUNARY_H
#define BORAGERIDGE_ENDPOINT_GRPCUNARY_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "endpoint/CallbackGate.h"
#include "endpoint/GrpcFailure.h"

#include "endpoint.grpc.pb.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "runtime/Clock.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <vector>

namespace borageridge::endpoint::detail {

/// The part of a unary call that does not depend on its messages.
struct UnaryCall {
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<EndpointService::Stub> Stub;
  grpc::ClientContext Context;
  CallbackGate Gate;
};

/// The unary calls in flight of one endpoint.
class UnaryCalls {
public:
  /// Returns false if the set is closed.
  bool add(const std::shared_ptr<UnaryCall> &Call);
  void remove(const std::shared_ptr<UnaryCall> &Call);
  /// Cancels all calls. No callback runs after this, except one that called
  /// it.
  void close();

private:
  absl::Mutex Mutex;
  absl::flat_hash_set<std::shared_ptr<UnaryCall>> Calls ABSL_GUARDED_BY(Mutex);
  bool Closed ABSL_GUARDED_BY(Mutex) = false;
};

template <typename Request, typename Reply> struct TypedCall : UnaryCall {
  Request Outgoing;
  Reply Incoming;
  std::function<void(Expected<Reply>)> OnReply;

  void finish(const grpc::Status &Status) {
    if (Status.ok())
      return OnReply(std::move(Incoming));
    OnReply(toFailure(Status, mayHaveReached(*Channel)));
  }
};

/// Starts one unary call. Invoke calls the method on the asynchronous stub.
template <typename Request, typename Reply, typename F>
void startUnary(const std::shared_ptr<UnaryCalls> &Calls,
                std::shared_ptr<grpc::Channel> Channel, const Request &Message,
                Duration Timeout, std::function<void(Expected<Reply>)> OnReply,
                F Invoke) {
  auto Call = std::make_shared<TypedCall<Request, Reply>>();
  Call->Stub = EndpointService::NewStub(Channel);
  Call->Channel = std::move(Channel);
  Call->Outgoing = Message;
  Call->OnReply = std::move(OnReply);
  Call->Context.set_deadline(runtime::callDeadline(Timeout));
  if (!Calls->add(Call))
    return;
  Invoke(Call->Stub->async(), &Call->Context, &Call->Outgoing, &Call->Incoming,
         [Calls, Call](grpc::Status Status) {
           Call->Gate.run([&] { Call->finish(Status); });
           Calls->remove(Call);
         });
}

} // namespace borageridge::endpoint::detail

#endif // BORAGERIDGE_ENDPOINT_GRPCUNARY_H
