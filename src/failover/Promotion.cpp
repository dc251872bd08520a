#include "failover/Promotion.h"

#include "failover/CandidateChoice.h"
#include "failover/RecordSteps.h"

#include <algorithm>
#include <utility>

namespace borageridge::failover {
namespace {

/// Older statuses are ignored.
constexpr Duration StatusLifetime = std::chrono::seconds(1);
/// A request for an unplanned change expires unless start() repeats it, so that
/// a proxy that was paused does not act on an outdated reason.
constexpr Duration RequestLifetime = std::chrono::seconds(1);
/// More than the number of swaps that can be in flight at the same time.
constexpr std::size_t MaxRecordedAttempts = 16;

Position toPosition(const endpoint::Position &P) {
  return {P.term(), P.index()};
}

} // namespace

Promotion::Promotion(PromotionSettings InitialSettings,
                     AttemptGenerator Generator)
    : Settings(InitialSettings), NextAttempt(std::move(Generator)),
      RateLimiter(Settings.MinChangeInterval, Settings.MaxChangeInterval),
      SwapBackoff(newBackoff()) {}

void Promotion::recordChanged(const KnownRecord &Newer, Time Now) {
  if (!Known || Newer.Revision > Known->Revision)
    applyRecord(Newer, Now);
}

void Promotion::rankChanged(unsigned NewRank) { Rank = NewRank; }

void Promotion::statusReceived(std::string_view Member,
                               const endpoint::MemberStatus &Status, Time Now) {
  Statuses[std::string(Member)] = {Status, Now};
  const bool ShowsPromotion =
      Coordinating && current().phase() == record::PHASE_PROMOTING &&
      Member == current().primary() && Status.term() == current().term() &&
      Status.role() == endpoint::ROLE_PRIMARY;
  if (ShowsPromotion)
    Progress.Promoted = true;
}

StartResult Promotion::start(ChangeReason Reason, std::string_view Preferred,
                             Time Now) {
  if (!Known)
    return StartResult::NoRecord;
  if (isChanging())
    return StartResult::InProgress;
  return Reason == ChangeReason::Planned ? startPlanned(Preferred, Now)
                                         : startUnplanned(Preferred, Now);
}

StartResult Promotion::startUnplanned(std::string_view Preferred, Time Now) {
  if (!RateLimiter.allows(Now))
    return StartResult::RateLimited;
  if (Requested && Requested->Reason == ChangeReason::Unplanned) {
    Requested->ExpiresAt = Now + RequestLifetime + Rank * Settings.RankDelay;
    return StartResult::InProgress;
  }
  Requested = {ChangeReason::Unplanned, std::string(Preferred),
               Now + Rank * Settings.RankDelay,
               Now + RequestLifetime + Rank * Settings.RankDelay};
  return StartResult::Started;
}

StartResult Promotion::startPlanned(std::string_view Preferred, Time Now) {
  if (Requested)
    return StartResult::InProgress;
  const std::string Candidate =
      Preferred.empty() ? leastLaggingReplica(Now) : std::string(Preferred);
  if (!hasMember(current(), Candidate) || Candidate == current().primary())
    return StartResult::Unsuitable;
  Requested = {ChangeReason::Planned, Candidate, Now,
               Now + Settings.CandidateLagTimeout};
  return StartResult::Started;
}

void Promotion::cancel() { Requested.reset(); }

void Promotion::readFinished(const Expected<KnownRecord> &Result, Time Now) {
  if (!Result.has_value()) {
    if (Read)
      Read->Call.InFlight = false;
    return;
  }
  const bool ForTakeover = Read && Read->ForTakeover;
  Read.reset();
  ReadSinceRefusal = true;
  if (!Known || Result.value().Revision > Known->Revision) {
    applyRecord(Result.value(), Now);
    return;
  }
  if (ForTakeover && isChanging() && !Coordinating)
    coordinate(Now);
}

void Promotion::swapFinished(std::string_view Attempt,
                             const Expected<std::int64_t> &Result, Time Now) {
  if (!Swap || Swap->Swap.Record.attempt() != Attempt)
    return;
  if (Result.has_value()) {
    applyRecord({Swap->Swap.Record, Result.value()}, Now);
    return;
  }
  Swap.reset();
  requestRead(false);
}

void Promotion::sealFinished(std::string_view Member, Term SealedFor,
                             const Expected<endpoint::SealReply> &Result,
                             Time /*Now*/) {
  const bool IsAwaited = Coordinating &&
                         current().phase() == record::PHASE_SEALING &&
                         current().term() == SealedFor;
  const auto Found = Progress.Seals.find(Member);
  if (!IsAwaited || Found == Progress.Seals.end() || !Result.has_value())
    return;
  const endpoint::SealReply &Reply = Result.value();
  if (!Reply.accepted()) {
    handleRefusal(Reply.sealed_term());
    return;
  }
  const Position Received = toPosition(Reply.received());
  // A log with entries of this term shows that the record has moved on.
  if (Received.EntryTerm >= SealedFor) {
    requestRead(false);
    return;
  }
  if (!Found->second.Received)
    Found->second.Received = Received;
}

void Promotion::promoteFinished(std::string_view Member, Term PromotedFor,
                                const Expected<endpoint::PromoteReply> &Result,
                                Time /*Now*/) {
  const bool IsAwaited =
      Coordinating && current().phase() == record::PHASE_PROMOTING &&
      current().term() == PromotedFor && current().primary() == Member;
  if (!IsAwaited || !Result.has_value())
    return;
  if (Result.value().accepted())
    Progress.Promoted = true;
  else
    handleRefusal(Result.value().sealed_term());
}

Actions Promotion::tick(Time Now) {
  Actions Out;
  if (!Known)
    return Out;
  expireStoreCalls(Now);
  if (!Read && !Swap)
    advance(Now, Out);
  if (Read)
    tickRead(Now, Out);
  else if (Swap)
    tickSwap(Now, Out);
  return Out;
}

void Promotion::advance(Time Now, Actions &Out) {
  if (!isChanging())
    tickRequest(Now);
  else if (!Coordinating)
    tickTakeover(Now);
  else if (current().phase() == record::PHASE_SEALING)
    tickSealing(Now, Out);
  else
    tickPromoting(Now, Out);
}

std::optional<Time> Promotion::nextWake() const {
  if (!Known)
    return std::nullopt;
  if (Read)
    return Read->Call.InFlight ? Read->Call.Deadline
                               : Read->Retry.nextAttempt();
  if (Swap)
    return Swap->Call.InFlight ? Swap->Call.Deadline
                               : SwapBackoff.nextAttempt();
  if (!isChanging())
    return requestWake();
  if (!Coordinating)
    return TakeoverAt;
  return current().phase() == record::PHASE_SEALING ? sealingWake()
                                                    : promotingWake();
}

Actions Promotion::reconcileMembers(Time Now) {
  if (!Known)
    return {};
  MemberStatuses Fresh;
  for (const auto &[Member, View] : Statuses)
    if (Now - View.Received <= StatusLifetime)
      Fresh.emplace(Member, View.Status);
  return Reconciler.reconcileMembers(current(), Fresh, Now);
}

bool Promotion::isChanging() const {
  return current().phase() == record::PHASE_SEALING ||
         current().phase() == record::PHASE_PROMOTING;
}

Term Promotion::nextTerm() const {
  return std::max<Term>(current().term(), HighestSealedTerm) + 1;
}

Backoff Promotion::newBackoff() const {
  return {Settings.InitialRetryDelay, Settings.MaxRetryDelay};
}

void Promotion::applyRecord(const KnownRecord &Newer, Time Now) {
  countForRateLimit(Newer.Record, Now);
  const bool IsOwn = std::ranges::find(OwnAttempts, Newer.Record.attempt()) !=
                     OwnAttempts.end();
  const bool SameTerm = Known && current().term() == Newer.Record.term();
  Known = Newer;
  Read.reset();
  Swap.reset();
  SwapBackoff.reset();
  ReadSinceRefusal = false;
  Coordinating = false;
  if (isChanging() || !SameTerm)
    Requested.reset();
  if (!isChanging()) {
    FailedCandidate.clear();
    TieBreakMember.clear();
    return;
  }
  TakeoverAt = Now + Settings.TakeoverDelay + Rank * Settings.RankDelay;
  if (IsOwn)
    coordinate(Now);
}

void Promotion::countForRateLimit(const record::GroupRecord &Newer, Time Now) {
  // A change that moves to a further term is still the same change.
  const bool IsNewChange =
      Known && !isChanging() && Newer.term() > current().term();
  if (IsNewChange && Newer.preferred_primary().empty())
    RateLimiter.recordChange(Now);
}

void Promotion::handleRefusal(Term SealedTerm) {
  if (SealedTerm <= current().term() || SealedTerm <= HighestSealedTerm)
    return;
  HighestSealedTerm = SealedTerm;
  ReadSinceRefusal = false;
  requestRead(false);
}

void Promotion::coordinate(Time Now) {
  Coordinating = true;
  Progress = {};
  Progress.Since = Now;
  Progress.PromoteBackoff = newBackoff();
  for (const record::Member &Member : current().members())
    Progress.Seals[Member.name()].Retry = newBackoff();
}

void Promotion::requestRead(bool ForTakeover) {
  if (!Read)
    Read = {newBackoff(), {}, false};
  Read->ForTakeover = Read->ForTakeover || ForTakeover;
}

void Promotion::expireStoreCalls(Time Now) {
  if (Read && Read->Call.InFlight && Now >= Read->Call.Deadline)
    Read->Call.InFlight = false;
  if (!Swap || !Swap->Call.InFlight || Now < Swap->Call.Deadline)
    return;
  Swap.reset();
  requestRead(false);
}

void Promotion::tickRead(Time Now, Actions &Out) {
  if (Read->Call.InFlight || !Read->Retry.isDue(Now))
    return;
  Read->Retry.recordAttempt(Now);
  Read->Call = {true, Now + Settings.StoreTimeout};
  Out.emplace_back(ReadRecord{});
}

void Promotion::tickSwap(Time Now, Actions &Out) {
  if (Swap->Call.InFlight || !SwapBackoff.isDue(Now))
    return;
  SwapBackoff.recordAttempt(Now);
  Swap->Call = {true, Now + Settings.StoreTimeout};
  Out.emplace_back(Swap->Swap);
}

void Promotion::tickRequest(Time Now) {
  if (!Requested)
    return;
  if (Now >= Requested->ExpiresAt) {
    Requested.reset();
    return;
  }
  if (Now < Requested->NotBefore)
    return;
  if (Requested->Reason == ChangeReason::Unplanned) {
    TieBreakMember = Requested->Preferred;
    swapToSealing("");
    return;
  }
  if (isCandidateWithinLag(Requested->Preferred, Now))
    swapToSealing(Requested->Preferred);
}

void Promotion::tickTakeover(Time Now) {
  if (Now >= TakeoverAt)
    requestRead(true);
}

void Promotion::tickSealing(Time Now, Actions &Out) {
  if (const std::optional<std::string> Chosen = selectCandidate(Now)) {
    swapTo(promotingRecord(current(), *Chosen,
                           *Progress.Seals.at(*Chosen).Received));
    return;
  }
  // Members are sealed for a higher term than the recorded one. The next term
  // must exceed it, or they would refuse every request.
  if (HighestSealedTerm > current().term() && ReadSinceRefusal) {
    swapToSealing("");
    return;
  }
  for (auto &[Member, View] : Progress.Seals) {
    if (View.Received || !View.Retry.isDue(Now) || !maySeal(Member, Now))
      continue;
    View.Retry.recordAttempt(Now);
    SealMember Seal{Member, {}};
    Seal.Request.set_term(current().term());
    Out.emplace_back(std::move(Seal));
  }
}

void Promotion::tickPromoting(Time Now, Actions &Out) {
  if (Progress.Promoted) {
    swapTo(activeRecord(current()));
    return;
  }
  if (Now >= Progress.Since + Settings.PromoteTimeout) {
    FailedCandidate = current().primary();
    swapToSealing("");
    return;
  }
  if (!Progress.PromoteBackoff.isDue(Now))
    return;
  Progress.PromoteBackoff.recordAttempt(Now);
  PromoteMember Promote{current().primary(), {}};
  Promote.Request.set_term(current().term());
  *Promote.Request.mutable_start() = startOf(current());
  Out.emplace_back(std::move(Promote));
}

std::optional<Time> Promotion::requestWake() const {
  if (!Requested)
    return std::nullopt;
  // A planned request also proceeds when a status arrives.
  return Requested->Reason == ChangeReason::Unplanned ? Requested->NotBefore
                                                      : Requested->ExpiresAt;
}

std::optional<Time> Promotion::sealingWake() const {
  std::optional<Time> Next;
  const auto Consider = [&](Time At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[Member, View] : Progress.Seals) {
    if (View.Received)
      continue;
    const bool Waits = isPlanned() && Member != current().primary();
    const Time CatchUpEnds = Progress.Since + Settings.CatchUpTimeout;
    Consider(Waits ? std::max(View.Retry.nextAttempt(), CatchUpEnds)
                   : View.Retry.nextAttempt());
  }
  Consider(Progress.Since + Settings.AvoidedMemberTimeout);
  return Next;
}

std::optional<Time> Promotion::promotingWake() const {
  if (Progress.Promoted)
    return Progress.Since;
  return std::min(Progress.PromoteBackoff.nextAttempt(),
                  Progress.Since + Settings.PromoteTimeout);
}

bool Promotion::isPlanned() const {
  return !current().preferred_primary().empty();
}

const Promotion::ReceivedStatus *Promotion::freshStatus(std::string_view Member,
                                                        Time Now) const {
  const auto Found = Statuses.find(Member);
  if (Found == Statuses.end() || Now - Found->second.Received > StatusLifetime)
    return nullptr;
  return &Found->second;
}

bool Promotion::isCandidateWithinLag(std::string_view Candidate,
                                     Time Now) const {
  const ReceivedStatus *Primary = freshStatus(current().primary(), Now);
  const ReceivedStatus *Replica = freshStatus(Candidate, Now);
  if (Primary == nullptr || Replica == nullptr)
    return false;
  const Position Ahead = toPosition(Primary->Status.received());
  const Position Behind = toPosition(Replica->Status.received());
  return Ahead.EntryTerm == Behind.EntryTerm &&
         Ahead.Index <= Behind.Index + Settings.MaxCandidateLag;
}

std::string Promotion::leastLaggingReplica(Time Now) const {
  std::string Closest;
  Position Best;
  for (const record::Member &Member : current().members()) {
    const ReceivedStatus *View = freshStatus(Member.name(), Now);
    if (View == nullptr || View->Status.leaving() ||
        Member.name() == current().primary())
      continue;
    const Position Received = toPosition(View->Status.received());
    if (!Closest.empty() && Received <= Best)
      continue;
    Closest = Member.name();
    Best = Received;
  }
  return Closest;
}

void Promotion::swapTo(record::GroupRecord Next) {
  Next.set_attempt(NextAttempt());
  OwnAttempts.push_back(Next.attempt());
  if (OwnAttempts.size() > MaxRecordedAttempts)
    OwnAttempts.pop_front();
  Swap = {{Known->Revision, std::move(Next)}, {}};
}

void Promotion::swapToSealing(std::string_view Preferred) {
  swapTo(sealingRecord(current(), nextTerm(), Preferred));
}

bool Promotion::maySeal(std::string_view Member, Time Now) const {
  if (!isPlanned() || Member == current().primary() ||
      Now >= Progress.Since + Settings.CatchUpTimeout)
    return true;
  // A sealed replica accepts no further entries of the old primary's log. A
  // planned change therefore seals the old primary first and lets the candidate
  // catch up.
  const auto OldPrimary = Progress.Seals.find(current().primary());
  const auto Candidate = Statuses.find(current().preferred_primary());
  return OldPrimary != Progress.Seals.end() && OldPrimary->second.Received &&
         Candidate != Statuses.end() &&
         toPosition(Candidate->second.Status.received()) >=
             *OldPrimary->second.Received;
}

std::optional<std::string> Promotion::selectCandidate(Time Now) const {
  SealedPositions Sealed;
  for (const auto &[Member, View] : Progress.Seals)
    if (View.Received)
      Sealed.emplace(Member, *View.Received);
  CandidateRules Rules;
  Rules.Members = static_cast<std::size_t>(current().members().size());
  Rules.Preferred =
      isPlanned() ? current().preferred_primary() : TieBreakMember;
  Rules.Avoided = isPlanned() ? current().primary() : FailedCandidate;
  Rules.AvoidedAllowed = Now >= Progress.Since + Settings.AvoidedMemberTimeout;
  return chooseCandidate(Sealed, Rules);
}

} // namespace borageridge::failover
