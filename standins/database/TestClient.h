#ifndef BORAGERIDGE_DATABASE_TESTCLIENT_H
#define BORAGERIDGE_DATABASE_TESTCLIENT_H

#include "database/TestRequests.h"
#include "endpoint/GrpcEndpoint.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace borageridge::database {

/// Collects what callbacks deliver.
template <typename T> class Inbox {
public:
  void put(Expected<T> Item) {
    const absl::MutexLock Lock(&Mutex);
    Items.push_back(std::move(Item));
  }

  /// Returns the next item, or nothing after Timeout.
  std::optional<Expected<T>> take(Duration Timeout) {
    const absl::MutexLock Lock(&Mutex);
    const auto Some = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return !Items.empty();
    };
    if (!Mutex.AwaitWithTimeout(absl::Condition(&Some),
                                absl::FromChrono(Timeout)))
      return std::nullopt;
    auto Item = std::move(Items.front());
    Items.pop_front();
    return Item;
  }

private:
  absl::Mutex Mutex;
  std::deque<Expected<T>> Items ABSL_GUARDED_BY(Mutex);
};

/// One connection whose requests are answered synchronously.
class TestConnection {
public:
  static constexpr std::chrono::milliseconds Patience{3000};

  explicit TestConnection(endpoint::GrpcEndpoint &Member)
      : Handle(Member.connect([Replies = Replies](auto Reply) {
          Replies->put(std::move(Reply));
        })) {}

  /// Returns nothing if there is no answer in time or the connection ended.
  std::optional<endpoint::ConnectionReply>
  call(endpoint::ConnectionRequest Request, Duration Timeout = Patience) {
    send(std::move(Request));
    return take(Timeout);
  }

  void send(endpoint::ConnectionRequest Request) {
    Request.set_sequence(++Sequence);
    Handle->send(std::move(Request));
  }

  /// Whether the connection ends in time.
  bool ended() {
    const auto Reply = Replies->take(Patience);
    return Reply && !Reply->has_value();
  }

  std::optional<endpoint::ConnectionReply> take(Duration Timeout = Patience) {
    auto Reply = Replies->take(Timeout);
    if (!Reply || !Reply->has_value())
      return std::nullopt;
    return std::move(*Reply).value();
  }

private:
  std::shared_ptr<Inbox<endpoint::ConnectionReply>> Replies =
      std::make_shared<Inbox<endpoint::ConnectionReply>>();
  std::uint64_t Sequence = 0;
  std::unique_ptr<endpoint::GrpcEndpoint::Connection> Handle;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_TESTCLIENT_H
