#ifndef BORAGERIDGE_FAILOVER_CLUSTERSIMULATION_H
#define BORAGERIDGE_FAILOVER_CLUSTERSIMULATION_H

#include "failover/Promotion.h"
#include "failover/SimulatedMember.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace borageridge::failover::testing {

struct RunResult {
  /// Empty if no invariant was violated.
  std::string Violation;
  /// Whether the group confirmed writes again after the faults had stopped.
  bool Recovered = false;
  std::size_t Terms = 0;
  std::size_t Confirmed = 0;
};

/// Simulation in virtual time of three members, three proxies with a Promotion
/// each, and a store. A seed determines the schedule: pauses, crashes,
/// partitions, lost and late messages, store outages and competing changes
/// during three seconds, and no faults after them.
class ClusterSimulation {
public:
  ClusterSimulation(std::uint64_t Seed, const InjectedFaults &Injected);
  RunResult run();

private:
  static constexpr int MemberCount = 3;
  static constexpr int ProxyCount = 3;
  static constexpr int NodeCount = MemberCount + ProxyCount + 1;
  static constexpr int StoreNode = NodeCount - 1;
  using Step = std::function<void()>;

  struct Node {
    Time DownUntil;
    Time PausedUntil;
    /// Number of restarts; a message to an earlier run is dropped.
    unsigned Run = 0;
    bool InSecondPartition = false;
  };
  struct PendingWrite {
    Term WrittenTerm = 0;
    LogIndex Index = 0;
    int Primary = 0;
  };
  struct Proxy {
    std::unique_ptr<Promotion> Coordinator;
    std::map<int, endpoint::MemberStatus> Statuses;
    std::map<std::uint64_t, PendingWrite> Writes;
    Time NextTick;
    unsigned Attempts = 0;
  };
  struct Event {
    Time At;
    std::uint64_t Sequence = 0;
    Step Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Sequence) < std::tie(At, Sequence);
    }
  };

  std::uint64_t randomBelow(std::uint64_t Bound) { return Random() % Bound; }
  bool chance(unsigned Percent) { return randomBelow(100) < Percent; }
  Duration randomDelay(std::uint64_t Least, std::uint64_t Most);
  void schedule(Duration Delay, Step Run);
  void scheduleEvery(Duration Period, const Step &Run);
  void send(int From, int To, Step Deliver);
  void deliver(int To, unsigned Run, Step Deliver);
  bool isUp(int Index) const { return Now >= Nodes[Index].DownUntil; }
  bool isPaused(int Index) const { return Now < Nodes[Index].PausedUntil; }

  int memberIndex(std::string_view Member) const;
  void startProxy(int Index);
  void restartProxy(int Index);
  /// Applies Input at a proxy and performs the resulting actions.
  void runAtProxy(int Index, const std::function<void(Promotion &)> &Input);
  void scheduleTick(int Index);
  void perform(int Index, const Action &Command);
  void performRead(int Index);
  void performSwap(int Index, SwapRecord Command);
  void performSeal(int Index, const SealMember &Command);
  void performPromote(int Index, const PromoteMember &Command);
  void performFollow(int Index, const FollowMember &Command);
  /// Returns whether it changed the record.
  bool substituteShortestCandidate(record::GroupRecord &Next) const;
  void storeRecord(const record::GroupRecord &Next);

  void pingMembers(int Index);
  void writeFrom(int Index);
  void pullLog(int Index);
  void confirmWrites(int Index);
  bool isConfirmed(const Proxy &P, const PendingWrite &Write) const;
  void injectFault();
  void injectProxyFault();
  void stopFaults();
  bool hasRecovered() const;

  void checkPromotion(int Member, Term Promoted);
  void checkConfirmation(std::uint64_t Id, Term WrittenTerm);
  void reportViolation(const std::string &What);

  std::mt19937_64 Random;
  InjectedFaults Faults;
  unsigned LossPercent = 0;
  unsigned LostAnswerPercent = 0;
  Time Now;
  std::uint64_t Sequence = 0;
  std::priority_queue<Event> Events;
  std::array<Node, NodeCount> Nodes;
  std::vector<SimulatedMember> Members;
  std::array<Proxy, ProxyCount> Proxies;
  KnownRecord Stored;
  bool FaultsActive = true;

  std::uint64_t LastId = 0;
  std::uint64_t FirstIdAfterFaults = 0;
  std::map<std::uint64_t, Term> Confirmed;
  struct PrimaryTerm {
    int Member = 0;
    std::set<std::uint64_t> HeldWrites;
  };
  std::map<Term, PrimaryTerm> PrimaryTerms;
  std::map<Term, std::string> Candidates;
  std::map<std::string, Position, std::less<>> SealedAt;
  Term SealedFor = 0;
  std::string Violation;
};

} // namespace borageridge::failover::testing

#endif // BORAGERIDGE_FAILOVER_CLUSTERSIMULATION_H
