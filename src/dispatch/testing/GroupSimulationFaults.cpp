// Fault injection.

#include "dispatch/testing/GroupSimulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

void GroupSimulation::crash(int Index) {
  NodeState &Crashed = Nodes[Index];
  if (!Crashed.Up)
    return;
  Crashed.Up = false;
  ++Crashed.Incarnation;
  if (Index < MemberCount) {
    Members[Index].handleCrash();
    for (int P = 0; P < ProxyCount; ++P) {
      std::vector<ConnectionId> Lost;
      for (auto &[Id, Broken] : Proxies[P].Links)
        if (Broken.Member == Index && !Broken.Silent)
          Lost.push_back(Id);
      for (const ConnectionId Id : Lost)
        if (isDelivered(Index, FirstProxy + P))
          failConnection(P, Id, FailureKind::Unknown);
      const Observation &Stream = Proxies[P].Observations[Index];
      if (Stream.Alive && !Stream.Silent && isDelivered(Index, FirstProxy + P))
        failObservation(P, Index, Stream.Generation, FailureKind::Unavailable);
    }
  } else if (Index < StoreNode) {
    ProxyState &Dead = Proxies[Index - FirstProxy];
    for (auto &[Id, Broken] : Dead.Links) {
      const std::uint64_t Key = connectionKey(Index - FirstProxy, Id);
      send(Index, Broken.Member, [this, Key, Member = Broken.Member]() {
        Members[Member].handleConnectionEnd(Key);
      });
    }
    Dead.Links.clear();
    Dead.Engine.reset();
    std::map<RequestId, ReplyCallback> Waiting = std::move(Dead.Waiting);
    Dead.Waiting.clear();
    for (auto &[Id, OnReply] : Waiting)
      after(delay(), [OnReply = OnReply]() { OnReply(nullptr); });
  }
}

void GroupSimulation::restart(int Index) {
  if (Nodes[Index].Up)
    return;
  Nodes[Index].Up = true;
  Nodes[Index].PausedUntil = Now;
  if (Index >= FirstProxy && Index < StoreNode)
    startProxy(Index - FirstProxy);
}

void GroupSimulation::pause(int Node, Duration For) {
  Nodes[Node].PausedUntil = Now + For;
}

void GroupSimulation::cut(int A, int B) {
  cutOneWay(A, B);
  cutOneWay(B, A);
}

void GroupSimulation::isolate(int Node) {
  for (int Other = 0; Other < NodeCount; ++Other)
    if (Other != Node)
      cut(Node, Other);
}

void GroupSimulation::isolateFromMembers(int Member) {
  for (int Other = 0; Other < MemberCount; ++Other)
    if (Other != Member)
      cut(Member, Other);
}

void GroupSimulation::isolateFromControl(int ProxyNode) {
  for (int Other = FirstProxy; Other < NodeCount; ++Other)
    if (Other != ProxyNode)
      cut(ProxyNode, Other);
}

void GroupSimulation::healAll() {
  for (auto &Row : LinkCut)
    Row.fill(false);
  LossPercent = 0;
  StoreLostPercent = 0;
  for (int Node = 0; Node < NodeCount; ++Node) {
    Nodes[Node].ExtraDelay = Duration::zero();
    Nodes[Node].PausedUntil = std::min(Nodes[Node].PausedUntil, Now);
    restart(Node);
  }
}

void GroupSimulation::silenceOpenConnections(int Member) {
  for (ProxyState &P : Proxies) {
    for (auto &[Id, Silenced] : P.Links)
      if (Silenced.Member == Member)
        Silenced.Silent = true;
    P.Observations[Member].Silent = true;
  }
}

} // namespace borageridge::dispatch::testing
