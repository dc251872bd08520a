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

// Short enough to reconnect within a second after the service is back.
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
      Channel = createChannel();
    return Channel;
  }

  std::shared_ptr<grpc::Channel> createChannel() const {
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     MinReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    // A private subchannel pool makes each new channel open a new
    // connection. Otherwise it would share the unresponsive one that it
    // replaces.
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(Address, Credentials, Arguments);
  }

  bool addCall(Call &C) {
    const std::lock_guard Lock(Mutex);
    return !Closing && Running.insert(&C).second;
  }

  void removeCall(Call &C) {
    const std::lock_guard Lock(Mutex);
    Running.erase(&C);
    NoneRunning.notify_all();
  }

  // After a timeout the connection may be dead without an error, so the next
  // call must not use it.
  void discardChannel(const Call &C) {
    const std::lock_guard Lock(Mutex);
    if (Channel == C.Channel)
      Channel = nullptr;
  }

  void close() {
    std::unique_lock Lock(Mutex);
    Closing = true;
    for (Call *C : Running)
      C->Context.TryCancel();
    NoneRunning.wait(Lock, [this] { return Running.empty(); });
  }

  std::string Address;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  std::mutex Mutex;
  std::condition_variable NoneRunning;
  std::shared_ptr<grpc::Channel> Channel;
  std::unordered_set<Call *> Running;
  bool Closing = false;
};

GrpcInstanceList::GrpcInstanceList(
    std::string Address, std::shared_ptr<grpc::ChannelCredentials> Credentials)
    : Shared(std::make_shared<Core>()) {
  Shared->Address = std::move(Address);
  Shared->Credentials = std::move(Credentials);
  // A callback may release the last reference to a channel, so the callback
  // threads must outlive this object.
  endpoint::keepCallbackThreads();
}

GrpcInstanceList::~GrpcInstanceList() { Shared->close(); }

void GrpcInstanceList::list(Duration Timeout, ListCallback OnList) {
  auto C = std::make_shared<Call>();
  C->Channel = Shared->channel();
  C->Service = instances::InstanceListService::NewStub(C->Channel);
  C->Context.set_deadline(runtime::callDeadline(Timeout));
  if (!Shared->addCall(*C))
    return OnList(
        Failure{FailureKind::Unavailable, "instance list client is closed"});
  C->Service->async()->List(
      &C->Context, &C->Request, &C->Reply,
      [C, State = Shared, OnList = std::move(OnList)](grpc::Status Status) {
        if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
          State->discardChannel(*C);
        if (Status.ok())
          OnList(std::move(C->Reply));
        else
          OnList(toFailure(Status));
        State->removeCall(*C);
      });
}

} // namespace borageridge::membership
