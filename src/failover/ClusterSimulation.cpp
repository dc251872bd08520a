#include "failover/ClusterSimulation.h"

#include <algorithm>

namespace borageridge::failover::testing {
namespace {

using Milliseconds = std::chrono::milliseconds;
constexpr Duration FaultTime = Milliseconds(3000);
constexpr Duration RecoveryTime = Milliseconds(10000);
constexpr Duration PingInterval = Milliseconds(50);
constexpr Duration WriteInterval = Milliseconds(40);
constexpr Duration PullInterval = Milliseconds(15);
constexpr Duration StorePoll = Milliseconds(250);

/// Shorter than the defaults, so that a run contains many changes.
PromotionSettings shortSettings() {
  PromotionSettings Settings;
  Settings.RankDelay = Milliseconds(50);
  Settings.TakeoverDelay = Milliseconds(150);
  Settings.StoreTimeout = Milliseconds(200);
  Settings.MaxRetryDelay = Milliseconds(200);
  Settings.PromoteTimeout = Milliseconds(300);
  Settings.AvoidedMemberTimeout = Milliseconds(100);
  Settings.CatchUpTimeout = Milliseconds(50);
  Settings.CandidateLagTimeout = Milliseconds(500);
  Settings.MinChangeInterval = Milliseconds(200);
  Settings.MaxChangeInterval = Milliseconds(1000);
  return Settings;
}

Position toPosition(const endpoint::Position &P) {
  return {P.term(), P.index()};
}

} // namespace

ClusterSimulation::ClusterSimulation(std::uint64_t Seed,
                                     const InjectedFaults &Injected)
    : Random(Seed), Faults(Injected) {
  constexpr std::array<unsigned, 3> LossChoices{0, 2, 10};
  constexpr std::array<unsigned, 3> AnswerChoices{0, 5, 20};
  LossPercent = LossChoices[randomBelow(LossChoices.size())];
  LostAnswerPercent = AnswerChoices[randomBelow(AnswerChoices.size())];
  record::GroupRecord Record;
  Record.set_database("ledger-1");
  Record.set_term(1);
  Record.set_phase(record::PHASE_ACTIVE);
  Record.set_primary("m0");
  Record.set_version(1);
  Record.add_history()->set_term(1);
  for (int I = 0; I < MemberCount; ++I) {
    const std::string Name = "m" + std::to_string(I);
    Members.emplace_back(Name, Faults);
    Members.back().IsPrimary = I == 0;
    Members.back().Primary = "m0";
    record::Member &Member = *Record.add_members();
    Member.set_name(Name);
    Member.set_address(Name);
  }
  Stored = {Record, 1};
  PrimaryTerms[1] = {0, {}};
}

RunResult ClusterSimulation::run() {
  for (int I = 0; I < ProxyCount; ++I) {
    startProxy(I);
    scheduleEvery(PingInterval, [this, I] { pingMembers(I); });
    scheduleEvery(WriteInterval, [this, I] { writeFrom(I); });
    scheduleEvery(StorePoll, [this, I] { performRead(I); });
  }
  for (int I = 0; I < MemberCount; ++I)
    scheduleEvery(PullInterval, [this, I] { pullLog(I); });
  schedule(Milliseconds(50), [this] { injectFault(); });
  schedule(FaultTime, [this] { stopFaults(); });
  const Time End = Time(FaultTime + RecoveryTime);
  bool Recovered = false;
  while (!Events.empty() && Now < End && Violation.empty() && !Recovered) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
    Recovered = !FaultsActive && hasRecovered();
  }
  return {Violation, Recovered, PrimaryTerms.size(), Confirmed.size()};
}

Duration ClusterSimulation::randomDelay(std::uint64_t Least,
                                        std::uint64_t Most) {
  return Milliseconds(Least + randomBelow(Most - Least + 1));
}

void ClusterSimulation::schedule(Duration Delay, Step Run) {
  Events.push({Now + Delay, ++Sequence, std::move(Run)});
}

void ClusterSimulation::scheduleEvery(Duration Period, const Step &Run) {
  schedule(Period, [this, Period, Run] {
    Run();
    scheduleEvery(Period, Run);
  });
}

void ClusterSimulation::send(int From, int To, Step Deliver) {
  const bool IsPartitioned =
      Nodes[From].InSecondPartition != Nodes[To].InSecondPartition;
  if (IsPartitioned || chance(LossPercent))
    return;
  // Some messages are very late, like those of a paused sender or a long queue.
  const bool IsLate = FaultsActive && chance(2);
  const Duration Delay = IsLate ? randomDelay(50, 800) : randomDelay(1, 8);
  const unsigned Run = Nodes[To].Run;
  schedule(Delay, [this, To, Run, Deliver = std::move(Deliver)] {
    deliver(To, Run, Deliver);
  });
}

