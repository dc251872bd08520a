#include "standins/instances/InstanceServer.h"

#include "standins/support/Answer.h"

#include "control.grpc.pb.h"
#include "instances.grpc.pb.h"

namespace borageridge::standins {

LaggingList::LaggingList(const control::InstanceSet &Initial) {
  Visible.set_version(LastVersion);
  *Visible.mutable_instances() = Initial.instances();
}

void LaggingList::set(const control::InstanceSet &Instances, Duration Lag,
                      Time Now) {
  instances::ListReply Next;
  Next.set_version(++LastVersion);
  *Next.mutable_instances() = Instances.instances();
  Pending.push_back({Now + Lag, std::move(Next)});
}

const instances::ListReply &LaggingList::visible(Time Now) {
  while (!Pending.empty() && Pending.front().VisibleAt <= Now) {
    Visible = std::move(Pending.front().List);
    Pending.pop_front();
  }
  return Visible;
}

namespace {

using Context = grpc::CallbackServerContext;
using Reactor = grpc::ServerUnaryReactor;

class ListService final
    : public instances::InstanceListService::CallbackService {
public:
  explicit ListService(InstanceServer &Shared) : Server(Shared) {}

  Reactor *List(Context *C, const instances::ListRequest *,
                instances::ListReply *Reply) override {
    FaultSwitch &Faults = Server.faults();
    auto *Out = new Answer;
    Faults.count("list");
    const CallFate Fate = Faults.onCall(C->peer());
    if (Fate == CallFate::Refuse)
      Out->send({grpc::StatusCode::UNAVAILABLE, "the list is down"}, {});
    if (Fate != CallFate::Answer || Faults.losesAnswer(CallEffect::None))
      return Out;
    *Reply = Server.visible();
    Out->send(grpc::Status::OK, Faults.delay());
    return Out;
  }

private:
  InstanceServer &Server;
};

class ListControl final : public control::ControlService::CallbackService {
public:
  explicit ListControl(InstanceServer &Shared) : Server(Shared) {}

  Reactor *SetFaults(Context *C, const control::Faults *Faults,
                     control::Counters *Reply) override {
    Server.setFaults(*Faults);
    return reply(*C, Reply);
  }

  Reactor *Read(Context *C, const control::ReadRequest *,
                control::Counters *Reply) override {
    return reply(*C, Reply);
  }

  Reactor *SetInstances(Context *C, const control::InstanceSet *Instances,
                        control::Counters *Reply) override {
    Server.setInstances(*Instances);
    return reply(*C, Reply);
  }

private:
  Reactor *reply(Context &C, control::Counters *Reply) {
    *Reply = Server.counters();
    Reactor *Out = C.DefaultReactor();
    Out->Finish(grpc::Status::OK);
    return Out;
  }

  InstanceServer &Server;
};

} // namespace

InstanceServer::InstanceServer(const control::InstanceSet &Initial)
    : Instances(Initial), List(std::make_unique<ListService>(*this)),
      Control(std::make_unique<ListControl>(*this)) {}

InstanceServer::~InstanceServer() = default;

void InstanceServer::setInstances(const control::InstanceSet &Set) {
  const std::lock_guard Lock(Mutex);
  Instances.set(Set, Faults.listLag(), std::chrono::steady_clock::now());
}

instances::ListReply InstanceServer::visible() {
  const std::lock_guard Lock(Mutex);
  return Instances.visible(std::chrono::steady_clock::now());
}

} // namespace borageridge::standins
