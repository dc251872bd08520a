#include "endpoint/CallbackThreads.h"

#include "endpoint.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace borageridge::endpoint {

namespace {

/// A channel that fails every call, and one call on it.
struct Keeper {
  std::unique_ptr<EndpointService::Stub> Stub = EndpointService::NewStub(
      grpc::CreateCustomChannel("", nullptr, grpc::ChannelArguments()));
  grpc::ClientContext Context;
  SealRequest Request;
  SealReply Reply;
};

// Never deleted; kept here so that leak checkers can reach it.
std::atomic<Keeper *> Kept = nullptr;
std::once_flag KeptOnce;

} // namespace

// The last channel with callbacks that is destroyed joins gRPC's callback
// threads. gRPC 1.51 aborts if that happens on one of these threads. A channel
// that has made a call and is never destroyed prevents it.
void keepCallbackThreads() {
  std::call_once(KeptOnce, [] {
    auto *const New = new Keeper();
    Kept = New;
    New->Stub->async()->Seal(&New->Context, &New->Request, &New->Reply,
                             [](const grpc::Status &) {});
  });
}

} // namespace borageridge::endpoint
