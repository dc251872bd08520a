#ifndef BORAGERIDGE_STANDINS_STORE_STORESERVER_H
#define BORAGERIDGE_STANDINS_STORE_STORESERVER_H

#include "standins/store/MemoryStore.h"
#include "standins/support/FaultSwitch.h"
#include "standins/support/TokenBucket.h"

#include <grpcpp/impl/service_type.h>

#include <cstdint>
#include <memory>
#include <mutex>

namespace borageridge::standins {

struct StoreLimits {
  double WritesPerSecond = 400;
  /// A created watch counts as one read.
  double ReadsPerSecond = 2000;
  std::int64_t KeepRevisions = 1000;
};

class WatchStreams;

/// What the services of one stand-in store share.
struct StoreState {
  explicit StoreState(const StoreLimits &Limits);
  ~StoreState();
  StoreState(const StoreState &) = delete;
  StoreState &operator=(const StoreState &) = delete;

  FaultSwitch Faults;
  std::mutex Mutex;
  // The following are guarded by Mutex.
  MemoryStore Data;
  TokenBucket Writes;
  TokenBucket Reads;
  std::unique_ptr<WatchStreams> Watches;
};

/// The KV and Watch services of proto/etcd.proto and the ControlService over
/// one MemoryStore. Must outlive the servers that use the services.
///
/// Counters: range, put, delete_range, txn and watch count calls (a watch that
/// waits is one call), refused_rate those over the rate, lost_answers those
/// whose answer was lost, waiting_watches the watches that wait at present.
class StoreServer {
public:
  explicit StoreServer(const StoreLimits &Limits);
  ~StoreServer();

  grpc::Service &keyValue() { return *KeyValue; }
  grpc::Service &watch() { return *Watch; }
  grpc::Service &control() { return *Control; }

  /// For tests in the same process.
  void setFaults(const control::Faults &Faults);
  control::Counters counters();
  /// Forgets all changes up to the present revision.
  void compact();

private:
  StoreState State;
  std::unique_ptr<grpc::Service> KeyValue;
  std::unique_ptr<grpc::Service> Watch;
  std::unique_ptr<grpc::Service> Control;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_STORE_STORESERVER_H
