#include "routing/ReadRouter.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace borageridge::routing {

namespace {

using group::GroupView;
using group::MemberIndex;
using group::MemberState;

// Longest time that a read waits for a lagging replica before it uses one of
// the scarce primary connections.
constexpr Duration MaxReplicaWait = std::chrono::milliseconds(150);
// The wait exceeds the estimated lag, to allow for replicas that are slower
// than usual.
constexpr int WaitLagNumerator = 3;
constexpr int WaitLagDenominator = 2;
constexpr Duration WaitSlack = std::chrono::milliseconds(5);
// Assumed latency of unmeasured members; low, so that they receive requests.
constexpr Duration UnmeasuredLatency = std::chrono::microseconds(100);
// A member in the own availability zone is preferred if its score is at most
// this many times the score of the other member.
constexpr int OwnZonePreference = 2;

// Expected time until the answer: requests in flight, including this one, times
// the latency of each.
Duration score(const MemberLoad &Load) {
  const Duration Latency =
      Load.Latency == Duration::zero() ? UnmeasuredLatency : Load.Latency;
  return Latency * (Load.InFlight + 1);
}

MemberIndex betterOf(const GroupView &View, std::span<const MemberLoad> Loads,
                     MemberIndex A, MemberIndex B, std::string_view OwnZone) {
  const Duration ScoreA = score(Loads[A]);
  const Duration ScoreB = score(Loads[B]);
  const bool OwnA = View.member(A).AvailabilityZone == OwnZone;
  const bool OwnB = View.member(B).AvailabilityZone == OwnZone;
  if (OwnA != OwnB) {
    if (OwnA && ScoreA <= ScoreB * OwnZonePreference)
      return A;
    if (OwnB && ScoreB <= ScoreA * OwnZonePreference)
      return B;
  }
  return ScoreA <= ScoreB ? A : B;
}

// Power of two choices: comparing two random candidates balances the load
// almost as well as comparing all, and does not send the reads of every proxy
// to the same member.
MemberIndex chooseReplica(const GroupView &View,
                          std::span<const MemberLoad> Loads,
                          std::span<const MemberIndex> Candidates,
                          std::string_view OwnZone, std::uint64_t Random) {
  const std::size_t Count = Candidates.size();
  if (Count == 1)
    return Candidates.front();
  const std::size_t First = Random % Count;
  const std::size_t Second =
      (First + 1 + (Random >> 32U) % (Count - 1)) % Count;
  return betterOf(View, Loads, Candidates[First], Candidates[Second], OwnZone);
}

std::optional<Duration> replicaWait(const GroupView &View,
                                    std::span<const MemberIndex> Replicas,
                                    Time Now) {
  std::optional<Duration> Shortest;
  for (const MemberIndex Member : Replicas) {
    const Duration Lag = View.member(Member).Lag.estimate(Now);
    if (!Shortest || Lag < *Shortest)
      Shortest = Lag;
  }
  if (!Shortest || *Shortest > MaxReplicaWait)
    return std::nullopt;
  const Duration Wait =
      *Shortest * WaitLagNumerator / WaitLagDenominator + WaitSlack;
  return std::min(Wait, MaxReplicaWait);
}

} // namespace

bool satisfies(const GroupView &View, MemberIndex Member, LogIndex Applied,
               const ReadRequirements &Requirements) {
  const MemberState &State = View.member(Member);
  if (State.servedTerm() < Requirements.Session.EntryTerm)
    return false;
  if (Applied < Requirements.Session.Index)
    return false;
  const std::optional<Time> AsOf = View.freshAsOf(Member, Applied);
  return AsOf && *AsOf >= Requirements.Arrival - Requirements.AcceptedAge;
}

Route chooseRoute(const GroupView &View, std::span<const MemberLoad> Loads,
                  const ReadRequirements &Requirements,
                  std::string_view OwnAvailabilityZone, std::uint64_t Random,
                  Time Now) {
  if (!Requirements.ReplicaAllowed ||
      Requirements.AcceptedAge == Duration::zero())
    return {};
  std::vector<MemberIndex> Replicas;
  std::vector<MemberIndex> Suitable;
  std::vector<MemberIndex> Idle;
  for (MemberIndex I = 0; I < Loads.size(); ++I) {
    if (!Loads[I].Usable || !View.isReplica(I))
      continue;
    Replicas.push_back(I);
    if (!satisfies(View, I, View.member(I).appliedIndex(), Requirements))
      continue;
    Suitable.push_back(I);
    if (Loads[I].HasIdleConnection)
      Idle.push_back(I);
  }
  if (!Idle.empty())
    return {RouteKind::Replica,
            chooseReplica(View, Loads, Idle, OwnAvailabilityZone, Random),
            {}};
  if (!Suitable.empty())
    return {RouteKind::WaitForConnection, group::NoMember, {}};
  const std::optional<Duration> Wait = replicaWait(View, Replicas, Now);
  if (Wait && Now < Requirements.Arrival + *Wait)
    return {RouteKind::WaitForReplica, group::NoMember,
            Requirements.Arrival + *Wait};
  return {};
}

bool ShareCounter::take(double Share) {
  Accumulated += Share;
  if (Accumulated < 1.0)
    return false;
  Accumulated -= 1.0;
  return true;
}

} // namespace borageridge::routing
