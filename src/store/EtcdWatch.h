#ifndef BORAGERIDGE_STORE_ETCDWATCH_H
#define BORAGERIDGE_STORE_ETCDWATCH_H

#include "store/EtcdCall.h"
#include "store/EtcdStore.h"

#include <absl/random/random.h>
#include <grpcpp/alarm.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace borageridge::store {

/// One watch: a sequence of streams, each of which continues after the last
/// revision delivered. Thread-safe.
class EtcdWatch : public std::enable_shared_from_this<EtcdWatch> {
public:
  EtcdWatch(std::shared_ptr<EtcdCore> WatchCore, EtcdWatchOptions WatchOptions,
            std::string KeyPrefix, std::string WatchedKey,
            std::int64_t AfterRevision, WatchCallback OnEachChange);

  void start();
  /// No callback runs after the return.
  void stop();

private:
  class Stream;

  // Events of earlier streams, calls and timers carry an older number and are
  // ignored.
  using Epoch = std::uint64_t;

  void begin();
  void readAll();
  void onRead(Epoch Number, const Expected<etcdserverpb::RangeResponse> &Reply);
  void openStream();
  void onCreateTimeout(Epoch Number);
  void onResponse(Epoch Number, const etcdserverpb::WatchResponse &Response);
  void onCanceled(const etcdserverpb::WatchResponse &Response);
  void onStreamEnded(Epoch Number, const grpc::Status &Status);
  void beginLater();
  void fail(Failure Why);

  void deliverEvents(const etcdserverpb::WatchResponse &Response);
  void deliverSnapshot(const etcdserverpb::RangeResponse &Snapshot);
  void deliverMissing(const etcdserverpb::RangeResponse &Snapshot);
  void deliver(const std::string &StoreKey, const std::string &Value,
               std::int64_t Revision);

  std::string rangeEnd() const;
  void setTimer(Duration Delay, void (EtcdWatch::*OnTimer)(Epoch));
  void onBackoffEnd(Epoch Number);

  const std::shared_ptr<EtcdCore> Core;
  const EtcdWatchOptions Options;
  const std::string Prefix;
  const std::string Key;
  const WatchCallback OnChange;

  // Held during callbacks, so that stop() waits for a running one; recursive,
  // so that a callback may stop its own watch.
  std::recursive_mutex Mutex;
  bool Stopped = false;
  bool NeedsRead = false;
  std::int64_t LastRevision = 0;
  // Keys that are present, so that a removal during an outage is noticed.
  std::map<std::string, std::int64_t> Present;
  Epoch Current = 0;
  Stream *Open = nullptr;
  bool Confirmed = false;
  EtcdChannels::Picked Picked;
  Duration Backoff;
  std::unique_ptr<grpc::Alarm> Timer;
  absl::BitGen Random;
};

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_ETCDWATCH_H
