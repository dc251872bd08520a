#ifndef BORAGERIDGE_OPERATOR_ADMINCALLS_H
#define BORAGERIDGE_OPERATOR_ADMINCALLS_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include "admin.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/security/credentials.h>

#include <memory>
#include <string>
#include <vector>

namespace borageridge::operators {

/// Administration addresses of proxies and how to reach them.
struct AdminTargets {
  std::vector<std::string> Addresses;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  Duration Timeout = std::chrono::seconds(2);
};

/// A channel that is connected; Unavailable if that fails within the timeout.
/// Until then nothing was sent, so another address may be tried.
Expected<std::shared_ptr<grpc::Channel>>
connect(const std::string &Address,
        const std::shared_ptr<grpc::ChannelCredentials> &Credentials,
        Duration Timeout);

/// Maps the failure of a call on a connected channel: Unknown, unless the
/// answer says that nothing was done.
Failure toFailure(const grpc::Status &Status);

void setTimeout(grpc::ClientContext &Context, Duration Timeout);

struct ProxyStatus {
  std::string Address;
  Expected<admin::StatusReply> Reply =
      Failure{FailureKind::Unavailable, "not asked"};
};

/// Asks all proxies, many at a time; in the order of the addresses.
std::vector<ProxyStatus> allStatuses(const AdminTargets &Targets);

/// The first target that can be reached.
Expected<std::shared_ptr<grpc::Channel>>
firstReachable(const AdminTargets &Targets);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_ADMINCALLS_H
