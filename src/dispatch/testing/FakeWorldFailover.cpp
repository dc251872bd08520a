#include "dispatch/testing/FakeWorld.h"

// The store, the members' part in a change of primary, and replication.

namespace borageridge::dispatch::testing {
namespace {

constexpr Duration WatchInterval = std::chrono::seconds(1);
constexpr Duration PullInterval = std::chrono::milliseconds(10);

} // namespace

void FakeWorld::runFailover(int Proxy, failover::ReadRecord &) {
  const int Node = FirstProxy + Proxy;
  send(Node, StoreNode, [this, Proxy, Node]() {
    send(StoreNode, Node, [this, Proxy, Known = Stored]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.recordRead(Known, Now, Out);
      });
    });
  });
}

void FakeWorld::runFailover(int Proxy, failover::SwapRecord &Work) {
  const record::Phase Phase = Work.Record.phase();
  reached(Phase == record::PHASE_SEALING     ? WorldStep::SealingSwapped
          : Phase == record::PHASE_PROMOTING ? WorldStep::PromotingSwapped
                                             : WorldStep::ActiveSwapped,
          Proxy, indexOf(Work.Record.primary()));
  const int Node = FirstProxy + Proxy;
  send(Node, StoreNode, [this, Proxy, Node, Work]() {
    Expected<std::int64_t> Result = Stored.Revision + 1;
    if (Work.ExpectedRevision == Stored.Revision) {
      Stored = {Work.Record, Stored.Revision + 1};
      notifyWatchers();
    } else
      Result = Failure{FailureKind::Conflict, ""};
    if (chance(StoreLostPercent))
      return;
    send(StoreNode, Node, [this, Proxy, Work, Result]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.recordSwapped(Work, Result, Now, Out);
      });
    });
  });
}

// Stands for the store's watches, which re-read after an outage.
void FakeWorld::notifyWatchers() {
  if (!Nodes[StoreNode].Up || Now < Nodes[StoreNode].PausedUntil)
    return;
  for (int P = 0; P < ProxyCount; ++P)
    send(StoreNode, FirstProxy + P, [this, P, Known = Stored]() {
      post(P, [&](GroupEngine &G, Actions &Out) {
        G.recordKnown(Known, Now, Out);
      });
    });
}

void FakeWorld::watchAgain() {
  after(WatchInterval, [this]() { watchAgain(); });
  notifyWatchers();
}

void FakeWorld::runFailover(int Proxy, failover::SealMember &Work) {
  reached(WorldStep::SealSent, Proxy, indexOf(Work.Member));
  const int Node = FirstProxy + Proxy;
  const int Member = indexOf(Work.Member);
  const Term SealedFor = Work.Request.term();
  const auto Finish = [this, Proxy, Name = Work.Member,
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

void FakeWorld::runFailover(int Proxy, failover::PromoteMember &Work) {
  reached(WorldStep::PromoteSent, Proxy, indexOf(Work.Member));
  const int Node = FirstProxy + Proxy;
  const int Member = indexOf(Work.Member);
  send(Node, Member, [this, Proxy, Node, Member, Work]() {
    const endpoint::PromoteReply Reply = Members[Member].promote(
        Work.Request.term(),
        {Work.Request.start().term(), Work.Request.start().index()});
    statusChanged(Member);
    send(Member, Node, [this, Proxy, Work, Reply]() {
      post(Proxy, [&](GroupEngine &G, Actions &Out) {
        G.memberPromoted(Work.Member, Work.Request.term(), Reply, Now, Out);
      });
    });
  });
}

void FakeWorld::runFailover(int Proxy, failover::FollowMember &Work) {
  reached(WorldStep::FollowSent, Proxy, indexOf(Work.Member));
  const int Member = indexOf(Work.Member);
  send(FirstProxy + Proxy, Member, [this, Member, Work]() {
    Members[Member].follow(Work.Request.term(), Work.Request.primary_address());
    statusChanged(Member);
  });
}

// Replication: each replica asks its primary for what it lacks.
void FakeWorld::pull(int Replica) {
  after(PullInterval / 5, [this, Replica]() { pull(Replica); });
  const FakeMember &Behind = Members[Replica];
  if (!Nodes[Replica].Up || Now < Nodes[Replica].PausedUntil ||
      Behind.IsPrimary || Behind.Primary.empty())
    return;
  const int Primary = indexOf(Behind.Primary);
  const Term From = Behind.FollowedTerm;
  if (Primary == Replica || !passes(Replica, Primary))
    return;
  atNode(Primary, Now + delay() / 4, [this, Replica, Primary, From]() {
    const FakeMember &Source = Members[Primary];
    if (!Source.serves(From) || !passes(Primary, Replica))
      return;
    const LogIndex After = Members[Replica].commonPrefix(Source.log());
    const bool Known = Members[Replica].Served == From;
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