void ClusterSimulation::deliver(int To, unsigned Run, Step Deliver) {
  if (!isUp(To) || Nodes[To].Run != Run)
    return;
  if (!isPaused(To)) {
    Deliver();
    return;
  }
  schedule(Nodes[To].PausedUntil - Now,
           [this, To, Run, Deliver] { deliver(To, Run, Deliver); });
}

int ClusterSimulation::memberIndex(std::string_view Member) const {
  return Member.back() - '0';
}

void ClusterSimulation::startProxy(int Index) {
  Proxy &P = Proxies[Index];
  const auto NextAttempt = [this, Index] {
    return "p" + std::to_string(Index) + "-" +
           std::to_string(++Proxies[Index].Attempts);
  };
  P.Coordinator = std::make_unique<Promotion>(shortSettings(), NextAttempt);
  P.Coordinator->rankChanged(static_cast<unsigned>(Index));
  P.Statuses.clear();
  P.Writes.clear();
  P.NextTick = {};
  performRead(Index);
}

void ClusterSimulation::restartProxy(int Index) {
  Node &N = Nodes[MemberCount + Index];
  ++N.Run;
  N.DownUntil = Now + randomDelay(50, 500);
  schedule(N.DownUntil - Now, [this, Index] { startProxy(Index); });
}

void ClusterSimulation::runAtProxy(
    int Index, const std::function<void(Promotion &)> &Input) {
  Promotion &Coordinator = *Proxies[Index].Coordinator;
  Input(Coordinator);
  for (const Action &Command : Coordinator.tick(Now))
    perform(Index, Command);
  scheduleTick(Index);
}

void ClusterSimulation::scheduleTick(int Index) {
  const std::optional<Time> Next = Proxies[Index].Coordinator->nextWake();
  if (!Next)
    return;
  const Time At = std::max(*Next, Now + Milliseconds(1));
  if (Proxies[Index].NextTick == At)
    return;
  Proxies[Index].NextTick = At;
  const unsigned Run = Nodes[MemberCount + Index].Run;
  schedule(At - Now, [this, Index, Run, At] {
    if (Proxies[Index].NextTick != At)
      return;
    deliver(MemberCount + Index, Run, [this, Index] {
      Proxies[Index].NextTick = {};
      runAtProxy(Index, [](Promotion &) {});
    });
  });
}

void ClusterSimulation::perform(int Index, const Action &Command) {
  if (std::holds_alternative<ReadRecord>(Command))
    performRead(Index);
  else if (const auto *Swap = std::get_if<SwapRecord>(&Command))
    performSwap(Index, *Swap);
  else if (const auto *Seal = std::get_if<SealMember>(&Command))
    performSeal(Index, *Seal);
  else if (const auto *Promote = std::get_if<PromoteMember>(&Command))
    performPromote(Index, *Promote);
  else
    performFollow(Index, std::get<FollowMember>(Command));
}

void ClusterSimulation::performRead(int Index) {
  const int Self = MemberCount + Index;
  if (!isUp(Self) || isPaused(Self))
    return;
  send(Self, StoreNode, [this, Index, Self] {
    if (chance(LostAnswerPercent))
      return;
    send(StoreNode, Self, [this, Index, Read = Stored] {
      runAtProxy(Index, [&](Promotion &P) { P.readFinished(Read, Now); });
    });
  });
}

void ClusterSimulation::performSwap(int Index, SwapRecord Command) {
  const int Self = MemberCount + Index;
  const bool IsSubstituted = substituteShortestCandidate(Command.Record);
  send(Self, StoreNode, [this, Index, Self, Command, IsSubstituted] {
    const bool Matches = Stored.Revision == Command.ExpectedRevision;
    if (Matches)
      storeRecord(Command.Record);
    // No answer is sent for a substituted record, so that the Promotion reads
    // it back.
    if (IsSubstituted || chance(LostAnswerPercent))
      return;
    const std::int64_t Revision = Stored.Revision;
    send(StoreNode, Self, [this, Index, Command, Matches, Revision] {
      Expected<std::int64_t> Result = Failure{FailureKind::Conflict, ""};
      if (Matches)
        Result = Revision;
      runAtProxy(Index, [&](Promotion &P) {
        P.swapFinished(Command.Record.attempt(), Result, Now);
      });
    });
  });
}

void ClusterSimulation::performSeal(int Index, const SealMember &Command) {
  const int Self = MemberCount + Index;
  const int To = memberIndex(Command.Member);
  const Term ForTerm = Command.Request.term();
  send(Self, To, [this, Index, Self, To, ForTerm] {
    const endpoint::SealReply Reply = Members[To].seal(ForTerm);
    if (ForTerm > SealedFor)
      SealedAt.clear();
    SealedFor = std::max(SealedFor, ForTerm);
    if (ForTerm == SealedFor && Reply.accepted())
      SealedAt[Members[To].Name] = toPosition(Reply.received());
    send(To, Self, [this, Index, To, ForTerm, Reply] {
      runAtProxy(Index, [&](Promotion &P) {
        P.sealFinished(Members[To].Name, ForTerm, Reply, Now);
      });
    });
  });
}

