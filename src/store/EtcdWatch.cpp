#include "store/EtcdWatch.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <vector>

namespace borageridge::store {

using etcdserverpb::Event;
using etcdserverpb::KeyValue;
using etcdserverpb::RangeRequest;
using etcdserverpb::RangeResponse;
using etcdserverpb::WatchRequest;
using etcdserverpb::WatchResponse;

// Deletes itself when the call is over. Its context counts as a running call
// of the store, so that the store outlives it.
class EtcdWatch::Stream
    : public grpc::ClientBidiReactor<WatchRequest, WatchResponse> {
public:
  Stream(std::shared_ptr<EtcdWatch> StreamOwner, Epoch StreamNumber)
      : Owner(std::move(StreamOwner)), Number(StreamNumber) {}

  // False if the store is closing; then the stream is gone.
  static bool open(std::unique_ptr<Stream> S, Duration Life) {
    S->Context.set_deadline(runtime::callDeadline(Life));
    if (!S->Owner->Core->enter(S->Context))
      return false;
    S->Service = etcdserverpb::Watch::NewStub(S->Owner->Picked.Channel);
    Stream *Started = S.release();
    Started->Service->async()->Watch(&Started->Context, Started);
    Started->StartRead(&Started->Response);
    Started->StartWrite(&Started->Request);
    Started->StartCall();
    return true;
  }

  void cancel() { Context.TryCancel(); }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return;
    Owner->onResponse(Number, Response);
    Response.Clear();
    StartRead(&Response);
  }

  void OnDone(const grpc::Status &Status) override {
    const std::shared_ptr<EtcdCore> Shared = Owner->Core;
    Owner->onStreamEnded(Number, Status);
    Shared->leave(Context);
    delete this;
  }

  WatchRequest Request;

private:
  const std::shared_ptr<EtcdWatch> Owner;
  const Epoch Number;
  std::unique_ptr<etcdserverpb::Watch::Stub> Service;
  grpc::ClientContext Context;
  WatchResponse Response;
};

EtcdWatch::EtcdWatch(std::shared_ptr<EtcdCore> WatchCore,
                     EtcdWatchOptions WatchOptions, std::string KeyPrefix,
                     std::string WatchedKey, std::int64_t AfterRevision,
                     WatchCallback OnEachChange)
    : Core(std::move(WatchCore)), Options(WatchOptions),
      Prefix(std::move(KeyPrefix)), Key(std::move(WatchedKey)),
      OnChange(std::move(OnEachChange)), NeedsRead(AfterRevision == 0),
      LastRevision(AfterRevision), Backoff(WatchOptions.MinBackoff) {
  if (AfterRevision > 0 && rangeEnd().empty())
    Present[Prefix + Key] = AfterRevision;
}

void EtcdWatch::start() {
  const std::lock_guard Lock(Mutex);
  begin();
}

void EtcdWatch::stop() {
  const std::lock_guard Lock(Mutex);
  Stopped = true;
  ++Current;
  Timer.reset();
  if (Open != nullptr)
    Open->cancel();
}

void EtcdWatch::begin() {
  if (NeedsRead)
    readAll();
  else
    openStream();
}

void EtcdWatch::readAll() {
  RangeRequest Request;
  Request.set_key(Prefix + Key);
  Request.set_range_end(rangeEnd());
  std::make_shared<RangeCall>(
      Core, startRange, std::move(Request), Options.CallTimeout,
      RangeCall::Repeat::Always,
      [Self = shared_from_this(), Number = ++Current](
          Expected<RangeResponse> Reply) { Self->onRead(Number, Reply); })
      ->run();
}

void EtcdWatch::onRead(Epoch Number, const Expected<RangeResponse> &Reply) {
  const std::lock_guard Lock(Mutex);
  if (Number != Current)
    return;
  if (Reply.has_value()) {
    deliverSnapshot(Reply.value());
    if (Stopped)
      return;
    NeedsRead = false;
    return openStream();
  }
  if (Reply.error().Kind == FailureKind::PermissionDenied)
    return fail(Reply.error());
  beginLater();
}

void EtcdWatch::openStream() {
  Picked = Core->Channels.pick();
  Confirmed = false;
  auto S = std::make_unique<Stream>(shared_from_this(), ++Current);
  auto *Create = S->Request.mutable_create_request();
  Create->set_key(Prefix + Key);
  Create->set_range_end(rangeEnd());
  Create->set_start_revision(LastRevision + 1);
  Open = S.get();
  // Spreads the replacements of the watches that one outage has aligned.
  const auto Life = std::chrono::duration_cast<Duration>(
      Options.Lifetime * absl::Uniform(Random, 0.8, 1.2));
  setTimer(Options.CallTimeout, &EtcdWatch::onCreateTimeout);
  if (!Stream::open(std::move(S), Life))
    Open = nullptr;
}

