// Timers, connections, observations and the failover slice.

#include "dispatch/GroupEngine.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(20);
// Below the confirmed level of suspicion, so that a silent path alone does not
// start a promotion.
constexpr Duration ObservationTimeout = std::chrono::milliseconds(400);
// After this time a primary that refused its term is asked again, in case the
// news about it was lost.
constexpr Duration RefusedTermRetry = std::chrono::milliseconds(100);

constexpr Duration RefreshInterval = std::chrono::milliseconds(200);

} // namespace

void GroupEngine::wakeAt(Request &R, Time At) {
  Timers.erase({R.WakeAt, R.Id});
  R.WakeAt = At;
  Timers.emplace(At, R.Id);
}

void GroupEngine::fireTimers(Time Now, Actions &Out) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    requestDue(*Requests.at(Id), Now, Out);
  }
}

void GroupEngine::requestDue(Request &R, Time Now, Actions &Out) {
  if (Now >= R.Deadline)
    return deadlinePassed(R, Now, Out);
  wakeAt(R, R.Deadline);
  if (R.At == Stage::Parked) {
    R.ReplicaWaitOver = true;
    if (placeRead(R, Now, Out))
      return;
    Parked.erase(R.Id);
    return requeue(R, Now, Out);
  }
  if (R.At == Stage::Running) {
    // The connection made no progress; a new one may.
    ++Counters.SilentConnections;
    connectionLost(R.Connection, Now, Out);
  }
}

void GroupEngine::deadlinePassed(Request &R, Time Now, Actions &Out) {
  const bool HasEffect = R.Type != RequestType::Read;
  if (R.At == Stage::Confirming && HasEffect) {
    R.MayHaveRun = true;
    return refuse(R, caller::REFUSAL_REASON_UNCONFIRMED,
                  "no majority confirmed the write in time", Now, Out);
  }
  if (R.Connection != 0) {
    // A transaction is rolled back with its connection unless commit was sent.
    if (HasEffect && R.Type == RequestType::Write)
      R.MayHaveRun = true;
    discardConnection(R, Now, Out);
  }
  const bool NoPrimary = HasEffect && View.activeTerm() == 0;
  refuse(R,
         NoPrimary ? caller::REFUSAL_REASON_NO_PRIMARY
                   : caller::REFUSAL_REASON_DEADLINE,
         "the deadline passed", Now, Out);
}

void GroupEngine::maintainConnections(Time Now, Actions &Out) {
  for (const ConnectionId Id : Pool.silent(Now)) {
    ++Counters.SilentConnections;
    connectionLost(Id, Now, Out);
  }
  for (const ConnectionId Id : Pool.surplus()) {
    Pool.remove(Id, false, Now);
    Out.push_back(CloseConnection{Id});
  }
  for (const ConnectionId Id : Pool.startProbes(Now)) {
    endpoint::ConnectionRequest Probe;
    Probe.set_sequence(Pool.nextSequence(Id));
    Probe.set_hello(true);
    Out.push_back(SendOnConnection{Id, std::move(Probe)});
  }
  for (MemberIndex I = 0; I < View.members().size(); ++I) {
    const group::MemberState &State = View.member(I);
    if (!State.InRecord || isSuspected(I, Now))
      continue;
    while (Pool.mayOpen(I, Now)) {
      const ConnectionId Id = NextConnection++;
      Pool.opening(Id, I, Now);
      // The runtime sends hello with sequence 1.
      Pool.nextSequence(Id);
      Out.push_back(OpenConnection{Id, I});
    }
  }
}

void GroupEngine::maintainObservations(Time Now, Actions &Out) {
  MemberRuntimes.resize(View.members().size());
  for (MemberIndex I = 0; I < View.members().size(); ++I) {
    MemberRuntime &Runtime = MemberRuntimes[I];
    const group::MemberState &State = View.member(I);
    if (!State.InRecord)
      continue;
    const bool Moved = Runtime.ObservedAddress != State.Address;
    // The path of an observation can go silent for good while new ones work.
    const bool Silent =
        Runtime.Observing && Now - Runtime.LastHeard >= ObservationTimeout;
    if (Silent)
      ++Counters.SilentConnections;
    const bool Due = !Runtime.Observing && Now >= Runtime.ObserveAgainAt;
    if (!Moved && !Silent && !Due)
      continue;
    Runtime.LastHeard = Now;
    Runtime.ObservedAddress = State.Address;
    Runtime.Observing = true;
    View.observationLost(I);
    Out.push_back(ObserveMember{I, State.Name, State.Address});
  }
}

void GroupEngine::ping(MemberIndex Member, Time Now, Actions &Out) {
  const std::uint64_t Sequence = ++NextPingSequence;
  View.pingSent(Member, Sequence, Now);
  Out.push_back(SendPing{Member, Sequence});
}

void GroupEngine::sendPings(Time Now, Actions &Out) {
  for (MemberIndex I = 0; I < View.members().size(); ++I) {
    MemberRuntime &Runtime = MemberRuntimes[I];
    if (!View.member(I).InRecord || Now < Runtime.NextPing)
      continue;
    Runtime.NextPing = Now + Settings.PingInterval;
    Suspicion.pingSent(View.member(I).Name, Now);
    if (Runtime.Observing)
      ping(I, Now, Out);
  }
}

void GroupEngine::considerChange(Time Now) {
  const MemberIndex Primary = View.primary();
  if (Primary == group::NoMember)
    return;
  const group::MemberState &State = View.member(Primary);
  if (Suspicion.isConfirmed(State.Name, Witnesses, Now)) {
    Promotion.start(failover::ChangeReason::Unplanned, "", Now);
    return;
  }
  if (State.leaving() && Rank == 0)
    Promotion.start(failover::ChangeReason::Planned, "", Now);
}

void GroupEngine::runFailover(Time Now, Actions &Out) {
  considerChange(Now);
  for (failover::Action &Work : Promotion.tick(Now))
    Out.push_back(Failover{std::move(Work)});
  for (failover::Action &Work : Promotion.reconcileMembers(Now))
    Out.push_back(Failover{std::move(Work)});
}

// A record is read when none is known, and when a session shows that a newer
// term exists.
void GroupEngine::refreshRecord(Time Now, Actions &Out) {
  if (View.hasRecord() && WantedTerm <= View.record().term())
    return;
  if (Now < NextRefresh)
    return;
  const auto Jitter = static_cast<Duration::rep>(
      Random() % static_cast<std::uint64_t>(RefreshInterval.count()));
  NextRefresh = Now + RefreshInterval + Duration(Jitter);
  Out.push_back(Failover{failover::ReadRecord{}});
}

void GroupEngine::tick(Time Now, Actions &Out) {
  fireTimers(Now, Out);
  if (!Confirming.empty())
    checkConfirmations(Now, Out);
  if (Now < NextMaintenance)
    return;
  NextMaintenance = Now + MaintenanceInterval;
  maintainObservations(Now, Out);
  maintainConnections(Now, Out);
  sendPings(Now, Out);
  runFailover(Now, Out);
  adoptRecord(Now, Out);
  refreshRecord(Now, Out);
  if (RefusedTerm != 0 && Now - RefusedAt >= RefusedTermRetry)
    RefusedTerm = 0;
  checkConfirmations(Now, Out);
  pump(Now, Out);
}

} // namespace borageridge::dispatch
