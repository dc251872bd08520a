#ifndef BORAGERIDGE_STORE_ETCDSTORE_H
#define BORAGERIDGE_STORE_ETCDSTORE_H

#include "borageridge/Store.h"

#include <grpcpp/security/credentials.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::store {

struct EtcdWatchOptions {
  /// A watch stream is replaced after this time, give or take a fifth. It is
  /// the longest time for which a silent stream can hide a change.
  Duration Lifetime = std::chrono::seconds(4);
  /// Bound for the store's confirmation of a stream and for a re-read.
  Duration CallTimeout = std::chrono::milliseconds(500);
  /// Bounds of the pause before a broken stream is replaced.
  Duration MinBackoff = std::chrono::milliseconds(100);
  Duration MaxBackoff = std::chrono::seconds(2);
};

struct EtcdStoreOptions {
  /// IP:port of each member of the store, at least one. Calls go to one of
  /// them until it fails.
  std::vector<std::string> Addresses;
  /// Put before each key; keys in calls and changes are without it.
  std::string Prefix;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  EtcdWatchOptions Watches;
};

class EtcdCore;
class EtcdWatch;

/// Client of the platform's key-value service by the etcd v3 protocol; a model
/// of the concept Store. Thread-safe. The destructor cancels running calls and
/// returns when their callbacks have returned, so it must not run in one.
class EtcdStore {
public:
  explicit EtcdStore(EtcdStoreOptions StoreOptions);
  ~EtcdStore();
  EtcdStore(const EtcdStore &) = delete;
  EtcdStore &operator=(const EtcdStore &) = delete;

  /// The handle of a watch. It may be destroyed in its own callback, but not
  /// while holding a lock that the callback takes.
  class Watch {
  public:
    explicit Watch(std::shared_ptr<EtcdWatch> WatchState);
    ~Watch();
    Watch(const Watch &) = delete;
    Watch &operator=(const Watch &) = delete;

  private:
    std::shared_ptr<EtcdWatch> State;
  };

  /// Tries each address within Timeout.
  void read(std::string_view Key, Duration Timeout, ReadCallback OnRead);

  /// Writes all values in one transaction if Key still has Revision; 0 means
  /// that it must be absent. Returns Unavailable only if the swap was not
  /// carried out, and Unknown if it may have been.
  void compareAndSwap(std::string_view Key, std::int64_t Revision,
                      std::span<const StoreWrite> Writes, Duration Timeout,
                      SwapCallback OnSwap);

  /// Reports changes of Key after Revision; 0 reports the present value first,
  /// if there is one. A key that ends in '/' stands for all keys below it. A
  /// removed key is reported with revision 0. Changes come in the order of
  /// their revisions; after a compaction only the latest of each key comes.
  /// The watch survives outages; it fails only if the store refuses it.
  std::unique_ptr<Watch> watch(std::string_view Key, std::int64_t Revision,
                               WatchCallback OnChange);

private:
  const EtcdStoreOptions Options;
  const std::shared_ptr<EtcdCore> Core;
};

static_assert(Store<EtcdStore>);

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_ETCDSTORE_H
