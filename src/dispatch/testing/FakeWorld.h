#ifndef BORAGERIDGE_DISPATCH_TESTING_FAKEWORLD_H
#define BORAGERIDGE_DISPATCH_TESTING_FAKEWORLD_H

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

/// Times of a run; the defaults are those of a small deployment.
struct WorldSettings {
  std::uint64_t Seed = 1;
  PlantedFaults Planted;
  Duration LeastDelay = std::chrono::microseconds(200);
  Duration MostDelay = std::chrono::milliseconds(2);
  Duration ApplyLag = std::chrono::milliseconds(20);
  Duration ConnectionOpening = std::chrono::milliseconds(10);
  /// Service time of a request at a member.
  Duration Service = std::chrono::microseconds(500);
  std::string Table;
};

/// Steps of the protocols that a fault can strike at.
enum class WorldStep {
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
inline constexpr std::size_t WorldStepCount = 16;

std::string_view name(WorldStep Step);

using StepCallback = std::function<void(WorldStep, int Proxy, int Member)>;

/// Called at the session when the answer has arrived, or with nothing if the
/// proxy died first.
using ReplyCallback = std::function<void(const SendAnswer *)>;

/// One database group of three members, three proxies with a GroupEngine each,
/// a store, and the network between them, in virtual time from one seed.
class FakeWorld {
public:
  static constexpr int MemberCount = 3;
  static constexpr int ProxyCount = 3;
  static constexpr int FirstProxy = MemberCount;
  static constexpr int StoreNode = MemberCount + ProxyCount;
  static constexpr int NodeCount = StoreNode + 1;
  using Task = std::function<void()>;

  explicit FakeWorld(WorldSettings Settings);
  FakeWorld(const FakeWorld &) = delete;
  FakeWorld &operator=(const FakeWorld &) = delete;

  /// Runs events until the given time since the start.
  void runUntil(Duration SinceStart);
  Time now() const { return Now; }
  Duration elapsed() const { return Now - Time(); }
  void after(Duration Delay, Task Run);
  std::uint64_t below(std::uint64_t Bound) { return Random() % Bound; }
  bool chance(unsigned Percent) { return below(100) < Percent; }

  // Faults. Nodes are members, then proxies, then the store.
  void crash(int Node);
  void restart(int Node);
  bool isUp(int Node) const { return Nodes[Node].Up; }
  void pause(int Node, Duration For);
  /// Messages from A to B are lost.
  void cutOneWay(int A, int B) { Cut[A][B] = true; }
  void cut(int A, int B);
  /// Cuts a node from all others, or only from the other members.
  void isolate(int Node);
  void isolateFromMembers(int Member);
  /// Cuts a proxy from the store and from the other proxies, so that it hears
  /// of no change.
  void isolateFromControl(int ProxyNode);
  void healAll();
  /// Open connections and observations to the member go silent; new ones work.
  void silenceOpenConnections(int Member);
  void setLoss(unsigned Percent) { LossPercent = Percent; }
  void setSlow(int Member, Duration Extra) { Nodes[Member].Slow = Extra; }
  void setStoreLostAnswers(unsigned Percent) { StoreLostPercent = Percent; }
  void setApplyLag(Duration Lag) { Settings.ApplyLag = Lag; }

  // Requests, from a session next to the proxies.
  void execute(int Proxy, RequestContext Context, caller::ExecuteRequest Message,
               ReplyCallback OnReply);
  void lookUp(int Proxy, RequestContext Context, caller::LookUpRequest Message,
              ReplyCallback OnReply);
  void begin(int Proxy, RequestContext Context, caller::TransactBegin Message,
             ReplyCallback OnReply);
  void step(int Proxy, RequestId Id, caller::TransactRequest Message);
  RequestId nextRequestId() { return ++LastRequest; }
  int liveProxy();
  /// Runs an input of an operator or the instance list at a live proxy.
  void atProxy(int Proxy,
               const std::function<void(GroupEngine &, Actions &)> &Input);
  GroupEngine *engine(int Proxy) { return Proxies[Proxy].Engine.get(); }

  /// Called whenever a proxy carries out a step. The member is the one that it
  /// concerns, or the present primary.
  void onStep(StepCallback Callback) { OnStep = std::move(Callback); }

  FakeMember &member(int Index) { return Members[Index]; }
  const record::GroupRecord &storedRecord() const { return Stored.Record; }
  /// The primary of the newest active term, or -1.
  int currentPrimary() const;
  /// Acknowledged writes, by the term and the time of the answer.
  std::size_t terms() const { return Stored.Record.history_size(); }
  std::uint64_t pingsSent() const { return Pings; }
  /// Record, members and proxies in words.
  std::vector<std::string> describe() const;

private:
  struct NodeState {
    bool Up = true;
    Time PausedUntil;
    Duration Slow = Duration::zero();
    /// Messages to an earlier run of the node are dropped.
    unsigned Run = 0;
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

  void reached(WorldStep Step, int Proxy, int Member);
  Duration delay();
  void at(Time When, Task Run);
  bool passes(int From, int To);
  /// Runs a step at a node at the given time if it still is the same run of
  /// it; waits for the end of a pause.
  void atNode(int Node, Time When, Task Run);
  void send(int From, int To, Task Deliver);

  void startProxy(int Proxy);
  void postTick(int Proxy, unsigned Run);
  void post(int Proxy, const std::function<void(GroupEngine &, Actions &)> &Do);
  void perform(int Proxy, Actions &Out);
  void run(int Proxy, OpenConnection &Work);
  void run(int Proxy, CloseConnection &Work);
  void run(int Proxy, SendOnConnection &Work);
  void run(int Proxy, ObserveMember &Work);
  void run(int Proxy, SendPing &Work);
  void run(int Proxy, SendAnswer &Work);
  void run(int Proxy, FailoverAction &Work);
  void runFailover(int Proxy, failover::ReadRecord &Work);
  void runFailover(int Proxy, failover::SwapRecord &Work);
  void runFailover(int Proxy, failover::SealMember &Work);
  void runFailover(int Proxy, failover::PromoteMember &Work);
  void runFailover(int Proxy, failover::FollowMember &Work);
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
  void pull(int Replica);
  void exchangeEvidence();
  void notifyWatchers();
  void watchAgain();
  int indexOf(std::string_view Member) const;
  std::uint64_t connectionKey(int Proxy, ConnectionId Id) const;

  WorldSettings Settings;
  std::mt19937_64 Random;
  Time Now;
  std::uint64_t Sequence = 0;
  std::priority_queue<Event> Events;
  std::array<NodeState, NodeCount> Nodes;
  std::array<std::array<bool, NodeCount>, NodeCount> Cut{};
  std::vector<FakeMember> Members;
  std::array<bool, MemberCount> StatusPending{};
  std::array<ProxyState, ProxyCount> Proxies;
  failover::KnownRecord Stored;
  StepCallback OnStep;
  std::uint64_t Pings = 0;
  unsigned LossPercent = 0;
  unsigned StoreLostPercent = 0;
  RequestId LastRequest = 0;
};

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_FAKEWORLD_H
