#ifndef BORAGERIDGE_MEMBERSHIP_GRPCINSTANCELIST_H
#define BORAGERIDGE_MEMBERSHIP_GRPCINSTANCELIST_H

#include "borageridge/InstanceList.h"

#include <grpcpp/security/credentials.h>

#include <memory>
#include <string>

namespace borageridge::membership {

/// gRPC client of the platform's instance list; models InstanceList.
/// Thread-safe. The destructor cancels pending calls and waits for their
/// callbacks, so it must not run in a callback.
class GrpcInstanceList {
public:
  GrpcInstanceList(std::string Address,
                   std::shared_ptr<grpc::ChannelCredentials> Credentials);
  ~GrpcInstanceList();
  GrpcInstanceList(const GrpcInstanceList &) = delete;
  GrpcInstanceList &operator=(const GrpcInstanceList &) = delete;

  /// A call that exceeds its timeout fails with Unknown, and the next call uses
  /// a new connection.
  void list(Duration Timeout, ListCallback OnList);

private:
  struct Core;
  std::shared_ptr<Core> Shared;
};

static_assert(InstanceList<GrpcInstanceList>);

} // namespace borageridge::membership

#endif // BORAGERIDGE_MEMBERSHIP_GRPCINSTANCELIST_H
