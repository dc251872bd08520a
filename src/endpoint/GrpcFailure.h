#ifndef BORAGERIDGE_ENDPOINT_GRPCFAILURE_H
#define BORAGERIDGE_ENDPOINT_GRPCFAILURE_H

#include "borageridge/Failure.h"

#include <grpcpp/grpcpp.h>

namespace borageridge::endpoint::detail {

/// Whether a connection of the channel may have been open. Valid for channels
/// that carry one call.
bool mayHaveReached(grpc::Channel &Channel);

/// Returns the failure for the end of a call. Unavailable is returned only if
/// the member was not reached.
Failure toFailure(const grpc::Status &Status, bool Reached);

} // namespace borageridge::endpoint::detail

#endif // BORAGERIDGE_ENDPOINT_GRPCFAILURE_H
