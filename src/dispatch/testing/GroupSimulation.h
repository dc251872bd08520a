#ifndef BORAGERIDGE_DISPATCH_TESTING_GROUPSIMULATION_H
#define BORAGERIDGE_DISPATCH_TESTING_GROUPSIMULATION_H

#include "dispatch/GroupEngine.h"
#include "dispatch/testing/FakeMember.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace borageridge::dispatch::testing {

/// Parameters of a run. The default times are those of a small deployment.
struct SimulationSettings {
  std::uint64_t Seed = 1;
  InjectedBugs Bugs;
  Duration MinDelay = std::chrono::microseconds(200);
  Duration MaxDelay = std::chrono::milliseconds(2);
  Duration ApplyLag = std::chrono::milliseconds(20);
  Duration ConnectionOpenTime = std::chrono::milliseconds(10);
  /// Time that a member takes to process a request.
  Duration ServiceTime = std::chrono::microseconds(500);
  std::string Table;
};

/// Protocol steps at which a fault can be injected.
enum class ProtocolStep {
  ReadSent,
  ReadReplied,
  WriteSent,
  WriteReplied,
  BeginSent,
  StatementSent,
  CommitSent,
  CommitReplied,
  SettleSent,
  Answered,
  SealingSwapped,
  SealSent,
  PromotingSwapped,
  PromoteSent,
  ActiveSwapped,
  FollowSent,
};
inline constexpr std::size_t ProtocolStepCount = 16;

std::string_view name(ProtocolStep Step);

using StepCallback = std::function<void(ProtocolStep, int Proxy, int Member)>;

/// Called when a reply has arrived at the session, or with a null pointer if
/// the proxy crashed first.
using ReplyCallback = std::function<void(const SendAnswer *)>;

/// Deterministic simulation of one database group: three members, three proxies
/// with a GroupEngine each, a store, and the network between them. Runs in
/// virtual time; all random choices derive from one seed.
class GroupSimulation {
public:
  static constexpr int MemberCount = 3;
  static constexpr int ProxyCount = 3;
  static constexpr int FirstProxy = MemberCount;
  static constexpr int StoreNode = MemberCount + ProxyCount;
  static constexpr int NodeCount = StoreNode + 1;
  using Task = std::function<void()>;

  explicit GroupSimulation(SimulationSettings Settings);
  GroupSimulation(const GroupSimulation &) = delete;
  GroupSimulation &operator=(const GroupSimulation &) = delete;

  /// Runs the events up to the given time since the start.
  void runUntil(Duration SinceStart);
  Time now() const { return Now; }
  Duration elapsed() const { return Now - Time(); }
  void after(Duration Delay, Task Run);
  std::uint64_t randomBelow(std::uint64_t Bound) { return Random() % Bound; }
  bool randomChance(unsigned Percent) { return randomBelow(100) < Percent; }

  // Faults. Nodes are numbered: members, then proxies, then the store.
  void crash(int Node);
  void restart(int Node);
  bool isUp(int Node) const { return Nodes[Node].Up; }
  void pause(int Node, Duration For);
  /// Drops the messages from A to B.
  void cutOneWay(int A, int B) { LinkCut[A][B] = true; }
  void cut(int A, int B);
  /// Partitions a node from all other nodes, or a member from the other
  /// members.
  void isolate(int Node);
  void isolateFromMembers(int Member);
  /// Partitions a proxy from the store and from the other proxies, so that it
  /// does not learn of changes of primary.
  void isolateFromControl(int ProxyNode);
  void healAll();
  /// Drops all messages on the open connections and observations of the member;
  /// new ones work.
  void silenceOpenConnections(int Member);
  void setLoss(unsigned Percent) { LossPercent = Percent; }
  void setSlow(int Member, Duration Extra) { Nodes[Member].ExtraDelay = Extra; }
  void setStoreLostAnswers(unsigned Percent) { StoreLostPercent = Percent; }
  void setApplyLag(Duration Lag) { Settings.ApplyLag = Lag; }

  // Requests from a session to a proxy.
  void execute(int Proxy, RequestContext Context,
               caller::ExecuteRequest Message, ReplyCallback OnReply);
  void lookUp(int Proxy, RequestContext Context, caller::LookUpRequest Message,
              ReplyCallback OnReply);
  void begin(int Proxy, RequestContext Context, caller::TransactBegin Message,
             ReplyCallback OnReply);
  void step(int Proxy, RequestId Id, caller::TransactRequest Message);
  RequestId nextRequestId() { return ++LastRequest; }
  int randomLiveProxy();
  /// Delivers an event to the engine of a proxy, such as an operator's command.
  void postToProxy(int Proxy,
                   const std::function<void(GroupEngine &, Actions &)> &Input);
  GroupEngine *engine(int Proxy) { return Proxies[Proxy].Engine.get(); }

