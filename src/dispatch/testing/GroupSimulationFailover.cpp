#include "dispatch/testing/GroupSimulation.h"

// Store, change of primary, and replication.

namespace borageridge::dispatch::testing {
namespace {

constexpr Duration WatchInterval = std::chrono::seconds(1);
constexpr Duration PullInterval = std::chrono::milliseconds(10);

} // namespace

void GroupSimulation::runFailover(int Proxy, failover::ReadRecord &) {
  const int Node = FirstProxy + Proxy;
  send(Node, StoreNode, [this, Proxy, Node]() {
    send(StoreNode, Node, [this, Proxy, Known = StoredRecord]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.recordRead(Known, Now, Out);
      });
    });
  });
}

void GroupSimulation::runFailover(int Proxy, failover::SwapRecord &Action) {
  const record::Phase Phase = Action.Record.phase();
  notifyStep(Phase == record::PHASE_SEALING     ? ProtocolStep::SealingSwapped
             : Phase == record::PHASE_PROMOTING ? ProtocolStep::PromotingSwapped
                                                : ProtocolStep::ActiveSwapped,
             Proxy, indexOf(Action.Record.primary()));
  const int Node = FirstProxy + Proxy;
  send(Node, StoreNode, [this, Proxy, Node, Action]() {
    Expected<std::int64_t> Result = StoredRecord.Revision + 1;
    if (Action.ExpectedRevision == StoredRecord.Revision) {
      StoredRecord = {Action.Record, StoredRecord.Revision + 1};
      notifyWatchers();
    } else
      Result = Failure{FailureKind::Conflict, ""};
    if (randomChance(StoreLostPercent))
      return;
    send(StoreNode, Node, [this, Proxy, Action, Result]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.recordSwapped(Action, Result, Now, Out);
      });
    });
  });
}

// Simulates the store's watches. repeatWatchNotifications() simulates that a
// watch reads the record again after an outage.
void GroupSimulation::notifyWatchers() {
  if (!Nodes[StoreNode].Up || Now < Nodes[StoreNode].PausedUntil)
    return;
  for (int P = 0; P < ProxyCount; ++P)
    send(StoreNode, FirstProxy + P, [this, P, Known = StoredRecord]() {
      post(P, [&](GroupEngine &G, Actions &Out) {
        G.recordKnown(Known, Now, Out);
      });
    });
}

void GroupSimulation::repeatWatchNotifications() {
  after(WatchInterval, [this]() { repeatWatchNotifications(); });
  notifyWatchers();
}

void GroupSimulation::runFailover(int Proxy, failover::SealMember &Action) {
  notifyStep(ProtocolStep::SealSent, Proxy, indexOf(Action.Member));
  const int Node = FirstProxy + Proxy;
  const int Member = indexOf(Action.Member);
  const Term SealedFor = Action.Request.term();
  const auto Finish = [this, Proxy, Name = Action.Member,
                       SealedFor](const Expected<endpoint::SealReply> &Result) {
    post(Proxy, [&](GroupEngine &G, Actions &Out) {
      G.memberSealed(Name, SealedFor, Result, Now, Out);
    });
  };
  if (!Nodes[Member].Up)
    return atNode(Node, Now + delay(), [Finish]() {
      Finish(Failure{FailureKind::Unavailable, ""});
    });
  send(Node, Member, [this, Node, Member, SealedFor, Finish]() {
    const endpoint::SealReply Reply = Members[Member].seal(SealedFor);
    statusChanged(Member);
    send(Member, Node, [Finish, Reply]() { Finish(Reply); });
  });
}

void GroupSimulation::runFailover(int Proxy, failover::PromoteMember &Action) {
  notifyStep(ProtocolStep::PromoteSent, Proxy, indexOf(Action.Member));
  const int Node = FirstProxy + Proxy;
  const int Member = indexOf(Action.Member);
  send(Node, Member, [this, Proxy, Node, Member, Action]() {
    const endpoint::PromoteReply Reply = Members[Member].promote(
        Action.Request.term(),
        {Action.Request.start().term(), Action.Request.start().index()});
    statusChanged(Member);
    send(Member, Node, [this, Proxy, Action, Reply]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.memberPromoted(Action.Member, Action.Request.term(), Reply, Now, Out);
      });
    });
  });
}

void GroupSimulation::runFailover(int Proxy, failover::FollowMember &Action) {
  notifyStep(ProtocolStep::FollowSent, Proxy, indexOf(Action.Member));
  const int Member = indexOf(Action.Member);
  send(FirstProxy + Proxy, Member, [this, Member, Action]() {
    Members[Member].follow(Action.Request.term(),
                           Action.Request.primary_address());
    statusChanged(Member);
  });
}

// Replication: each replica polls its primary for missing log entries.
void GroupSimulation::pullLog(int Replica) {
  after(PullInterval / 5, [this, Replica]() { pullLog(Replica); });
  const FakeMember &Behind = Members[Replica];
  if (!Nodes[Replica].Up || Now < Nodes[Replica].PausedUntil ||
      Behind.IsPrimary || Behind.Primary.empty())
    return;
  const int Primary = indexOf(Behind.Primary);
  const Term From = Behind.FollowedTerm;
  if (Primary == Replica || !isDelivered(Replica, Primary))
    return;
  atNode(Primary, Now + delay() / 4, [this, Replica, Primary, From]() {
    const FakeMember &Source = Members[Primary];
    if (!Source.serves(From) || !isDelivered(Primary, Replica))
      return;
    const LogIndex After = Members[Replica].commonPrefix(Source.log());
    const bool Known = Members[Replica].ServedTerm == From;
    if (Known && After == Source.log().size())
      return;
    const std::vector<LogEntry> Entries(Source.log().begin() +
                                            static_cast<std::ptrdiff_t>(After),
                                        Source.log().end());
    atNode(Replica, Now + delay() / 4, [this, Replica, From, After, Entries]() {
      Members[Replica].replicate(From, After, Entries);
      statusChanged(Replica);
      const LogIndex Reached = After + Entries.size();
      atNode(Replica, Now + Settings.ApplyLag, [this, Replica, Reached]() {
        Members[Replica].apply(Reached);
        statusChanged(Replica);
      });
    });
  });
}

} // namespace borageridge::dispatch::testing
