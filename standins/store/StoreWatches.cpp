#include "standins/store/StoreWatches.h"

#include <grpcpp/alarm.h>

#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace borageridge::standins {

using etcdserverpb::Event;
using etcdserverpb::WatchCreateRequest;
using etcdserverpb::WatchRequest;
using etcdserverpb::WatchResponse;

// One stream with any number of watches. Keeps itself alive until OnDone.
class WatchStream : public grpc::ServerBidiReactor<WatchRequest, WatchResponse>,
                    public std::enable_shared_from_this<WatchStream> {
public:
  WatchStream(StoreState &Shared, std::string PeerAddress)
      : State(Shared), Peer(std::move(PeerAddress)) {}

  void open() {
    Self = shared_from_this();
    {
      const std::lock_guard Lock(State.Mutex);
      State.Watches->add(this);
    }
    StartRead(&Request);
  }

  // Both are called with State.Mutex held.
  void sendNewChanges();
  std::size_t watches() const { return Watches.size(); }

  void end(const grpc::Status &Status) {
    const std::lock_guard Lock(Mutex);
    if (!Ending.has_value())
      Ending = Status;
    pump();
  }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return end(grpc::Status::OK);
    handle(Request);
    StartRead(&Request);
  }

  void OnWriteDone(bool Ok) override {
    const std::lock_guard Lock(Mutex);
    Writing = false;
    Queue.pop_front();
    if (!Ok && !Ending.has_value())
      Ending = grpc::Status::CANCELLED;
    pump();
  }

  void OnCancel() override { end(grpc::Status::CANCELLED); }

  void OnDone() override {
    {
      const std::lock_guard Lock(State.Mutex);
      State.Watches->remove(this);
    }
    const std::shared_ptr<WatchStream> Last = std::move(Self);
  }

private:
  struct Watched {
    std::string Key;
    std::string End;
    std::int64_t Next = 0;
  };
  struct Pending {
    WatchResponse Response;
    std::chrono::system_clock::time_point NotBefore;
  };

  void handle(const WatchRequest &R);
  void create(const WatchCreateRequest &Create);
  bool sendChanges(std::int64_t Id, Watched &W);
  void cancelCompacted(std::int64_t Id);
  void push(WatchResponse Response);
  void pump();

  StoreState &State;
  const std::string Peer;
  std::shared_ptr<WatchStream> Self;
  WatchRequest Request;
  // Guarded by State.Mutex.
  std::map<std::int64_t, Watched> Watches;
  std::int64_t NextId = 0;

  std::mutex Mutex;
  std::deque<Pending> Queue;
  bool Writing = false;
  bool Finished = false;
  std::optional<grpc::Status> Ending;
  std::unique_ptr<grpc::Alarm> Timer;
};

void WatchStream::handle(const WatchRequest &R) {
  if (R.has_create_request()) {
    const CallFate Fate = State.Faults.onCall(Peer);
    State.Faults.count("watch");
    if (Fate == CallFate::Refuse)
      return end({grpc::StatusCode::UNAVAILABLE, "the store is down"});
    if (Fate == CallFate::Answer)
      create(R.create_request());
    return;
  }
  if (!R.has_cancel_request())
    return;
  const std::lock_guard Lock(State.Mutex);
  if (Watches.erase(R.cancel_request().watch_id()) == 0)
    return;
  WatchResponse Response;
  Response.set_watch_id(R.cancel_request().watch_id());
  Response.set_canceled(true);
  push(std::move(Response));
}

void WatchStream::create(const WatchCreateRequest &Create) {
  const std::lock_guard Lock(State.Mutex);
  if (!State.Reads.take(std::chrono::steady_clock::now())) {
    State.Faults.count("refused_rate");
    return end({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many reads"});
  }
  const std::int64_t Id = Create.watch_id() != 0 ? Create.watch_id() : NextId++;
  const std::int64_t Now = State.Data.revision();
  Watched W{Create.key(), Create.range_end(), Create.start_revision()};
  if (W.Next == 0)
    W.Next = Now + 1;
  WatchResponse Created;
  Created.set_watch_id(Id);
  Created.set_created(true);
  Created.mutable_header()->set_revision(Now);
  push(std::move(Created));
  if (sendChanges(Id, W))
    Watches[Id] = std::move(W);
}

void WatchStream::sendNewChanges() {
  for (auto W = Watches.begin(); W != Watches.end();) {
    if (sendChanges(W->first, W->second))
      ++W;
    else
      W = Watches.erase(W);
  }
}

bool WatchStream::sendChanges(std::int64_t Id, Watched &W) {
  const std::int64_t Now = State.Data.revision();
  if (W.Next > Now)
    return true;
  const auto Found = State.Data.changes(W.Key, W.End, W.Next);
  if (!Found.has_value()) {
    cancelCompacted(Id);
    return false;
  }
  W.Next = Now + 1;
  if (Found.value().empty())
    return true;
  WatchResponse Response;
  Response.set_watch_id(Id);
  Response.mutable_header()->set_revision(Now);
  for (const Event &E : Found.value())
    *Response.add_events() = E;
  push(std::move(Response));
  return true;
}

void WatchStream::cancelCompacted(std::int64_t Id) {
  WatchResponse Response;
  Response.set_watch_id(Id);
  Response.set_canceled(true);
  Response.set_compact_revision(State.Data.compactedRevision());
  Response.set_cancel_reason(std::string(name(StoreError::Compacted)));
  push(std::move(Response));
}

void WatchStream::push(WatchResponse Response) {
  if (State.Faults.isSilent(Peer))
    return;
  const std::lock_guard Lock(Mutex);
  Queue.push_back({std::move(Response),
                   std::chrono::system_clock::now() + State.Faults.delay()});
  pump();
}

// Starts the next step that is due; called with Mutex held.
void WatchStream::pump() {
  if (Writing || Finished)
    return;
  if (Ending.has_value()) {
    Finished = true;
    return Finish(*Ending);
  }
  if (Queue.empty())
    return;
  if (Queue.front().NotBefore > std::chrono::system_clock::now()) {
    Timer = std::make_unique<grpc::Alarm>();
    return Timer->Set(Queue.front().NotBefore,
                      [Weak = weak_from_this()](bool Rang) {
                        const auto Keep = Weak.lock();
                        if (!Rang || Keep == nullptr)
                          return;
                        const std::lock_guard Lock(Keep->Mutex);
                        Keep->pump();
                      });
  }
  Writing = true;
  StartWrite(&Queue.front().Response);
}

void WatchStreams::notify() {
  for (WatchStream *Stream : Open)
    Stream->sendNewChanges();
}

void WatchStreams::endAll() {
  for (WatchStream *Stream : Open)
    Stream->end({grpc::StatusCode::UNAVAILABLE, "the store is down"});
}

std::uint64_t WatchStreams::waiting() const {
  std::uint64_t Sum = 0;
  for (const WatchStream *Stream : Open)
    Sum += Stream->watches();
  return Sum;
}

grpc::ServerBidiReactor<WatchRequest, WatchResponse> *
WatchService::Watch(grpc::CallbackServerContext *Context) {
  auto Stream = std::make_shared<WatchStream>(State, Context->peer());
  Stream->open();
  return Stream.get();
}

} // namespace borageridge::standins