void ClusterSimulation::performPromote(int Index,
                                       const PromoteMember &Command) {
  const int Self = MemberCount + Index;
  const int To = memberIndex(Command.Member);
  send(Self, To, [this, Index, Self, To, Request = Command.Request] {
    bool BecamePrimary = false;
    const endpoint::PromoteReply Reply = Members[To].promote(
        Request.term(), toPosition(Request.start()), BecamePrimary);
    if (BecamePrimary)
      checkPromotion(To, Request.term());
    send(To, Self, [this, Index, To, Request, Reply] {
      runAtProxy(Index, [&](Promotion &P) {
        P.promoteFinished(Members[To].Name, Request.term(), Reply, Now);
      });
    });
  });
}

void ClusterSimulation::performFollow(int Index, const FollowMember &Command) {
  const int To = memberIndex(Command.Member);
  send(MemberCount + Index, To, [this, To, Request = Command.Request] {
    Members[To].follow(Request.term(), Request.primary_address(),
                       toPosition(Request.start()));
  });
}

bool ClusterSimulation::substituteShortestCandidate(
    record::GroupRecord &Next) const {
  if (!Faults.ShortestCandidate || Next.phase() != record::PHASE_PROMOTING ||
      Next.term() != SealedFor)
    return false;
  const auto Shortest = std::ranges::min_element(
      SealedAt, {}, [](const auto &Entry) { return Entry.second; });
  Next.set_primary(Shortest->first);
  record::TermStart &Start = *Next.mutable_history()->rbegin();
  Start.set_start_entry_term(Shortest->second.EntryTerm);
  Start.set_start_index(Shortest->second.Index);
  return true;
}

void ClusterSimulation::storeRecord(const record::GroupRecord &Next) {
  Stored = {Next, Stored.Revision + 1};
  if (Next.phase() == record::PHASE_PROMOTING) {
    const auto [Entry, IsNew] =
        Candidates.try_emplace(Next.term(), Next.primary());
    if (!IsNew && Entry->second != Next.primary())
      reportViolation("second candidate in term " +
                      std::to_string(Next.term()));
  }
  for (int I = 0; I < ProxyCount; ++I)
    send(StoreNode, MemberCount + I, [this, I, Changed = Stored] {
      runAtProxy(I, [&](Promotion &P) { P.recordChanged(Changed, Now); });
    });
}

void ClusterSimulation::pingMembers(int Index) {
  const int Self = MemberCount + Index;
  if (!isUp(Self) || isPaused(Self))
    return;
  for (int To = 0; To < MemberCount; ++To)
    send(Self, To, [this, Index, Self, To] {
      send(To, Self, [this, Index, To, Status = Members[To].status()] {
        Proxies[Index].Statuses[To] = Status;
        confirmWrites(Index);
        runAtProxy(Index, [&](Promotion &P) {
          P.statusReceived(Members[To].Name, Status, Now);
          for (const Action &Command : P.reconcileMembers(Now))
            perform(Index, Command);
        });
      });
    });
}

void ClusterSimulation::writeFrom(int Index) {
  const int Self = MemberCount + Index;
  const std::optional<KnownRecord> &Known =
      Proxies[Index].Coordinator->record();
  const bool IsServing = isUp(Self) && !isPaused(Self) && Known &&
                         Known->Record.phase() == record::PHASE_ACTIVE;
  if (!IsServing)
    return;
  const Term ForTerm = Known->Record.term();
  const int To = memberIndex(Known->Record.primary());
  send(Self, To, [this, Index, Self, To, ForTerm, Id = ++LastId] {
    const std::optional<Position> At = Members[To].write(ForTerm, Id);
    if (!At)
      return;
    send(To, Self, [this, Index, To, ForTerm, Id, At] {
      Proxies[Index].Writes[Id] = {ForTerm, At->Index, To};
      confirmWrites(Index);
    });
  });
}

void ClusterSimulation::pullLog(int Index) {
  const SimulatedMember &Replica = Members[Index];
  if (Replica.IsPrimary || !isUp(Index) || isPaused(Index))
    return;
  const Term ForTerm = Replica.ServedTerm;
  const int From = memberIndex(Replica.Primary);
  send(Index, From, [this, Index, From, ForTerm, Last = Replica.last()] {
    bool Diverged = false;
    const auto Entries = Members[From].entriesAfter(ForTerm, Last, Diverged);
    if (!Entries)
      return;
    send(From, Index,
         [this, Index, ForTerm, Last, Entries = *Entries, Diverged] {
           Members[Index].replicate(ForTerm, Last, Entries, Diverged);
         });
  });
}

