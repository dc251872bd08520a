#include "group/GroupView.h"

#include <algorithm>

namespace borageridge::group {

namespace {

// Answers to older pings are ignored.
constexpr std::size_t MaxPingsInFlight = 64;
// The samples of the previous term are kept for reads on replicas that have not
// yet joined the latest term.
constexpr std::size_t MaxSampledTerms = 2;

} // namespace

bool MemberState::leaving() const {
  return ListedAsLeaving || (Status && Status->leaving());
}

Term MemberState::servedTerm() const { return Status ? Status->term() : 0; }

LogIndex MemberState::appliedIndex() const {
  return Status ? Status->applied().index() : 0;
}

GroupView::GroupView(std::string DatabaseName)
    : Database(std::move(DatabaseName)) {}

bool GroupView::applyRecord(const record::GroupRecord &Newer,
                            std::int64_t NewRevision) {
  // A record from a peer has no store revision. The store's copy of the same
  // version supplies it.
  if (Newer.version() == Record.version() && NewRevision > Revision)
    Revision = NewRevision;
  if (Newer.version() <= Record.version())
    return false;
  const bool TermChanged = Newer.term() != Record.term();
  Record = Newer;
  Revision = NewRevision;
  updateMembers();
  if (TermChanged) {
    ConfirmedIndex = 0;
    PrimaryIndex = 0;
  }
  while (FreshnessByTerm.size() > MaxSampledTerms)
    FreshnessByTerm.erase(FreshnessByTerm.begin());
  updateConfirmed();
  return true;
}

void GroupView::updateMembers() {
  for (MemberState &M : Members)
    M.InRecord = false;
  for (const record::Member &R : Record.members()) {
    MemberIndex Index = find(R.name());
    if (Index == NoMember) {
      Index = static_cast<MemberIndex>(Members.size());
      Members.emplace_back();
      Pings.emplace_back();
      Members[Index].Name = R.name();
    }
    Members[Index].InRecord = true;
    Members[Index].Address = R.address();
    Members[Index].AvailabilityZone = R.availability_zone();
  }
}

Term GroupView::activeTerm() const {
  return Record.phase() == record::PHASE_ACTIVE ? Record.term() : 0;
}

MemberIndex GroupView::primary() const {
  return activeTerm() == 0 ? NoMember : find(Record.primary());
}

MemberIndex GroupView::find(std::string_view Name) const {
  for (MemberIndex I = 0; I < Members.size(); ++I)
    if (Members[I].Name == Name)
      return I;
  return NoMember;
}

bool GroupView::isReplica(MemberIndex Member) const {
  const MemberState &State = Members[Member];
  if (!State.InRecord || !State.Status || Member == primary() ||
      State.Status->role() != endpoint::ROLE_REPLICA)
    return false;
  for (const record::TermStart &Start : Record.history())
    if (Start.term() == State.servedTerm())
      return Start.primary() != State.Name;
  return State.servedTerm() != 0;
}

std::size_t GroupView::memberCount() const {
  return static_cast<std::size_t>(Record.members_size());
}

void GroupView::pingSent(MemberIndex Member, std::uint64_t Sequence, Time Now) {
  std::deque<SentPing> &Sent = Pings[Member];
  Sent.push_back({Sequence, Now});
  if (Sent.size() > MaxPingsInFlight)
    Sent.pop_front();
}

std::optional<Time> GroupView::consumePing(MemberIndex Member,
                                           std::uint64_t Sequence) {
  std::deque<SentPing> &Sent = Pings[Member];
  while (!Sent.empty() && Sent.front().Sequence < Sequence)
    Sent.pop_front();
  if (Sent.empty() || Sent.front().Sequence != Sequence)
    return std::nullopt;
  const Time At = Sent.front().At;
  Sent.pop_front();
  return At;
}

void GroupView::statusReceived(MemberIndex Member,
                               const endpoint::MemberStatus &Status, Time Now) {
  MemberState &State = Members[Member];
  const Term PreviousTerm = State.servedTerm();
  State.Status = Status;
  State.StatusAt = Now;
  if (Status.term() != PreviousTerm)
    State.ServingAsOf.reset();
  if (Status.ping_sequence() != 0) {
    const std::optional<Time> SentAt =
        consumePing(Member, Status.ping_sequence());
    if (SentAt) {
      if (Status.sealed_term() <= Status.term())
        State.ServingAsOf =
            std::max(State.ServingAsOf.value_or(*SentAt), *SentAt);
      addSample(Member, *SentAt);
    }
  }
  State.Lag.replicaApplied(Status.applied().index(), Now);
  if (Member == primary() && Status.term() == activeTerm())
    primaryCommitted(Status.term(), Status.received().index(), Now);
  updateConfirmed();
  const std::optional<Time> Confirmed = termConfirmedAsOf();
  if (Confirmed)
    FreshnessByTerm[activeTerm()].ConfirmedAsOf = Confirmed;
}

void GroupView::observationLost(MemberIndex Member) { Pings[Member].clear(); }

void GroupView::primaryCommitted(Term Served, LogIndex Index, Time Now) {
  if (Served != activeTerm() || Index <= PrimaryIndex)
    return;
  PrimaryIndex = Index;
  for (MemberState &M : Members)
    M.Lag.primaryCommitted(Index, Now);
  updateConfirmed();
}

void GroupView::addSample(MemberIndex Member, Time SentAt) {
  const endpoint::MemberStatus &Status = *Members[Member].Status;
  if (Status.role() != endpoint::ROLE_PRIMARY ||
      Status.sealed_term() > Status.term())
    return;
  if (Status.term() != activeTerm() || Member != primary())
    return;
  FreshnessByTerm[Status.term()].Samples.add(SentAt, Status.received().index());
}

// Counts a member only if its last entry was written in the active term: an
// entry of an older term that a majority holds can still be replaced by a log
// whose last entry has a higher term.
void GroupView::updateConfirmed() {
  const Term Active = activeTerm();
  if (Active == 0)
    return;
  const MemberIndex Primary = primary();
  std::vector<LogIndex> Held;
  for (MemberIndex I = 0; I < Members.size(); ++I) {
    const MemberState &M = Members[I];
    if (!M.InRecord)
      continue;
    LogIndex Index = I == Primary ? PrimaryIndex : 0;
    if (M.Status && M.Status->term() == Active &&
        M.Status->received().term() == Active)
      Index = std::max(Index, M.Status->received().index());
    Held.push_back(Index);
  }
  if (Held.size() < majority() || Held.empty())
    return;
  std::sort(Held.begin(), Held.end(), std::greater<>());
  ConfirmedIndex = std::max(ConfirmedIndex, Held[majority() - 1]);
}

std::optional<Time>
GroupView::termConfirmedAsOf(std::optional<Time> PrimaryServedAt) const {
  const Term Active = activeTerm();
  const MemberIndex Primary = primary();
  if (Active == 0 || Primary == NoMember)
    return std::nullopt;
  std::vector<Time> Others;
  std::optional<Time> PrimaryAsOf = PrimaryServedAt;
  for (MemberIndex I = 0; I < Members.size(); ++I) {
    const MemberState &M = Members[I];
    if (!M.InRecord || M.servedTerm() != Active || !M.ServingAsOf)
      continue;
    if (I != Primary)
      Others.push_back(*M.ServingAsOf);
    else
      PrimaryAsOf =
          std::max(PrimaryAsOf.value_or(*M.ServingAsOf), *M.ServingAsOf);
  }
  const std::size_t Needed = majority() - 1;
  if (!PrimaryAsOf || Others.size() < Needed)
    return std::nullopt;
  if (Needed == 0)
    return PrimaryAsOf;
  std::sort(Others.begin(), Others.end(), std::greater<>());
  return std::min(*PrimaryAsOf, Others[Needed - 1]);
}

// A sample is valid only if a majority still served its term when it was taken.
// Otherwise a primary that had been replaced unnoticed could make a stale
// replica appear fresh.
std::optional<Time> GroupView::freshAsOf(MemberIndex Member,
                                         LogIndex Applied) const {
  const auto Found = FreshnessByTerm.find(Members[Member].servedTerm());
  if (Found == FreshnessByTerm.end() || !Found->second.ConfirmedAsOf)
    return std::nullopt;
  return Found->second.Samples.asOf(Applied, *Found->second.ConfirmedAsOf);
}

} // namespace borageridge::group
