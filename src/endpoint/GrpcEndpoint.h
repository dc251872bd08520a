#ifndef BORAGERIDGE_ENDPOINT_GRPCENDPOINT_H
#define BORAGERIDGE_ENDPOINT_GRPCENDPOINT_H

#include "borageridge/Endpoint.h"

#include <grpcpp/security/credentials.h>

#include <chrono>
#include <memory>
#include <string>

namespace borageridge::endpoint {

struct GrpcEndpointBounds {
  int MaxMessageBytes = 1 << 20;
  /// Time for one attempt to open a TCP connection.
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Silence after which a keepalive ping is sent. The member must permit it.
  std::chrono::milliseconds KeepaliveInterval{10000};
  /// Time for the answer to a keepalive ping; then the connection fails.
  std::chrono::milliseconds KeepaliveTimeout{5000};
};

namespace detail {
class ConnectionStream;
class ObservationStream;
class UnaryCalls;
} // namespace detail

/// A member reached over gRPC. Each connection, observation and unary call has
/// a TCP connection of its own, so that a silent one affects nothing else.
///
/// Destroying a handle waits for a callback of it that is running on another
/// thread. Do not destroy it while holding a lock that the callback takes. A
/// callback may destroy its own handle, but two callbacks that destroy each
/// other's handle would wait for each other.
class GrpcEndpoint {
public:
  class Connection {
  public:
    explicit Connection(std::shared_ptr<detail::ConnectionStream> OpenStream);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Sends Request after those sent before. Dropped if the connection has
    /// ended.
    void send(ConnectionRequest Request);

  private:
    std::shared_ptr<detail::ConnectionStream> Stream;
  };

  class Observation {
  public:
    explicit Observation(std::shared_ptr<detail::ObservationStream> OpenStream);
    ~Observation();
    Observation(const Observation &) = delete;
    Observation &operator=(const Observation &) = delete;

    void ping(std::uint64_t Sequence);

  private:
    std::shared_ptr<detail::ObservationStream> Stream;
  };

  /// MemberAddress is IP:port.
  GrpcEndpoint(std::string MemberAddress,
               std::shared_ptr<grpc::ChannelCredentials> MemberCredentials,
               GrpcEndpointBounds CallBounds = {});
  /// Cancels unary calls in flight; no callback of them runs afterwards.
  /// Connections and observations may outlive the endpoint.
  ~GrpcEndpoint();
  GrpcEndpoint(const GrpcEndpoint &) = delete;
  GrpcEndpoint &operator=(const GrpcEndpoint &) = delete;

  std::unique_ptr<Connection> connect(ConnectionCallback OnReply);
  std::unique_ptr<Observation> observe(StatusCallback OnStatus);

  /// Each calls back once, at the latest a little after Timeout. Unavailable
  /// means that the member was not reached, Unknown that it may have acted.
  void seal(const SealRequest &Request, Duration Timeout, SealCallback OnSeal);
  void promote(const PromoteRequest &Request, Duration Timeout,
               PromoteCallback OnPromote);
  void follow(const FollowRequest &Request, Duration Timeout,
              FollowCallback OnFollow);

private:
  std::shared_ptr<grpc::Channel> openChannel() const;

  std::string Address;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  GrpcEndpointBounds Bounds;
  std::shared_ptr<detail::UnaryCalls> Calls;
};

static_assert(Endpoint<GrpcEndpoint>);

} // namespace borageridge::endpoint

#endif // BORAGERIDGE_ENDPOINT_GRPCENDPOINT_H
