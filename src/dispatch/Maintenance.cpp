// Timers, and maintenance of connections, observations and failover.

#include "dispatch/GroupEngine.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(20);
// Shorter than the time after which a silent member is confirmed as failed, so
// that a single silent stream does not start a promotion.
constexpr Duration ObservationTimeout = std::chrono::milliseconds(400);
// A primary that refused the term of a request gets requests again after this
// time, in case the status or record that would clear the refusal was lost.
constexpr Duration RefusedTermRetryDelay = std::chrono::milliseconds(100);

constexpr Duration RecordRefreshInterval = std::chrono::milliseconds(200);

} // namespace

void GroupEngine::setTimer(Request &R, Time At) {
  Timers.erase({R.TimerAt, R.Id});
  R.TimerAt = At;
  Timers.emplace(At, R.Id);
}

void GroupEngine::fireTimers(Time Now, Actions &Out) {
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const RequestId Id = Timers.begin()->second;
    Timers.erase(Timers.begin());
    timerExpired(*Requests.at(Id), Now, Out);
  }
}

void GroupEngine::timerExpired(Request &R, Time Now, Actions &Out) {
  if (Now >= R.Deadline)
    return deadlineExpired(R, Now, Out);
  setTimer(R, R.Deadline);
  if (R.Stage == RequestStage::WaitingForReplica) {
    R.ReplicaWaitExpired = true;
    if (tryStartRead(R, Now, Out))
      return;
    ReplicaWaiters.erase(R.Id);
    return requeue(R, Now, Out);
  }
  if (R.Stage == RequestStage::Running) {
    // connectionLost() retries, settles or refuses the request.
    ++Counters.SilentConnections;
    connectionLost(R.Connection, Now, Out);
  }
}

void GroupEngine::deadlineExpired(Request &R, Time Now, Actions &Out) {
  const bool HasEffect = R.Type != RequestType::Read;
  if (R.Stage == RequestStage::Confirming && HasEffect) {
    R.MayHaveRun = true;
    return refuse(R, caller::REFUSAL_REASON_UNCONFIRMED,
                  "no majority confirmed the write in time", Now, Out);
  }
  if (R.Connection != 0) {
    // Closing the connection rolls a transaction back unless the commit was
    // sent.
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
  for (const ConnectionId Id : Pool.silentConnections(Now)) {
    ++Counters.SilentConnections;
    connectionLost(Id, Now, Out);
  }
  for (const ConnectionId Id : Pool.surplusConnections()) {
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
    while (Pool.canOpen(I, Now)) {
      const ConnectionId Id = NextConnection++;
      Pool.addOpening(Id, I, Now);
      // OpenConnection sends the hello message with sequence number 1.
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
    // An established stream can stay silent although a new one would work.
    const bool Silent =
        Runtime.Observing && Now - Runtime.LastStatusAt >= ObservationTimeout;
    if (Silent)
      ++Counters.SilentConnections;
    const bool Due = !Runtime.Observing && Now >= Runtime.NextObserveAt;
    if (!Moved && !Silent && !Due)
      continue;
    Runtime.LastStatusAt = Now;
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
    if (!View.member(I).InRecord || Now < Runtime.NextPingAt)
      continue;
    Runtime.NextPingAt = Now + Settings.PingInterval;
    Suspicion.pingSent(View.member(I).Name, Now);
    if (Runtime.Observing)
      ping(I, Now, Out);
  }
}

void GroupEngine::startChangeIfNeeded(Time Now) {
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
  startChangeIfNeeded(Now);
  for (failover::Action &Work : Promotion.tick(Now))
    Out.push_back(FailoverAction{std::move(Work)});
  for (failover::Action &Work : Promotion.reconcileMembers(Now))
    Out.push_back(FailoverAction{std::move(Work)});
}

// Reads the record if none is known or if a session has observed a newer term.
void GroupEngine::refreshRecord(Time Now, Actions &Out) {
  if (View.hasRecord() && NewestSessionTerm <= View.record().term())
    return;
  if (Now < NextRecordRefreshAt)
    return;
  const auto Jitter = static_cast<Duration::rep>(
      Random() % static_cast<std::uint64_t>(RecordRefreshInterval.count()));
  NextRecordRefreshAt = Now + RecordRefreshInterval + Duration(Jitter);
  Out.push_back(FailoverAction{failover::ReadRecord{}});
}

void GroupEngine::tick(Time Now, Actions &Out) {
  fireTimers(Now, Out);
  if (!Confirming.empty())
    checkConfirmations(Now, Out);
  if (Now < NextMaintenanceAt)
    return;
  NextMaintenanceAt = Now + MaintenanceInterval;
  maintainObservations(Now, Out);
  maintainConnections(Now, Out);
  sendPings(Now, Out);
  runFailover(Now, Out);
  adoptRecord(Now, Out);
  refreshRecord(Now, Out);
  if (RefusedTerm != 0 && Now - RefusedAt >= RefusedTermRetryDelay)
    RefusedTerm = 0;
  checkConfirmations(Now, Out);
  dispatchQueued(Now, Out);
}

} // namespace borageridge::dispatch
