#include "store/EtcdFailure.h"

namespace borageridge::store {

static FailureKind kindOf(grpc::StatusCode Code) {
  switch (Code) {
  case grpc::StatusCode::INVALID_ARGUMENT:
    return FailureKind::InvalidArgument;
  case grpc::StatusCode::NOT_FOUND:
    return FailureKind::NotFound;
  case grpc::StatusCode::PERMISSION_DENIED:
  case grpc::StatusCode::UNAUTHENTICATED:
    return FailureKind::PermissionDenied;
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    return FailureKind::ResourceExhausted;
  case grpc::StatusCode::UNIMPLEMENTED:
    return FailureKind::Internal;
  default:
    // A server may send UNAVAILABLE after the effect, too, for example when its
    // leader changes.
    return FailureKind::Unknown;
  }
}

Failure toFailure(const grpc::Status &Status) {
  return {kindOf(Status.error_code()), Status.error_message()};
}

} // namespace borageridge::store
