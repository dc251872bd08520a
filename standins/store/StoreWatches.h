#ifndef BORAGERIDGE_STANDINS_STORE_STOREWATCHES_H
#define BORAGERIDGE_STANDINS_STORE_STOREWATCHES_H

#include "standins/store/StoreServer.h"

#include "etcd.grpc.pb.h"

#include <set>

namespace borageridge::standins {

class WatchStream;

/// The open watch streams of a store. Guarded by the mutex of its state.
class WatchStreams {
public:
  void add(WatchStream *Stream) { Open.insert(Stream); }
  void remove(WatchStream *Stream) { Open.erase(Stream); }
  /// Sends new changes to all streams.
  void notify();
  /// Ends all streams with UNAVAILABLE.
  void endAll();
  std::uint64_t waiting() const;

private:
  std::set<WatchStream *> Open;
};

class WatchService final : public etcdserverpb::Watch::CallbackService {
public:
  explicit WatchService(StoreState &Shared) : State(Shared) {}

  grpc::ServerBidiReactor<etcdserverpb::WatchRequest,
                          etcdserverpb::WatchResponse> *
  Watch(grpc::CallbackServerContext *Context) override;

private:
  StoreState &State;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_STORE_STOREWATCHES_H
