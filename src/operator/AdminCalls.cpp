#include "operator/AdminCalls.h"
#include "runtime/Clock.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace borageridge::operators {
namespace {

// Enough to ask some thousand proxies within seconds when a few are down.
constexpr std::size_t MaxThreads = 32;

Expected<admin::StatusReply> statusOf(const AdminTargets &Targets,
                                      const std::string &Address) {
  const auto Channel = connect(Address, Targets.Credentials, Targets.Timeout);
  if (!Channel.has_value())
    return Channel.error();
  const auto Service = admin::AdminService::NewStub(Channel.value());
  grpc::ClientContext Context;
  setTimeout(Context, Targets.Timeout);
  admin::StatusReply Reply;
  const grpc::Status Status =
      Service->Status(&Context, admin::StatusRequest(), &Reply);
  if (!Status.ok())
    return toFailure(Status);
  return Reply;
}

} // namespace

void setTimeout(grpc::ClientContext &Context, Duration Timeout) {
  Context.set_deadline(runtime::callDeadline(Timeout));
}

Expected<std::shared_ptr<grpc::Channel>>
connect(const std::string &Address,
        const std::shared_ptr<grpc::ChannelCredentials> &Credentials,
        Duration Timeout) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  auto Channel = grpc::CreateCustomChannel(Address, Credentials, Arguments);
  const auto Deadline = runtime::callDeadline(Timeout);
  grpc_connectivity_state State = Channel->GetState(true);
  while (State != GRPC_CHANNEL_READY) {
    if (State == GRPC_CHANNEL_TRANSIENT_FAILURE ||
        !Channel->WaitForStateChange(State, Deadline))
      return Failure{FailureKind::Unavailable, "cannot connect to " + Address};
    State = Channel->GetState(true);
  }
  return Channel;
}

Failure toFailure(const grpc::Status &Status) {
  switch (Status.error_code()) {
  case grpc::StatusCode::NOT_FOUND:
    return {FailureKind::NotFound, Status.error_message()};
  case grpc::StatusCode::INVALID_ARGUMENT:
    return {FailureKind::InvalidArgument, Status.error_message()};
  case grpc::StatusCode::PERMISSION_DENIED:
  case grpc::StatusCode::UNAUTHENTICATED:
    return {FailureKind::PermissionDenied, Status.error_message()};
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    return {FailureKind::ResourceExhausted, Status.error_message()};
  case grpc::StatusCode::UNIMPLEMENTED:
    return {FailureKind::Internal, Status.error_message()};
  default:
    return {FailureKind::Unknown, Status.error_message()};
  }
}

std::vector<ProxyStatus> allStatuses(const AdminTargets &Targets) {
  std::vector<ProxyStatus> All(Targets.Addresses.size());
  std::atomic<std::size_t> Next = 0;
  const auto Work = [&] {
    for (std::size_t I = Next++; I < All.size(); I = Next++)
      All[I] = {Targets.Addresses[I], statusOf(Targets, Targets.Addresses[I])};
  };
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < std::min(MaxThreads, All.size()); ++I)
    Threads.emplace_back(Work);
  for (std::thread &T : Threads)
    T.join();
  return All;
}

Expected<std::shared_ptr<grpc::Channel>>
firstReachable(const AdminTargets &Targets) {
  Failure Last{FailureKind::Unavailable, "no address"};
  for (const std::string &Address : Targets.Addresses) {
    auto Channel = connect(Address, Targets.Credentials, Targets.Timeout);
    if (Channel.has_value())
      return Channel;
    Last = Channel.error();
  }
  return Last;
}

} // namespace borageridge::operators
