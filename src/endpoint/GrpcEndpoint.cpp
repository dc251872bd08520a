#include "endpoint/GrpcEndpoint.h"

#include "endpoint/CallbackThreads.h"
#include "endpoint/GrpcStream.h"
#include "endpoint/GrpcUnary.h"

namespace borageridge::endpoint {

namespace detail {

class ConnectionStream final
    : public GrpcStream<ConnectionRequest, ConnectionReply> {
  using GrpcStream::GrpcStream;
};

class ObservationStream final : public GrpcStream<Ping, MemberStatus> {
  using GrpcStream::GrpcStream;
};

} // namespace detail

GrpcEndpoint::Connection::Connection(
    std::shared_ptr<detail::ConnectionStream> OpenStream)
    : Stream(std::move(OpenStream)) {}

GrpcEndpoint::Connection::~Connection() { Stream->close(); }

void GrpcEndpoint::Connection::send(ConnectionRequest Request) {
  Stream->send(std::move(Request));
}

GrpcEndpoint::Observation::Observation(
    std::shared_ptr<detail::ObservationStream> OpenStream)
    : Stream(std::move(OpenStream)) {}

GrpcEndpoint::Observation::~Observation() { Stream->close(); }

void GrpcEndpoint::Observation::ping(std::uint64_t Sequence) {
  Ping Message;
  Message.set_sequence(Sequence);
  Stream->send(std::move(Message));
}

GrpcEndpoint::GrpcEndpoint(
    std::string MemberAddress,
    std::shared_ptr<grpc::ChannelCredentials> MemberCredentials,
    GrpcEndpointBounds CallBounds)
    : Address(std::move(MemberAddress)),
      Credentials(std::move(MemberCredentials)), Bounds(CallBounds),
      Calls(std::make_shared<detail::UnaryCalls>()) {
  keepCallbackThreads();
}

GrpcEndpoint::~GrpcEndpoint() { Calls->close(); }

std::unique_ptr<GrpcEndpoint::Connection>
GrpcEndpoint::connect(ConnectionCallback OnReply) {
  auto Stream = std::make_shared<detail::ConnectionStream>(openChannel(),
                                                           std::move(OnReply));
  Stream->start([](EndpointService::Stub &Stub, grpc::ClientContext *Context,
                   auto *Reactor) { Stub.async()->Connect(Context, Reactor); },
                Stream);
  return std::make_unique<Connection>(std::move(Stream));
}

std::unique_ptr<GrpcEndpoint::Observation>
GrpcEndpoint::observe(StatusCallback OnStatus) {
  auto Stream = std::make_shared<detail::ObservationStream>(
      openChannel(), std::move(OnStatus));
  Stream->start([](EndpointService::Stub &Stub, grpc::ClientContext *Context,
                   auto *Reactor) { Stub.async()->Observe(Context, Reactor); },
                Stream);
  return std::make_unique<Observation>(std::move(Stream));
}

void GrpcEndpoint::seal(const SealRequest &Request, Duration Timeout,
                        SealCallback OnSeal) {
  detail::startUnary<SealRequest, SealReply>(
      Calls, openChannel(), Request, Timeout, std::move(OnSeal),
      [](auto *Async, auto... Arguments) { Async->Seal(Arguments...); });
}

void GrpcEndpoint::promote(const PromoteRequest &Request, Duration Timeout,
                           PromoteCallback OnPromote) {
  detail::startUnary<PromoteRequest, PromoteReply>(
      Calls, openChannel(), Request, Timeout, std::move(OnPromote),
      [](auto *Async, auto... Arguments) { Async->Promote(Arguments...); });
}

void GrpcEndpoint::follow(const FollowRequest &Request, Duration Timeout,
                          FollowCallback OnFollow) {
  detail::startUnary<FollowRequest, FollowReply>(
      Calls, openChannel(), Request, Timeout, std::move(OnFollow),
      [](auto *Async, auto... Arguments) { Async->Follow(Arguments...); });
}

std::shared_ptr<grpc::Channel> GrpcEndpoint::openChannel() const {
  grpc::ChannelArguments Arguments;
  // Without this, channels to one address share a TCP connection.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  // A retry inside gRPC would hide that a first try may have been carried out.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetMaxReceiveMessageSize(Bounds.MaxMessageBytes);
  Arguments.SetMaxSendMessageSize(Bounds.MaxMessageBytes);
  // The least back-off is also the time limit of one connection attempt.
  const int ConnectTimeout = static_cast<int>(Bounds.ConnectTimeout.count());
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeout);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ConnectTimeout);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ConnectTimeout);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS,
                   static_cast<int>(Bounds.KeepaliveInterval.count()));
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   static_cast<int>(Bounds.KeepaliveTimeout.count()));
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  return grpc::CreateCustomChannel(Address, Credentials, Arguments);
}

} // namespace borageridge::endpoint
