#ifndef BORAGERIDGE_STORE_ETCDFAILURE_H
#define BORAGERIDGE_STORE_ETCDFAILURE_H

#include "borageridge/Failure.h"

#include <grpcpp/support/status.h>

namespace borageridge::store {

/// Maps the status of a call that failed after it may have been sent, and so
/// may have been carried out: Unknown, unless the store's answer says
/// otherwise. ResourceExhausted, InvalidArgument, NotFound and PermissionDenied
/// are answers that precede any effect.
Failure toFailure(const grpc::Status &Status);

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_ETCDFAILURE_H
