#ifndef BORAGERIDGE_RPC_CONNECTIONLIMITS_H
#define BORAGERIDGE_RPC_CONNECTIONLIMITS_H

#include "settings/Settings.h"

#include <grpcpp/server_builder.h>
#include <grpcpp/support/channel_arguments.h>

namespace borageridge::rpc {

/// Limits of a server: sizes of messages and metadata, streams per connection,
/// time for a handshake, and how often a client may ping. Connections that do
/// not answer a ping are closed. An address that another server listens on is
/// an error.
void applyLimits(grpc::ServerBuilder &Builder,
                 const settings::LimitSettings &Limits);

/// Arguments of a channel to another proxy: the same sizes, pings within what
/// the servers allow, quick reconnection, no retries by gRPC, and no sharing of
/// connections with other channels of the process.
grpc::ChannelArguments channelArguments(const settings::LimitSettings &Limits);

} // namespace borageridge::rpc

#endif // BORAGERIDGE_RPC_CONNECTIONLIMITS_H
