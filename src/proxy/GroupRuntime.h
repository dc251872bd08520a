#ifndef BORAGERIDGE_PROXY_GROUPRUNTIME_H
#define BORAGERIDGE_PROXY_GROUPRUNTIME_H

#include "borageridge/Endpoint.h"
#include "borageridge/Store.h"
#include "dispatch/GroupEngine.h"
#include "proxy/ControlPlane.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageridge::proxy {

/// Time that the promotion's calls to members and store may take.
inline constexpr Duration MemberCallTimeout = std::chrono::milliseconds(400);

/// What a GroupRuntime needs of its process.
template <Endpoint E, Store S> struct GroupEnvironment {
  std::function<std::unique_ptr<E>(std::string_view Address)> MakeEndpoint;
  /// Takes the answers to requests; called without a lock held.
  std::function<void(dispatch::SendAnswer &&)> Answer;
  S *Service = nullptr;
  /// Store key of the group record.
  std::string RecordKey;
  Duration StoreTimeout = std::chrono::milliseconds(500);
};

/// Runs one GroupEngine: serialises its events and carries out its actions.
///
/// Must outlive its endpoints' and the store's callbacks; a daemon keeps it
/// until the end of the process.
template <Endpoint E, Store S> class GroupRuntime final : public GroupHandle {
public:
  GroupRuntime(std::string Database, dispatch::EngineSettings Settings,
               failover::AttemptGenerator NextAttempt,
               GroupEnvironment<E, S> WithEnvironment)
      : Environment(std::move(WithEnvironment)),
        Engine(std::move(Database), std::move(Settings), std::move(NextAttempt),
               std::chrono::steady_clock::now()) {}

  /// Calls Event(Engine, Now, Out) under the engine's lock, then carries out
  /// the actions.
  template <typename F> void post(F &&Event) {
    dispatch::Actions Out;
    {
      const absl::MutexLock Lock(&EngineMutex);
      std::forward<F>(Event)(Engine, std::chrono::steady_clock::now(), Out);
    }
    perform(Out);
  }

  /// Reads from the engine without an event.
  template <typename F> auto inspect(F &&Look) const {
    const absl::MutexLock Lock(&EngineMutex);
    return std::forward<F>(Look)(Engine, std::chrono::steady_clock::now());
  }

  void execute(dispatch::RequestContext From,
               const caller::ExecuteRequest &Message) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.execute(std::move(From), Message, Now, Out);
    });
  }

  void lookUp(dispatch::RequestContext From,
              const caller::LookUpRequest &Message) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.lookUp(std::move(From), Message, Now, Out);
    });
  }

  void begin(dispatch::RequestContext From,
             const caller::TransactBegin &Message) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.beginTransaction(std::move(From), Message, Now, Out);
    });
  }

  void step(dispatch::RequestId Id,
            const caller::TransactRequest &Step) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.continueTransaction(Id, Step, Now, Out);
    });
  }

  void abandon(dispatch::RequestId Id) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.abandon(Id, Now, Out);
    });
  }

  void configure(const table::Table &InForce) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.configure(InForce, Now, Out);
    });
  }

  void recordKnown(const failover::KnownRecord &Known) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.recordKnown(Known, Now, Out);
    });
  }

  record::GroupRecord record() const override {
    return inspect(
        [](const dispatch::GroupEngine &G, Time) { return G.view().record(); });
  }

  std::vector<peer::Evidence> ownEvidence() const override {
    return inspect([](const dispatch::GroupEngine &G, Time Now) {
      return G.ownEvidence(Now);
    });
  }

  void evidenceReceived(const EvidenceList &Evidence) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &) {
      for (const peer::Evidence &Seen : Evidence)
        G.evidenceReceived(Seen, Now);
    });
  }

  void proxiesChanged(std::vector<ranking::ProxyIdentity> Alive,
                      std::vector<ranking::ProxyIdentity> Witnesses) override {
    post([&](dispatch::GroupEngine &G, Time, dispatch::Actions &) {
      G.proxiesChanged(std::move(Alive), std::move(Witnesses));
    });
  }

  void leavingChanged(std::span<const std::string> Names) override {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.leavingChanged(Names, Now, Out);
    });
  }

  failover::StartResult changePrimary(std::string_view Preferred) override {
    failover::StartResult Result = failover::StartResult::NoRecord;
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      Result = G.changePrimary(Preferred, Now, Out);
    });
    return Result;
  }

  void describe(admin::GroupStatus &Status) const override {
    inspect([&](const dispatch::GroupEngine &G, Time Now) {
      G.describe(Status, Now);
      return 0;
    });
  }

  GroupFigures figures() const override {
    return inspect([](const dispatch::GroupEngine &G, Time) {
      GroupFigures Figures;
      Figures.Term = G.view().record().term();
      Figures.Promotions = G.counters().Promotions;
      Figures.Retries = G.counters().Retries;
      Figures.SilentConnections = G.counters().SilentConnections;
      Figures.Queued = G.queued();
      for (group::MemberIndex I = 0; I < G.view().members().size(); ++I)
        Figures.Members.push_back({G.view().member(I).Name,
                                   G.connections().openCount(I),
                                   G.connections().busyCount(I)});
      return Figures;
    });
  }

  /// Runs the engine's timers and destroys handles that were given up. Not to
  /// be called from a callback: destroying a handle can wait for one.
  void tick() override {
    post([](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      G.tick(Now, Out);
    });
    Discarded Old;
    {
      const absl::MutexLock Lock(&HandleMutex);
      std::swap(Old, Given);
    }
  }

