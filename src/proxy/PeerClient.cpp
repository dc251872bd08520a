#include "proxy/PeerClient.h"

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

namespace borageridge::proxy {

namespace {

// Channels to peers that were replaced are dropped with the rest.
constexpr std::size_t MaxChannels = 256;

struct ExchangeCall {
  grpc::ClientContext Context;
  peer::ExchangeRequest Request;
  peer::ExchangeReply Reply;
  std::unique_ptr<peer::PeerService::Stub> Stub;
};

} // namespace

PeerClient::PeerClient(std::shared_ptr<grpc::ChannelCredentials> With,
                       const grpc::ChannelArguments &ChannelArguments)
    : Credentials(std::move(With)), Arguments(ChannelArguments) {}

std::shared_ptr<grpc::Channel> PeerClient::channel(std::string_view Address) {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Channels.find(Address);
  if (Found != Channels.end())
    return Found->second;
  if (Channels.size() >= MaxChannels)
    Channels.clear();
  auto Opened =
      grpc::CreateCustomChannel(std::string(Address), Credentials, Arguments);
  Channels.emplace(Address, Opened);
  return Opened;
}

void PeerClient::dropChannel(const std::string &Address) {
  const absl::MutexLock Lock(&Mutex);
  Channels.erase(Address);
}

void PeerClient::exchange(std::string_view Address,
                          const peer::ExchangeRequest &Request,
                          Duration Timeout, ExchangeCallback OnReply) {
  auto Call = std::make_shared<ExchangeCall>();
  Call->Request = Request;
  Call->Context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(Timeout));
  Call->Stub = peer::PeerService::NewStub(channel(Address));
  Call->Stub->async()->Exchange(
      &Call->Context, &Call->Request, &Call->Reply,
      [this, Call, Peer = std::string(Address),
       Done = std::move(OnReply)](const grpc::Status &Status) {
        if (Status.ok())
          return Done(std::move(Call->Reply));
        dropChannel(Peer);
        Done(Failure{FailureKind::Unavailable, Status.error_message()});
      });
}

} // namespace borageridge::proxy
