#include "standins/store/StoreServer.h"

#include "standins/store/StoreWatches.h"
#include "standins/support/Answer.h"

#include "control.grpc.pb.h"
#include "etcd.grpc.pb.h"

#include <algorithm>
#include <chrono>

namespace borageridge::standins {

StoreState::StoreState(const StoreLimits &Limits)
    : Data(Limits.KeepRevisions),
      Writes(Limits.WritesPerSecond, std::chrono::steady_clock::now()),
      Reads(Limits.ReadsPerSecond, std::chrono::steady_clock::now()),
      Watches(std::make_unique<WatchStreams>()) {}

StoreState::~StoreState() = default;

namespace {

using namespace etcdserverpb;
using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

grpc::Status statusOf(StoreError Error) {
  const bool IsRevision =
      Error == StoreError::Compacted || Error == StoreError::FutureRevision;
  return {IsRevision ? grpc::StatusCode::OUT_OF_RANGE
                     : grpc::StatusCode::INVALID_ARGUMENT,
          "etcdserver: " + std::string(name(Error))};
}

template <typename Reply>
grpc::Status answer(const Expected<Reply, StoreError> &Result, Reply *Out) {
  if (!Result.has_value())
    return statusOf(Result.error());
  *Out = Result.value();
  return grpc::Status::OK;
}

bool writes(const TxnRequest &Request) {
  const auto IsWrite = [](const RequestOp &Step) {
    return !Step.has_request_range();
  };
  return std::any_of(Request.success().begin(), Request.success().end(),
                     IsWrite) ||
         std::any_of(Request.failure().begin(), Request.failure().end(),
                     IsWrite);
}

class KeyValueService final : public KV::CallbackService {
public:
  explicit KeyValueService(StoreState &Shared) : State(Shared) {}

  Reactor *Range(Context *C, const RangeRequest *Request,
                 RangeResponse *Reply) override {
    return handle(*C, "range", State.Reads, [&](MemoryStore &Data) {
      return answer(Data.range(*Request), Reply);
    });
  }

  Reactor *Put(Context *C, const PutRequest *Request,
               PutResponse *Reply) override {
    return handle(*C, "put", State.Writes, [&](MemoryStore &Data) {
      return answer(Data.put(*Request), Reply);
    });
  }

  Reactor *DeleteRange(Context *C, const DeleteRangeRequest *Request,
                       DeleteRangeResponse *Reply) override {
    return handle(*C, "delete_range", State.Writes, [&](MemoryStore &Data) {
      *Reply = Data.deleteRange(*Request);
      return grpc::Status::OK;
    });
  }

  Reactor *Txn(Context *C, const TxnRequest *Request,
               TxnResponse *Reply) override {
    return handle(
        *C, "txn", writes(*Request) ? State.Writes : State.Reads,
        [&](MemoryStore &Data) { return answer(Data.txn(*Request), Reply); });
  }

private:
  template <typename Operation>
  Reactor *handle(const Context &C, const char *Counter, TokenBucket &Rate,
                  Operation Run) {
    auto *Out = new Answer;
    State.Faults.count(Counter);
    const CallFate Fate = State.Faults.onCall(C.peer());
    if (Fate == CallFate::Drop)
      return Out;
    if (Fate == CallFate::Refuse) {
      Out->send({grpc::StatusCode::UNAVAILABLE, "the store is down"}, {});
      return Out;
    }
    const std::lock_guard Lock(State.Mutex);
    if (!Rate.take(std::chrono::steady_clock::now())) {
      State.Faults.count("refused_rate");
      Out->send({grpc::StatusCode::RESOURCE_EXHAUSTED, "too many calls"}, {});
      return Out;
    }
    const std::int64_t Before = State.Data.revision();
    const grpc::Status Status = Run(State.Data);
    const bool Changed = State.Data.revision() != Before;
    if (Changed)
      State.Watches->notify();
    const CallEffect Effect =
        Changed ? CallEffect::ChangesState : CallEffect::None;
    if (!State.Faults.losesAnswer(Effect))
      Out->send(Status, State.Faults.delay());
    return Out;
  }

  StoreState &State;
};

class StoreControl final : public control::ControlService::CallbackService {
public:
  explicit StoreControl(StoreServer &Controlled) : Server(Controlled) {}

  Reactor *SetFaults(Context *C, const control::Faults *Faults,
                     control::Counters *Reply) override {
    Server.setFaults(*Faults);
    return reply(*C, Reply);
  }

  Reactor *Read(Context *C, const control::ReadRequest *,
                control::Counters *Reply) override {
    return reply(*C, Reply);
  }

private:
  Reactor *reply(Context &C, control::Counters *Reply) {
    *Reply = Server.counters();
    Reactor *Out = C.DefaultReactor();
    Out->Finish(grpc::Status::OK);
    return Out;
  }

  StoreServer &Server;
};

} // namespace

StoreServer::StoreServer(const StoreLimits &Limits)
    : State(Limits), KeyValue(std::make_unique<KeyValueService>(State)),
      Watch(std::make_unique<WatchService>(State)),
      Control(std::make_unique<StoreControl>(*this)) {}

StoreServer::~StoreServer() = default;

void StoreServer::setFaults(const control::Faults &Faults) {
  State.Faults.set(Faults);
  if (!State.Faults.isDown())
    return;
  const std::lock_guard Lock(State.Mutex);
  State.Watches->endAll();
}

control::Counters StoreServer::counters() {
  const std::lock_guard Lock(State.Mutex);
  State.Faults.setCounter("waiting_watches", State.Watches->waiting());
  return State.Faults.counters();
}

void StoreServer::compact() {
  const std::lock_guard Lock(State.Mutex);
  State.Data.compact(State.Data.revision());
}

} // namespace borageridge::standins
