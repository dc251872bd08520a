#include "store/EtcdStore.h"

#include "endpoint/CallbackThreads.h"
#include "store/EtcdCall.h"
#include "store/EtcdWatch.h"

namespace borageridge::store {
namespace {

using etcdserverpb::Compare;
using etcdserverpb::RangeRequest;
using etcdserverpb::RangeResponse;
using etcdserverpb::TxnRequest;
using etcdserverpb::TxnResponse;

Expected<StoreValue> valueOf(Expected<RangeResponse> Reply) {
  if (!Reply.has_value())
    return Reply.error();
  const RangeResponse &Range = Reply.value();
  if (Range.kvs().empty())
    return StoreValue{};
  return StoreValue{Range.kvs(0).value(), Range.kvs(0).mod_revision()};
}

Expected<std::int64_t> revisionOf(Expected<TxnResponse> Reply) {
  if (!Reply.has_value())
    return Reply.error();
  if (!Reply.value().succeeded())
    return Failure{FailureKind::Conflict, "the key has another revision"};
  return Reply.value().header().revision();
}

TxnRequest swapRequest(const std::string &Prefix, std::string_view Key,
                       std::int64_t Revision,
                       std::span<const StoreWrite> Writes) {
  TxnRequest Request;
  Compare *Condition = Request.add_compare();
  Condition->set_result(Compare::EQUAL);
  Condition->set_target(Compare::MOD);
  Condition->set_key(Prefix + std::string(Key));
  Condition->set_mod_revision(Revision);
  for (const StoreWrite &Write : Writes) {
    auto *Put = Request.add_success()->mutable_request_put();
    Put->set_key(Prefix + Write.Key);
    Put->set_value(Write.Value);
  }
  return Request;
}

void startTxn(TxnCall::Stub &Service, grpc::ClientContext *Context,
              const TxnRequest *Request, TxnResponse *Reply,
              std::function<void(grpc::Status)> Done) {
  Service.async()->Txn(Context, Request, Reply, std::move(Done));
}

} // namespace

EtcdStore::EtcdStore(EtcdStoreOptions StoreOptions)
    : Options(std::move(StoreOptions)),
      Core(std::make_shared<EtcdCore>(Options.Addresses, Options.Credentials)) {
  // Failed calls may destroy the last channel in their callback.
  endpoint::keepCallbackThreads();
}

EtcdStore::~EtcdStore() { Core->close(); }

void EtcdStore::read(std::string_view Key, Duration Timeout,
                     ReadCallback OnRead) {
  RangeRequest Request;
  Request.set_key(Options.Prefix + std::string(Key));
  std::make_shared<RangeCall>(
      Core, startRange, std::move(Request), Timeout, RangeCall::Repeat::Always,
      [OnRead = std::move(OnRead)](Expected<RangeResponse> Reply) {
        OnRead(valueOf(std::move(Reply)));
      })
      ->run();
}

void EtcdStore::compareAndSwap(std::string_view Key, std::int64_t Revision,
                               std::span<const StoreWrite> Writes,
                               Duration Timeout, SwapCallback OnSwap) {
  std::make_shared<TxnCall>(
      Core, startTxn, swapRequest(Options.Prefix, Key, Revision, Writes),
      Timeout, TxnCall::Repeat::IfNotSent,
      [OnSwap = std::move(OnSwap)](Expected<TxnResponse> Reply) {
        OnSwap(revisionOf(std::move(Reply)));
      })
      ->run();
}

std::unique_ptr<EtcdStore::Watch> EtcdStore::watch(std::string_view Key,
                                                   std::int64_t Revision,
                                                   WatchCallback OnChange) {
  auto State = std::make_shared<EtcdWatch>(Core, Options.Watches,
                                           Options.Prefix, std::string(Key),
                                           Revision, std::move(OnChange));
  State->start();
  return std::make_unique<Watch>(std::move(State));
}

EtcdStore::Watch::Watch(std::shared_ptr<EtcdWatch> WatchState)
    : State(std::move(WatchState)) {}

EtcdStore::Watch::~Watch() { State->stop(); }

} // namespace borageridge::store
