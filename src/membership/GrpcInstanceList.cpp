#include "membership/GrpcInstanceList.h"

#include "endpoint/CallbackThreads.h"

#include "instances.grpc.pb.h"
#include "runtime/Clock.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

#include <condition_variable>
#include <mutex>
#include <unordered_set>

namespace borageridge::membership {
namespace {

// Short enough to find a returned list within a second.
constexpr int MinReconnectBackoffMs = 100;
constexpr int MaxReconnectBackoffMs = 1000;

struct Call {
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<instances::InstanceListService::Stub> Service;
  grpc::ClientContext Context;
  instances::ListRequest Request;
  instances::ListReply Reply;
};

Failure toFailure(const grpc::Status &Status) {
  switch (Status.error_code()) {
  case grpc::StatusCode::UNAVAILABLE:
    return {FailureKind::Unavailable, Status.error_message()};
  case grpc::StatusCode::PERMISSION_DENIED:
  case grpc::StatusCode::UNAUTHENTICATED:
    return {FailureKind::PermissionDenied, Status.error_message()};
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    return {FailureKind::ResourceExhausted, Status.error_message()};
  default:
    return {FailureKind::Unknown, Status.error_message()};
  }
}

} // namespace

struct GrpcInstanceList::Core {
  std::shared_ptr<grpc::Channel> channel() {
    const std::lock_guard Lock(Mutex);
    if (Channel == nullptr)
      Channel = open();
    return Channel;
  }

  std::shared_ptr<grpc::Channel> open() const {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     MinReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    // A new channel must be a new connection, or it shares a silent one.
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(Address, Credentials, Arguments);
  }

  bool enter(Call &C) {
    const std::lock_guard Lock(Mutex);
    return !Closing && Running.insert(&C).second;
  }

  void leave(Call &C) {
    const std::lock_guard Lock(Mutex);
    Running.erase(&C);
    Idle.notify_all();
  }

  // A connection without an answer in time may be silent for ever.
  void discard(const Call &C) {
    const std::lock_guard Lock(Mutex);
    if (Channel == C.Channel)
      Channel = nullptr;
  }

  void close() {
    std::unique_lock Lock(Mutex);
    Closing = true;
    for (Call *C : Running)
      C->Context.TryCancel();
    Idle.wait(Lock, [this] { return Running.empty(); });
  }

  std::string Address;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  std::mutex Mutex;
  std::condition_variable Idle;
  std::shared_ptr<grpc::Channel> Channel;
  std::unordered_set<Call *> Running;
  bool Closing = false;
};

GrpcInstanceList::GrpcInstanceList(
    std::string Address, std::shared_ptr<grpc::ChannelCredentials> Credentials)
    : Shared(std::make_shared<Core>()) {
  Shared->Address = std::move(Address);
  Shared->Credentials = std::move(Credentials);
  // A call may destroy the last channel in its callback.
  endpoint::keepCallbackThreads();
}

GrpcInstanceList::~GrpcInstanceList() { Shared->close(); }

void GrpcInstanceList::list(Duration Timeout, ListCallback OnList) {
  auto C = std::make_shared<Call>();
  C->Channel = Shared->channel();
  C->Service = instances::InstanceListService::NewStub(C->Channel);
  C->Context.set_deadline(runtime::callDeadline(Timeout));
  if (!Shared->enter(*C))
    return OnList(Failure{FailureKind::Unavailable, "the list is closed"});
  C->Service->async()->List(
      &C->Context, &C->Request, &C->Reply,
      [C, Owner = Shared, OnList = std::move(OnList)](grpc::Status Status) {
        if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
          Owner->discard(*C);
        if (Status.ok())
          OnList(std::move(C->Reply));
        else
          OnList(toFailure(Status));
        Owner->leave(*C);
      });
}

} // namespace borageridge::membership