  /// Sets a callback for protocol steps. Its Member is the one that the step
  /// concerns, or the current primary.
  void onStep(StepCallback Callback) { OnStep = std::move(Callback); }

  FakeMember &member(int Index) { return Members[Index]; }
  const record::GroupRecord &storedRecord() const {
    return StoredRecord.Record;
  }
  /// The member that serves the term of the stored record, or -1.
  int currentPrimary() const;
  /// Number of terms in the stored record.
  std::size_t terms() const { return StoredRecord.Record.history_size(); }
  std::uint64_t pingsSent() const { return Pings; }
  /// Describes the record, the members and the proxies, one per line.
  std::vector<std::string> describe() const;

private:
  struct NodeState {
    bool Up = true;
    Time PausedUntil;
    Duration ExtraDelay = Duration::zero();
    /// Incremented by a crash; messages to an earlier incarnation are dropped.
    unsigned Incarnation = 0;
  };
  struct Link {
    int Member = 0;
    bool Silent = false;
    bool Open = false;
    Time LastToMember;
    Time LastToProxy;
  };
  struct Observation {
    std::uint64_t Generation = 0;
    bool Alive = false;
    bool Silent = false;
  };
  struct ProxyState {
    std::unique_ptr<GroupEngine> Engine;
    std::map<ConnectionId, Link> Links;
    std::array<Observation, MemberCount> Observations;
    std::map<RequestId, ReplyCallback> Waiting;
    std::uint64_t Generations = 0;
    std::uint64_t Attempts = 0;
  };
  struct Event {
    Time At;
    std::uint64_t Sequence = 0;
    Task Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Sequence) < std::tie(At, Sequence);
    }
  };

  void notifyStep(ProtocolStep Step, int Proxy, int Member);
  Duration delay();
  void at(Time When, Task Run);
  /// Returns false if the link is cut. Otherwise decides at random, by the loss
  /// rate, whether a message is delivered.
  bool isDelivered(int From, int To);
  /// Runs a task at a node at the given time, or after the node's pause. Drops
  /// the task if the node has crashed since.
  void atNode(int Node, Time When, Task Run);
  void send(int From, int To, Task Deliver);

  void startProxy(int Proxy);
  void postTick(int Proxy, unsigned Incarnation);
  void post(int Proxy, const std::function<void(GroupEngine &, Actions &)> &Do);
  void perform(int Proxy, Actions &Out);
  void run(int Proxy, OpenConnection &Action);
  void run(int Proxy, CloseConnection &Action);
  void run(int Proxy, SendOnConnection &Action);
  void run(int Proxy, ObserveMember &Action);
  void run(int Proxy, SendPing &Action);
  void run(int Proxy, SendAnswer &Action);
  void run(int Proxy, FailoverAction &Action);
  void runFailover(int Proxy, failover::ReadRecord &Action);
  void runFailover(int Proxy, failover::SwapRecord &Action);
  void runFailover(int Proxy, failover::SealMember &Action);
  void runFailover(int Proxy, failover::PromoteMember &Action);
  void runFailover(int Proxy, failover::FollowMember &Action);
  void toMember(int Proxy, ConnectionId Id,
                const endpoint::ConnectionRequest &Message, Duration Extra);
  void toProxy(int Proxy, ConnectionId Id,
               const endpoint::ConnectionReply &Reply);
  void failConnection(int Proxy, ConnectionId Id, FailureKind Kind);
  void failObservation(int Proxy, int Member, std::uint64_t Generation,
                       FailureKind Kind);
  void pushStatus(int Proxy, int Member, std::uint64_t Generation,
                  std::uint64_t PingSequence);
  void statusChanged(int Member);
  void pullLog(int Replica);
  void exchangeEvidence();
  void notifyWatchers();
  void repeatWatchNotifications();
  int indexOf(std::string_view Member) const;
  std::uint64_t connectionKey(int Proxy, ConnectionId Id) const;

  SimulationSettings Settings;
  std::mt19937_64 Random;
  Time Now;
  std::uint64_t Sequence = 0;
  std::priority_queue<Event> Events;
  std::array<NodeState, NodeCount> Nodes;
  std::array<std::array<bool, NodeCount>, NodeCount> LinkCut{};
  std::vector<FakeMember> Members;
  std::array<bool, MemberCount> StatusPending{};
  std::array<ProxyState, ProxyCount> Proxies;
  failover::KnownRecord StoredRecord;
  StepCallback OnStep;
  std::uint64_t Pings = 0;
  unsigned LossPercent = 0;
  unsigned StoreLostPercent = 0;
  RequestId LastRequest = 0;
};

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_GROUPSIMULATION_H
