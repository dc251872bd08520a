#ifndef BORAGERIDGE_PROXY_PEERCLIENT_H
#define BORAGERIDGE_PROXY_PEERCLIENT_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include "peer.grpc.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace borageridge::proxy {

using ExchangeCallback = std::function<void(Expected<peer::ExchangeReply>)>;

/// Sends exchanges to peers. A peer that does not answer in time gets a new
/// channel, since its connection may have gone silent.
class PeerClient {
public:
  PeerClient(std::shared_ptr<grpc::ChannelCredentials> Credentials,
             const grpc::ChannelArguments &Arguments);

  /// Calls back once, at the latest a little after Timeout.
  void exchange(std::string_view Address, const peer::ExchangeRequest &Request,
                Duration Timeout, ExchangeCallback OnReply);

private:
  std::shared_ptr<grpc::Channel> channel(std::string_view Address);
  void dropChannel(const std::string &Address);

  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  grpc::ChannelArguments Arguments;
  absl::Mutex Mutex;
  std::map<std::string, std::shared_ptr<grpc::Channel>, std::less<>>
      Channels ABSL_GUARDED_BY(Mutex);
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_PEERCLIENT_H
