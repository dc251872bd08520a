#include "endpoint/GrpcFailure.h"

namespace borageridge::endpoint::detail {

// A channel that loses an open connection becomes idle. Only a channel that
// failed to connect is in one of the other two states.
bool mayHaveReached(grpc::Channel &Channel) {
  const grpc_connectivity_state State = Channel.GetState(false);
  return State != GRPC_CHANNEL_TRANSIENT_FAILURE &&
         State != GRPC_CHANNEL_CONNECTING;
}

Failure toFailure(const grpc::Status &Status, bool Reached) {
  switch (Status.error_code()) {
  case grpc::StatusCode::OK:
    return {FailureKind::Unknown, "the member ended the call"};
  case grpc::StatusCode::UNAVAILABLE:
    return {Reached ? FailureKind::Unknown : FailureKind::Unavailable,
            Status.error_message()};
  case grpc::StatusCode::UNAUTHENTICATED:
  case grpc::StatusCode::PERMISSION_DENIED:
    return {FailureKind::PermissionDenied, Status.error_message()};
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    return {FailureKind::ResourceExhausted, Status.error_message()};
  default:
    return {FailureKind::Unknown, Status.error_message()};
  }
}

} // namespace borageridge::endpoint::detail
