#ifndef BORAGERIDGE_ENDPOINT_CALLBACKTHREADS_H
#define BORAGERIDGE_ENDPOINT_CALLBACKTHREADS_H

namespace borageridge::endpoint {

/// Keeps gRPC's callback threads until the process ends. Needed by code that
/// may destroy a channel in a callback of gRPC.
void keepCallbackThreads();

} // namespace borageridge::endpoint

#endif // BORAGERIDGE_ENDPOINT_CALLBACKTHREADS_H