void EtcdWatch::onCreateTimeout(Epoch Number) {
  const std::lock_guard Lock(Mutex);
  if (Number != Current || Confirmed || Open == nullptr)
    return;
  Core->Channels.failed(Picked, EtcdChannels::Fault::Silent);
  Open->cancel();
}

void EtcdWatch::onResponse(Epoch Number, const WatchResponse &Response) {
  const std::lock_guard Lock(Mutex);
  if (Number != Current)
    return;
  Confirmed = true;
  if (Response.canceled())
    return onCanceled(Response);
  deliverEvents(Response);
}

void EtcdWatch::onCanceled(const WatchResponse &Response) {
  // The revisions after the last one are gone from the store.
  if (Response.compact_revision() > 0)
    NeedsRead = true;
  if (Open != nullptr)
    Open->cancel();
}

void EtcdWatch::onStreamEnded(Epoch Number, const grpc::Status &Status) {
  const std::lock_guard Lock(Mutex);
  if (Number != Current)
    return;
  Open = nullptr;
  Timer.reset();
  const bool Expired =
      Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
  if (Expired && Confirmed) {
    Backoff = Options.MinBackoff;
    return begin();
  }
  if (Status.error_code() == grpc::StatusCode::UNAVAILABLE)
    Core->Channels.failed(Picked, EtcdChannels::Fault::Unreachable);
  const Failure Why = toFailure(Status);
  if (Why.Kind == FailureKind::PermissionDenied)
    return fail(Why);
  beginLater();
}

void EtcdWatch::beginLater() {
  const auto Delay = std::chrono::duration_cast<Duration>(
      Backoff * absl::Uniform(Random, 0.5, 1.0));
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
  ++Current;
  setTimer(Delay, &EtcdWatch::onBackoffEnd);
}

void EtcdWatch::onBackoffEnd(Epoch Number) {
  const std::lock_guard Lock(Mutex);
  if (Number == Current)
    begin();
}

void EtcdWatch::setTimer(Duration Delay, void (EtcdWatch::*OnTimer)(Epoch)) {
  Timer = std::make_unique<grpc::Alarm>();
  Timer->Set(std::chrono::system_clock::now() + Delay,
             [Self = shared_from_this(), Number = Current, OnTimer](bool Rang) {
               if (Rang)
                 (Self.get()->*OnTimer)(Number);
             });
}

void EtcdWatch::fail(Failure Why) {
  ++Current;
  Stopped = true;
  OnChange(std::move(Why));
}

void EtcdWatch::deliverEvents(const WatchResponse &Response) {
  // The events of one revision come in one response, so the bound moves only
  // after all of them.
  std::int64_t Highest = LastRevision;
  for (const Event &E : Response.events()) {
    if (Stopped || E.kv().mod_revision() <= LastRevision)
      continue;
    Highest = std::max(Highest, E.kv().mod_revision());
    if (E.type() == Event::DELETE)
      deliver(E.kv().key(), "", 0);
    else
      deliver(E.kv().key(), E.kv().value(), E.kv().mod_revision());
  }
  if (Highest > LastRevision)
    Backoff = Options.MinBackoff;
  LastRevision = Highest;
}

void EtcdWatch::deliverSnapshot(const RangeResponse &Snapshot) {
  // An address that lags behind must not take the watch back.
  if (Snapshot.header().revision() < LastRevision)
    return;
  deliverMissing(Snapshot);
  std::vector<const KeyValue *> Sorted;
  for (const KeyValue &Entry : Snapshot.kvs())
    if (Entry.mod_revision() > LastRevision)
      Sorted.push_back(&Entry);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const KeyValue *A, const KeyValue *B) {
              return A->mod_revision() < B->mod_revision();
            });
  for (const KeyValue *Entry : Sorted)
    deliver(Entry->key(), Entry->value(), Entry->mod_revision());
  LastRevision = Snapshot.header().revision();
}

void EtcdWatch::deliverMissing(const RangeResponse &Snapshot) {
  std::map<std::string, std::int64_t> Gone = Present;
  for (const KeyValue &Entry : Snapshot.kvs())
    Gone.erase(Entry.key());
  for (const auto &[StoreKey, Revision] : Gone)
    deliver(StoreKey, "", 0);
}

void EtcdWatch::deliver(const std::string &StoreKey, const std::string &Value,
                        std::int64_t Revision) {
  if (Stopped)
    return;
  if (Revision == 0)
    Present.erase(StoreKey);
  else
    Present[StoreKey] = Revision;
  OnChange(StoreChange{StoreKey.substr(Prefix.size()), {Value, Revision}});
}

std::string EtcdWatch::rangeEnd() const {
  if (Key.empty() || Key.back() != '/')
    return {};
  std::string End = Prefix + Key;
  ++End.back();
  return End;
}

} // namespace borageridge::store
