#include "store/EtcdChannels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

namespace borageridge::store {
namespace {

// A watch of a whole prefix may return many records at once.
constexpr int MaxReceivedBytes = 64 * 1024 * 1024;
// Short enough to find a returned store within a second.
constexpr int MinReconnectBackoffMs = 100;
constexpr int MaxReconnectBackoffMs = 1000;

} // namespace

EtcdChannels::EtcdChannels(
    std::vector<std::string> StoreAddresses,
    std::shared_ptr<grpc::ChannelCredentials> ChannelCredentials)
    : Addresses(std::move(StoreAddresses)),
      Credentials(std::move(ChannelCredentials)), Channels(Addresses.size()) {}

EtcdChannels::Picked EtcdChannels::pick() {
  const std::lock_guard Lock(Mutex);
  std::shared_ptr<grpc::Channel> &Channel = Channels[InUse];
  if (Channel == nullptr)
    Channel = open(Addresses[InUse]);
  return {Channel, InUse};
}

void EtcdChannels::failed(const Picked &Which, Fault Why) {
  const std::lock_guard Lock(Mutex);
  if (Channels[Which.Slot] != Which.Channel)
    return;
  if (Why == Fault::Silent)
    Channels[Which.Slot] = nullptr;
  if (InUse == Which.Slot)
    InUse = (InUse + 1) % Addresses.size();
}

std::shared_ptr<grpc::Channel>
EtcdChannels::open(const std::string &Address) const {
  grpc::ChannelArguments Arguments;
  Arguments.SetMaxReceiveMessageSize(MaxReceivedBytes);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   MinReconnectBackoffMs);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
  // A new channel must be a new connection, or it shares a silent one.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // A swap must not be sent twice behind the back of its caller.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(Address, Credentials, Arguments);
}

} // namespace borageridge::store