void ClusterSimulation::confirmWrites(int Index) {
  Proxy &P = Proxies[Index];
  std::erase_if(P.Writes, [&](const auto &Entry) {
    if (!isConfirmed(P, Entry.second))
      return false;
    checkConfirmation(Entry.first, Entry.second.WrittenTerm);
    return true;
  });
}

bool ClusterSimulation::isConfirmed(const Proxy &P,
                                    const PendingWrite &Write) const {
  if (Faults.ConfirmAtPrimaryAlone)
    return true;
  int Holders = 1;
  for (const auto &[Member, Status] : P.Statuses) {
    const bool TermMatches = Status.term() == Write.WrittenTerm &&
                             Status.sealed_term() <= Write.WrittenTerm &&
                             Status.received().term() == Write.WrittenTerm;
    if (Member != Write.Primary && Status.received().index() >= Write.Index &&
        (TermMatches || Faults.ConfirmWithoutTermCheck))
      ++Holders;
  }
  return Holders > MemberCount / 2;
}

void ClusterSimulation::injectFault() {
  if (!FaultsActive)
    return;
  Node &Target = Nodes[randomBelow(NodeCount)];
  const Duration Long = randomDelay(50, 900);
  switch (randomBelow(8)) {
  case 0:
    Target.PausedUntil = Now + Long;
    break;
  case 1:
    Nodes[randomBelow(MemberCount)].DownUntil = Now + Long;
    break;
  case 2:
    for (Node &N : Nodes)
      N.InSecondPartition = chance(50);
    schedule(Long, [this] {
      for (Node &N : Nodes)
        N.InSecondPartition = false;
    });
    break;
  case 3:
    Nodes[StoreNode].DownUntil = Now + Long;
    break;
  default:
    injectProxyFault();
  }
  schedule(randomDelay(20, 300), [this] { injectFault(); });
}

void ClusterSimulation::injectProxyFault() {
  const int Index = static_cast<int>(randomBelow(ProxyCount));
  if (!isUp(MemberCount + Index))
    return;
  if (chance(20)) {
    restartProxy(Index);
    return;
  }
  if (isPaused(MemberCount + Index))
    return;
  const bool IsPlanned = chance(30);
  runAtProxy(Index, [&](Promotion &P) {
    P.start(IsPlanned ? ChangeReason::Planned : ChangeReason::Unplanned, "",
            Now);
  });
}

void ClusterSimulation::stopFaults() {
  FaultsActive = false;
  LossPercent = 0;
  LostAnswerPercent = 0;
  FirstIdAfterFaults = LastId + 1;
  for (Node &N : Nodes) {
    N.PausedUntil = std::min(N.PausedUntil, Now);
    N.InSecondPartition = false;
  }
}

bool ClusterSimulation::hasRecovered() const {
  const record::GroupRecord &Record = Stored.Record;
  const SimulatedMember &Primary = Members[memberIndex(Record.primary())];
  const bool AllServe =
      std::ranges::all_of(Members, [&](const SimulatedMember &M) {
        return M.ServedTerm == Record.term();
      });
  return Record.phase() == record::PHASE_ACTIVE && AllServe &&
         Primary.IsPrimary && !Confirmed.empty() &&
         Confirmed.rbegin()->first >= FirstIdAfterFaults &&
         Confirmed.rbegin()->second == Record.term();
}

void ClusterSimulation::checkPromotion(int Member, Term Promoted) {
  PrimaryTerm New{Member, {}};
  for (const Entry &E : Members[Member].log())
    New.HeldWrites.insert(E.Id);
  const auto [Entry, IsNew] = PrimaryTerms.try_emplace(Promoted, New);
  if (!IsNew)
    reportViolation("two primaries of term " + std::to_string(Promoted));
  for (const auto &[Id, WrittenTerm] : Confirmed)
    if (WrittenTerm < Promoted && !New.HeldWrites.contains(Id))
      reportViolation("term " + std::to_string(Promoted) + " lost write " +
                      std::to_string(Id) + " of term " +
                      std::to_string(WrittenTerm));
}

void ClusterSimulation::checkConfirmation(std::uint64_t Id, Term WrittenTerm) {
  Confirmed.emplace(Id, WrittenTerm);
  for (const auto &[Later, Serving] : PrimaryTerms)
    if (Later > WrittenTerm && !Serving.HeldWrites.contains(Id))
      reportViolation("write " + std::to_string(Id) + " of term " +
                      std::to_string(WrittenTerm) + " confirmed after term " +
                      std::to_string(Later) + " began without it");
}

void ClusterSimulation::reportViolation(const std::string &What) {
  if (Violation.empty())
    Violation = What;
}

} // namespace borageridge::failover::testing
