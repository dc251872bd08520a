#include "rpc/ConnectionLimits.h"

namespace borageridge::rpc {
namespace {

using settings::Milliseconds;
using std::chrono::seconds;

// A client that does not finish its handshake holds a connection no longer.
constexpr Milliseconds HandshakeTimeout = seconds(5);

// An idle connection whose other side vanished is noticed within about a
// minute; at 2,200 client connections a proxy, this is under 40 pings a second.
constexpr Milliseconds ServerPingInterval = seconds(60);
constexpr Milliseconds ServerPingTimeout = seconds(10);

// Clients may ping every 5 s; a client that pings faster three times is
// disconnected. Channels to peers ping at half this rate.
constexpr Milliseconds MinPingInterval = seconds(5);
constexpr int MaxPingStrikes = 2;
constexpr Milliseconds ChannelPingInterval = seconds(10);
constexpr Milliseconds ChannelPingTimeout = seconds(3);
static_assert(ChannelPingInterval >= 2 * MinPingInterval);

// The default of gRPC starts at 1 s and grows to 2 min, which is longer than a
// restart of a peer takes.
constexpr Milliseconds FirstReconnectDelay{100};
constexpr Milliseconds LastReconnectDelay{1000};

int count(Milliseconds Value) { return static_cast<int>(Value.count()); }

} // namespace

void applyLimits(grpc::ServerBuilder &Builder,
                 const settings::LimitSettings &Limits) {
  const auto MessageBytes = static_cast<int>(Limits.MaxMessageBytes);
  Builder.SetMaxReceiveMessageSize(MessageBytes);
  Builder.SetMaxSendMessageSize(MessageBytes);
  const auto Set = [&Builder](const char *Name, int Value) {
    Builder.AddChannelArgument(Name, Value);
  };
  Set(GRPC_ARG_MAX_METADATA_SIZE, static_cast<int>(Limits.MaxMetadataBytes));
  Set(GRPC_ARG_MAX_CONCURRENT_STREAMS,
      static_cast<int>(Limits.MaxStreamsPerConnection));
  Set(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, count(HandshakeTimeout));
  Set(GRPC_ARG_KEEPALIVE_TIME_MS, count(ServerPingInterval));
  Set(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, count(ServerPingTimeout));
  Set(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  Set(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      count(MinPingInterval));
  Set(GRPC_ARG_HTTP2_MAX_PING_STRIKES, MaxPingStrikes);
  Set(GRPC_ARG_ALLOW_REUSEPORT, 0);
}

grpc::ChannelArguments channelArguments(const settings::LimitSettings &Limits) {
  grpc::ChannelArguments Arguments;
  const auto MessageBytes = static_cast<int>(Limits.MaxMessageBytes);
  Arguments.SetMaxReceiveMessageSize(MessageBytes);
  Arguments.SetMaxSendMessageSize(MessageBytes);
  Arguments.SetInt(GRPC_ARG_MAX_METADATA_SIZE,
                   static_cast<int>(Limits.MaxMetadataBytes));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, count(ChannelPingInterval));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, count(ChannelPingTimeout));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   count(FirstReconnectDelay));
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   count(FirstReconnectDelay));
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   count(LastReconnectDelay));
  // Retries are decided by the retry budget only.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return Arguments;
}

} // namespace borageridge::rpc
