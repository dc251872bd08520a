#ifndef BORAGERIDGE_STORE_ETCDCALL_H
#define BORAGERIDGE_STORE_ETCDCALL_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "store/ConnectionWaiter.h"
#include "store/EtcdChannels.h"
#include "store/EtcdFailure.h"

#include "etcd.grpc.pb.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace borageridge::store {

/// The channels of one store and the contexts of its running calls, so that
/// the store can end them all. Thread-safe.
class EtcdCore {
public:
  EtcdCore(std::vector<std::string> Addresses,
           std::shared_ptr<grpc::ChannelCredentials> Credentials)
      : Channels(std::move(Addresses), std::move(Credentials)) {}

  /// False if the store is closing; then the call must not start.
  bool enter(grpc::ClientContext &Context) {
    const std::lock_guard Lock(Mutex);
    return !Closing && Running.insert(&Context).second;
  }

  void leave(grpc::ClientContext &Context) {
    const std::lock_guard Lock(Mutex);
    Running.erase(&Context);
    Idle.notify_all();
  }

  /// Cancels all calls and returns when their callbacks have returned.
  void close() {
    Connections.close();
    std::unique_lock Lock(Mutex);
    Closing = true;
    for (grpc::ClientContext *Context : Running)
      Context->TryCancel();
    Idle.wait(Lock, [this] { return Running.empty(); });
  }

  EtcdChannels Channels;
  ConnectionWaiter Connections;

private:
  std::mutex Mutex;
  std::condition_variable Idle;
  std::unordered_set<grpc::ClientContext *> Running;
  bool Closing = false;
};

/// One call of the store, tried on several connections within its timeout. A
/// try that may have been carried out is repeated only if the call says so.
template <typename Request, typename Reply>
class EtcdCall : public std::enable_shared_from_this<EtcdCall<Request, Reply>> {
public:
  using Stub = etcdserverpb::KV::Stub;
  using Start =
      std::function<void(Stub &, grpc::ClientContext *, const Request *,
                         Reply *, std::function<void(grpc::Status)>)>;
  using End = std::function<void(Expected<Reply>)>;
  enum class Repeat { IfNotSent, Always };

  EtcdCall(std::shared_ptr<EtcdCore> CallCore, Start StartCall,
           Request CallRequest, Duration Timeout, Repeat CallRepeat, End Ended)
      : Core(std::move(CallCore)), StartOne(std::move(StartCall)),
        Message(std::move(CallRequest)),
        Deadline(std::chrono::steady_clock::now() + Timeout),
        TriesLeft(std::max(MinTries, Core->Channels.size())),
        RepeatWhen(CallRepeat), OnEnd(std::move(Ended)) {}

  /// The call is not sent before the channel is connected, so that a failure
  /// to connect is known to have had no effect.
  void run() {
    auto T = std::make_shared<Try>();
    T->Picked = Core->Channels.pick();
    T->Deadline = now() + remaining() / static_cast<int>(TriesLeft);
    --TriesLeft;
    Core->Connections.wait(
        T->Picked.Channel, T->Deadline,
        [Self = this->shared_from_this(), T](bool Connected) {
          if (Connected)
            Self->send(T);
          else
            Self->notConnected(*T);
        });
  }

private:
  // A single address gets a second try, too, on a new connection.
  static constexpr std::size_t MinTries = 2;

  using Clock = ConnectionWaiter::Clock;

  struct Try {
    EtcdChannels::Picked Picked;
    std::unique_ptr<Stub> Service;
    Clock::time_point Deadline;
    grpc::ClientContext Context;
    Reply Answer;
  };

  static Clock::time_point now() { return Clock::now(); }

  Duration remaining() const {
    return Deadline - std::chrono::steady_clock::now();
  }

  void send(const std::shared_ptr<Try> &T) {
    // Nothing follows a try that may be carried out only once, so it gets all
    // the time that is left.
    if (RepeatWhen == Repeat::IfNotSent)
      T->Deadline = now() + remaining();
    T->Context.set_deadline(T->Deadline);
    T->Service = etcdserverpb::KV::NewStub(T->Picked.Channel);
    if (!Core->enter(T->Context))
      return OnEnd(Failure{FailureKind::Unavailable, "the store is closed"});
    StartOne(*T->Service, &T->Context, &Message, &T->Answer,
             [Self = this->shared_from_this(), T](grpc::Status Status) {
               Self->ended(*T, Status);
               Self->Core->leave(T->Context);
             });
  }

  void notConnected(const Try &T) {
    using Fault = EtcdChannels::Fault;
    Core->Channels.failed(T.Picked, now() < T.Deadline ? Fault::Unreachable
                                                       : Fault::Silent);
    endOrRepeat({FailureKind::Unavailable, "cannot connect to the store"});
  }

  void ended(Try &T, const grpc::Status &Status) {
    if (Status.ok())
      return OnEnd(std::move(T.Answer));
    if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
      Core->Channels.failed(T.Picked, EtcdChannels::Fault::Silent);
    else if (Status.error_code() == grpc::StatusCode::UNAVAILABLE)
      Core->Channels.failed(T.Picked, EtcdChannels::Fault::Unreachable);
    endOrRepeat(toFailure(Status));
  }

  void endOrRepeat(Failure Why) {
    if (isRepeatable(Why.Kind) && TriesLeft > 0 && remaining().count() > 0)
      return run();
    OnEnd(std::move(Why));
  }

  bool isRepeatable(FailureKind Kind) const {
    return Kind == FailureKind::Unavailable ||
           (Kind == FailureKind::Unknown && RepeatWhen == Repeat::Always);
  }

  const std::shared_ptr<EtcdCore> Core;
  const Start StartOne;
  const Request Message;
  const Time Deadline;
  std::size_t TriesLeft;
  const Repeat RepeatWhen;
  const End OnEnd;
};

using RangeCall =
    EtcdCall<etcdserverpb::RangeRequest, etcdserverpb::RangeResponse>;
using TxnCall = EtcdCall<etcdserverpb::TxnRequest, etcdserverpb::TxnResponse>;

inline void startRange(RangeCall::Stub &Service, grpc::ClientContext *Context,
                       const etcdserverpb::RangeRequest *Request,
                       etcdserverpb::RangeResponse *Reply,
                       std::function<void(grpc::Status)> Done) {
  Service.async()->Range(Context, Request, Reply, std::move(Done));
}

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_ETCDCALL_H
