#include "change/ChangePolicy.h"

#include <algorithm>

namespace borageridge::change {
namespace {

// A refused connection shows at once that the process is not running; the delay
// allows for a listener that is being replaced.
constexpr Duration RefusedConfirmation = std::chrono::milliseconds(150);
// Longer than a pause of one endpoint or the retransmission of a lost packet.
constexpr Duration SilentConfirmation = std::chrono::milliseconds(600);
// Percentage of the live daemons that must report the primary unreachable. A
// change interrupts all callers for about a second, whereas a daemon that
// cannot reach the primary fails its own callers for the whole time.
constexpr std::size_t ConfirmingPercent = 30;
constexpr std::size_t MinConfirming = 2;
// Allows for a registry that lags behind a promotion.
constexpr Duration NotLeadingConfirmation = std::chrono::milliseconds(1500);
// Maximum time to wait for missing reports once enough replicas have reported.
constexpr Duration MissingReportTimeout = std::chrono::milliseconds(300);

const catalog::Member *find(std::span<const catalog::Member> Members,
                            std::string_view Id) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const catalog::Member &M) { return M.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

// A change stops the service, so none begins that would find nobody.
bool hasSuccessor(const ServiceObservation &Known) {
  return std::any_of(Known.Members.begin(), Known.Members.end(),
                     [&](const catalog::Member &M) {
                       return M.Id != Known.Record.Primary && !M.Leaving &&
                              std::find(Known.Suspected.begin(),
                                        Known.Suspected.end(),
                                        M.Id) == Known.Suspected.end();
                     });
}

bool hasLasted(std::optional<Time> Since, Duration Limit, Time Now) {
  return Since && Now - *Since >= Limit;
}

bool isOldPrimary(const MemberReport &Report, const CandidateRules &Rules) {
  return Report.Member == Rules.OldPrimary ||
         (Report.Primary && Rules.OldTerm != 0 &&
          Report.CurrentTerm == Rules.OldTerm);
}

// While the old primary responds, every replica can still catch up with it, so
// a replica that is not leaving is preferred regardless of its log.
bool isBetterCandidate(const MemberReport &A, const MemberReport &B,
                       const CandidateRules &Rules, bool OldPrimaryReported) {
  if (Rules.SyncReplicas == 0 &&
      (A.Member == Rules.Failed) != (B.Member == Rules.Failed))
    return B.Member == Rules.Failed;
  if (OldPrimaryReported && A.Leaving != B.Leaving)
    return !A.Leaving;
  return std::pair(A.Received, !A.Leaving) > std::pair(B.Received, !B.Leaving);
}

} // namespace

std::string_view name(Cause Why) {
  switch (Why) {
  case Cause::None:
    return "none";
  case Cause::NoRecord:
    return "no_record";
  case Cause::Interrupted:
    return "interrupted";
  case Cause::Restored:
    return "store_restored";
  case Cause::Leaving:
    return "leaving";
  case Cause::Unreachable:
    return "unreachable";
  case Cause::NotLeading:
    return "not_leading";
  case Cause::Restarted:
    return "restarted";
  case Cause::Gone:
    return "gone";
  case Cause::Settled:
    return "settled";
  case Cause::Receivers:
    return "receivers";
  }
  return "none";
}

std::size_t confirmations(PrimaryReports Reports, std::string_view Primary) {
  const auto Confirms = [&](const PrimaryReport &Report) {
    return Report.Member == Primary && Report.Seen &&
           Report.Seen->Elapsed >= (Report.Seen->Refused ? RefusedConfirmation
                                                         : SilentConfirmation);
  };
  return static_cast<std::size_t>(
      std::count_if(Reports.begin(), Reports.end(), Confirms));
}

bool isUnreachable(PrimaryReports Reports, std::string_view Primary,
                   std::size_t LiveDaemons) {
  const std::size_t Fraction = (LiveDaemons * ConfirmingPercent + 99) / 100;
  const std::size_t Needed =
      std::min(LiveDaemons, std::max(MinConfirming, Fraction));
  return confirmations(Reports, Primary) >= std::max<std::size_t>(1, Needed);
}

Cause changeCause(const ServiceObservation &Known, Time Now) {
  if (Known.Record.Epoch == 0)
    return Cause::NoRecord;
  if (Known.Record.Changing)
    return Cause::Interrupted;
  if (!cluster::isOfEra(Known.Record.Epoch, Known.StoreEra))
    return Cause::Restored;
  const catalog::Member *Primary = find(Known.Members, Known.Record.Primary);
  const Cause OfLists = Known.HasOtherReceivers ? Cause::Receivers
                        : Known.HasSettled      ? Cause::Settled
                                                : Cause::None;
  if (!hasSuccessor(Known))
    return OfLists == Cause::Receivers ? OfLists : Cause::None;
  if (isUnreachable(Known.Reports, Known.Record.Primary, Known.LiveDaemons))
    return Cause::Unreachable;
  if (Known.IsSuperseded)
    return Cause::NotLeading;
  if (Primary == nullptr)
    return hasLasted(Known.GoneSince, GoneConfirmation, Now) ? Cause::Gone
                                                             : Cause::None;
  if (Primary->Leaving)
    return Cause::Leaving;
  if (Primary->Incarnation != Known.Record.PrimaryIncarnation)
    return Cause::Restarted;
  if (hasLasted(Known.NotLeadingSince, NotLeadingConfirmation, Now))
    return Cause::NotLeading;
  return OfLists;
}

// Only the member that was named last stays the leader: the promotions of
// others were called for earlier, so that this one still takes the role from
// them.
std::optional<MemberReport> findNewLeader(std::span<const MemberReport> Reports,
                                          Term OldTerm,
                                          std::string_view Candidate) {
  const MemberReport *Best = nullptr;
  for (const MemberReport &Report : Reports) {
    const bool MayStay = Candidate.empty() || Report.Member == Candidate;
    if (MayStay && Report.Primary && Report.CurrentTerm > OldTerm &&
        (Best == nullptr || Report.CurrentTerm > Best->CurrentTerm))
      Best = &Report;
  }
  return Best == nullptr ? std::nullopt : std::optional(*Best);
}

// An acknowledged commit is in the log of the old primary and of at least
// SyncReplicas receivers. Any Replicas - SyncReplicas + 1 of them therefore
// include one that has it, as does any member that has all that the old primary
// has.
std::optional<MemberReport>
chooseCandidate(std::span<const MemberReport> Reports,
                const CandidateRules &Rules) {
  std::optional<Position> OldLog;
  for (const MemberReport &Report : Reports)
    if (isOldPrimary(Report, Rules))
      OldLog = std::max(OldLog.value_or(Position()), Report.Received);
  std::size_t Reported = 0;
  bool MayCatchUp = false;
  const MemberReport *Best = nullptr;
  for (const MemberReport &Report : Reports) {
    if (isOldPrimary(Report, Rules))
      continue;
    ++Reported;
    if (Rules.SyncReplicas > 0 && OldLog && Report.Received < *OldLog) {
      MayCatchUp = MayCatchUp || !Report.Leaving;
      continue;
    }
    if (Best == nullptr ||
        isBetterCandidate(Report, *Best, Rules, OldLog.has_value()))
      Best = &Report;
  }
  if (Best == nullptr ||
      (Best->Leaving && MayCatchUp && Rules.Waited < CatchUpTimeout))
    return std::nullopt;
  const std::size_t Needed =
      Rules.SyncReplicas == 0 || OldLog
          ? 1
          : Rules.Replicas - std::min(Rules.Replicas, Rules.SyncReplicas) + 1;
  const bool Complete = Reported >= Rules.Replicas;
  if (!Complete && (Reported < Needed || Rules.Waited < MissingReportTimeout))
    return std::nullopt;
  return *Best;
}

} // namespace borageridge::change
