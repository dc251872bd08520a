#ifndef BORAGERIDGE_LOAD_CALLERCLIENT_H
#define BORAGERIDGE_LOAD_CALLERCLIENT_H

#include "borageridge/Types.h"
#include "caller.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace borageridge::load {

/// How the load tool presents itself to proxies.
struct CallerIdentity {
  std::string Caller;
  std::string Secret;
  /// PEM file with the authority of the proxies' certificates; empty for plain
  /// text.
  std::string AuthorityFile;
};

/// Creates a channel that shares no connection with any other channel.
std::shared_ptr<grpc::Channel> makeChannel(const std::string &Address,
                                           const CallerIdentity &Identity);

/// Adds the identity of a caller to the metadata of a call.
void authenticate(const CallerIdentity &Identity, grpc::ClientContext &Context);

/// Sends requests to several proxies over several connections each. Thread
/// safe.
class CallerClient {
public:
  using Done = std::function<void(grpc::Status)>;

  CallerClient(const std::vector<std::string> &Proxies,
               std::uint32_t ChannelsPerProxy, CallerIdentity Identity);

  std::size_t proxies() const { return Stubs.size(); }

  /// Starts a call. Request, reply and context must live until Done runs, which
  /// may happen before the function returns. Lane selects one of the proxy's
  /// connections.
  void execute(std::size_t Proxy, std::size_t Lane, Duration Timeout,
               const caller::ExecuteRequest &Request,
               caller::ExecuteReply &Reply, grpc::ClientContext &Context,
               Done OnDone);
  void lookUp(std::size_t Proxy, std::size_t Lane, Duration Timeout,
              const caller::LookUpRequest &Request, caller::LookUpReply &Reply,
              grpc::ClientContext &Context, Done OnDone);

  /// Sends one request after another to all proxies in turn until one answers
  /// without a refusal or the time is over. Only for requests that may be
  /// repeated.
  grpc::Status executeAnywhere(const caller::ExecuteRequest &Request,
                               caller::ExecuteReply &Reply, Duration Timeout);

private:
  using Stub = caller::CallerService::Stub;

  Stub &stub(std::size_t Proxy, std::size_t Lane);
  void prepare(grpc::ClientContext &Context, Duration Timeout) const;

  CallerIdentity Identity;
  std::vector<std::vector<std::unique_ptr<Stub>>> Stubs;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_CALLERCLIENT_H