private:
  using Connection = typename E::Connection;
  using Observation = typename E::Observation;

  struct MemberHandle {
    std::string Name;
    std::string Address;
    std::shared_ptr<E> Endpoint;
    std::shared_ptr<Observation> Status;
    std::uint64_t Generation = 0;
  };

  struct Discarded {
    std::vector<std::shared_ptr<Connection>> Connections;
    std::vector<std::shared_ptr<Observation>> Observations;
    std::vector<std::shared_ptr<E>> Endpoints;
  };

  void perform(dispatch::Actions &Out) {
    for (dispatch::Action &A : Out)
      std::visit([this](auto &Work) { this->run(Work); }, A);
  }

  void run(dispatch::OpenConnection &Work) {
    const dispatch::ConnectionId Id = Work.Id;
    // The lock is held until the handle is stored, so that an early failure
    // finds it.
    const absl::MutexLock Lock(&HandleMutex);
    if (Work.Member >= Members.size() || !Members[Work.Member].Endpoint)
      return;
    std::shared_ptr<Connection> Opened = Members[Work.Member].Endpoint->connect(
        [this, Id](Expected<endpoint::ConnectionReply> Reply) {
          connectionEvent(Id, Reply);
        });
    endpoint::ConnectionRequest Hello;
    Hello.set_sequence(1);
    Hello.set_hello(true);
    Opened->send(std::move(Hello));
    Connections.emplace(Id, std::move(Opened));
  }

  void connectionEvent(dispatch::ConnectionId Id,
                       const Expected<endpoint::ConnectionReply> &Reply) {
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      if (Reply.has_value())
        G.connectionReplied(Id, Reply.value(), Now, Out);
      else
        G.connectionFailed(Id, Reply.error(), Now, Out);
    });
  }

  void run(dispatch::CloseConnection &Work) {
    const absl::MutexLock Lock(&HandleMutex);
    const auto Found = Connections.find(Work.Id);
    if (Found == Connections.end())
      return;
    Given.Connections.push_back(std::move(Found->second));
    Connections.erase(Found);
  }

  void run(dispatch::SendOnConnection &Work) {
    std::shared_ptr<Connection> Target;
    {
      const absl::MutexLock Lock(&HandleMutex);
      const auto Found = Connections.find(Work.Id);
      if (Found == Connections.end())
        return;
      Target = Found->second;
    }
    Target->send(std::move(Work.Message));
  }

  void run(dispatch::ObserveMember &Work) {
    const absl::MutexLock Lock(&HandleMutex);
    if (Work.Member >= Members.size())
      Members.resize(Work.Member + 1);
    MemberHandle &Handle = Members[Work.Member];
    Handle.Name = Work.Name;
    if (Handle.Address != Work.Address) {
      if (Handle.Endpoint)
        Given.Endpoints.push_back(std::move(Handle.Endpoint));
      Handle.Endpoint = Environment.MakeEndpoint(Work.Address);
      Handle.Address = Work.Address;
    }
    if (Handle.Status)
      Given.Observations.push_back(std::move(Handle.Status));
    const group::MemberIndex Member = Work.Member;
    const std::uint64_t Generation = ++Handle.Generation;
    Handle.Status = Handle.Endpoint->observe(
        [this, Member, Generation](Expected<endpoint::MemberStatus> Status) {
          statusEvent(Member, Generation, Status);
        });
  }

  void statusEvent(group::MemberIndex Member, std::uint64_t Generation,
                   const Expected<endpoint::MemberStatus> &Status) {
    {
      // An observation that was replaced may still report for a moment.
      const absl::MutexLock Lock(&HandleMutex);
      if (Members[Member].Generation != Generation)
        return;
    }
    post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
      if (Status.has_value())
        G.statusReceived(Member, Status.value(), Now, Out);
      else
        G.observationFailed(Member, Status.error(), Now, Out);
    });
  }

  void run(dispatch::SendPing &Work) {
    std::shared_ptr<Observation> Target;
    {
      const absl::MutexLock Lock(&HandleMutex);
      if (Work.Member < Members.size())
        Target = Members[Work.Member].Status;
    }
    if (Target)
      Target->ping(Work.Sequence);
  }

  void run(dispatch::SendAnswer &Work) { Environment.Answer(std::move(Work)); }

  void run(dispatch::FailoverAction &Work) {
    std::visit([this](auto &Step) { this->runFailover(Step); }, Work.Action);
  }

  void runFailover(failover::ReadRecord &) {
    Environment.Service->read(
        Environment.RecordKey, Environment.StoreTimeout,
        [this](Expected<StoreValue> Value) {
          const Expected<failover::KnownRecord> Result = decode(Value);
          post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
            G.recordRead(Result, Now, Out);
          });
        });
  }

  static Expected<failover::KnownRecord>
  decode(const Expected<StoreValue> &Value) {
    if (!Value.has_value())
      return Value.error();
    if (Value.value().Revision == 0)
      return Failure{FailureKind::NotFound, "there is no group record"};
    failover::KnownRecord Known;
    Known.Revision = Value.value().Revision;
    if (!Known.Record.ParseFromString(Value.value().Value))
      return Failure{FailureKind::Corrupt, "the group record is not readable"};
    return Known;
  }

  void runFailover(failover::SwapRecord &Step) {
    const StoreWrite Write{Environment.RecordKey,
                           Step.Record.SerializeAsString()};
    Environment.Service->compareAndSwap(
        Environment.RecordKey, Step.ExpectedRevision, {&Write, 1},
        Environment.StoreTimeout, [this, Step](Expected<std::int64_t> Result) {
          post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
            G.recordSwapped(Step, Result, Now, Out);
          });
        });
  }

  std::shared_ptr<E> endpointOf(std::string_view Name) {
    const absl::MutexLock Lock(&HandleMutex);
    for (const MemberHandle &Handle : Members)
      if (Handle.Name == Name)
        return Handle.Endpoint;
    return nullptr;
  }

  void runFailover(failover::SealMember &Step) {
    const std::shared_ptr<E> Target = endpointOf(Step.Member);
    if (!Target)
      return;
    const Term SealedFor = Step.Request.term();
    Target->seal(
        Step.Request, MemberCallTimeout,
        [this, Name = Step.Member,
         SealedFor](Expected<endpoint::SealReply> Result) {
          post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
            G.memberSealed(Name, SealedFor, Result, Now, Out);
          });
        });
  }

  void runFailover(failover::PromoteMember &Step) {
    const std::shared_ptr<E> Target = endpointOf(Step.Member);
    if (!Target)
      return;
    const Term PromotedFor = Step.Request.term();
    Target->promote(
        Step.Request, MemberCallTimeout,
        [this, Name = Step.Member,
         PromotedFor](Expected<endpoint::PromoteReply> Result) {
          post([&](dispatch::GroupEngine &G, Time Now, dispatch::Actions &Out) {
            G.memberPromoted(Name, PromotedFor, Result, Now, Out);
          });
        });
  }

  void runFailover(failover::FollowMember &Step) {
    const std::shared_ptr<E> Target = endpointOf(Step.Member);
    if (Target)
      Target->follow(Step.Request, MemberCallTimeout,
                     [](const Expected<endpoint::FollowReply> &) {});
  }

  GroupEnvironment<E, S> Environment;
  mutable absl::Mutex EngineMutex;
  dispatch::GroupEngine Engine ABSL_GUARDED_BY(EngineMutex);

  absl::Mutex HandleMutex;
  std::vector<MemberHandle> Members ABSL_GUARDED_BY(HandleMutex);
  absl::flat_hash_map<dispatch::ConnectionId, std::shared_ptr<Connection>>
      Connections ABSL_GUARDED_BY(HandleMutex);
  /// Handles that tick() destroys.
  Discarded Given ABSL_GUARDED_BY(HandleMutex);
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_GROUPRUNTIME_H
