#include "change/ChangePolicy.h"

#include <algorithm>

namespace borageridge::change {
namespace {

// A refused connection shows at once that the process is not running; the time
// allows for a listener that is being replaced.
constexpr Duration RefusedConfirmation = std::chrono::milliseconds(150);
// Longer than a pause of one endpoint or the loss of one packet.
constexpr Duration SilentConfirmation = std::chrono::milliseconds(600);
// Part of the live daemons that must have lost the primary. A change costs all
// callers about a second; a daemon without primary costs its callers the whole
// time.
constexpr std::size_t ConfirmingPercent = 30;
constexpr std::size_t MinConfirming = 2;
// The registry may lag behind a promotion.
constexpr Duration NotLeadingConfirmation = std::chrono::milliseconds(1500);
// Entries that lapsed with the store are back two seconds after its return.
constexpr Duration GoneConfirmation = std::chrono::milliseconds(2500);
// Without synchronous replicas, a replica that does not answer is not waited
// for any longer than this.
constexpr Duration ReportWait = std::chrono::milliseconds(300);

const catalog::Member *find(std::span<const catalog::Member> Members,
                            std::string_view Id) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const catalog::Member &M) { return M.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

bool hasSuccessor(std::span<const catalog::Member> Members,
                  std::string_view Primary) {
  return std::any_of(
      Members.begin(), Members.end(),
      [&](const catalog::Member &M) { return M.Id != Primary && !M.Leaving; });
}

bool lasted(std::optional<Time> Since, Duration Limit, Time Now) {
  return Since && Now - *Since >= Limit;
}

// While the old primary answers, any replica can still catch up with it, and
// one that stays is better.
bool isBetter(const MemberReport &A, const MemberReport &B, bool OldHeard) {
  if (OldHeard && A.Leaving != B.Leaving)
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
  }
  return "none";
}

std::size_t confirmations(Reports About, std::string_view Primary) {
  const auto Confirms = [&](const PrimaryReport &Report) {
    return Report.Member == Primary && Report.Seen &&
           Report.Seen->Elapsed >= (Report.Seen->Refused ? RefusedConfirmation
                                                         : SilentConfirmation);
  };
  return static_cast<std::size_t>(
      std::count_if(About.begin(), About.end(), Confirms));
}

bool isUnreachable(Reports About, std::string_view Primary,
                   std::size_t LiveDaemons) {
  const std::size_t Part = (LiveDaemons * ConfirmingPercent + 99) / 100;
  const std::size_t Needed =
      std::min(LiveDaemons, std::max(MinConfirming, Part));
  return confirmations(About, Primary) >= std::max<std::size_t>(1, Needed);
}

Cause changeCause(const Situation &Known, Time Now) {
  if (Known.Record.Epoch == 0)
    return Cause::NoRecord;
  if (Known.Record.Changing)
    return Cause::Interrupted;
  const catalog::Member *Primary = find(Known.Members, Known.Record.Primary);
  if (!hasSuccessor(Known.Members, Known.Record.Primary))
    return Cause::None;
  if (isUnreachable(Known.About, Known.Record.Primary, Known.LiveDaemons))
    return Cause::Unreachable;
  if (Primary == nullptr)
    return lasted(Known.GoneSince, GoneConfirmation, Now) ? Cause::Gone
                                                          : Cause::None;
  if (Primary->Leaving)
    return Cause::Leaving;
  if (Primary->Born != Known.Record.PrimaryBorn)
    return Cause::Restarted;
  if (lasted(Known.NotLeadingSince, NotLeadingConfirmation, Now))
    return Cause::NotLeading;
  return Cause::None;
}

// An acknowledged commit is in the old primary's log and in that of as many
// replicas as are synchronous: among all but that many minus one, one has it.
std::optional<MemberReport> chooseCandidate(std::span<const MemberReport> From,
                                            const CandidateRules &Rules) {
  const bool OldHeard =
      std::any_of(From.begin(), From.end(), [&](const MemberReport &R) {
        return R.Member == Rules.OldPrimary;
      });
  std::size_t Heard = 0;
  const MemberReport *Best = nullptr;
  for (const MemberReport &Report : From) {
    if (Report.Member == Rules.OldPrimary)
      continue;
    ++Heard;
    if (Best == nullptr || isBetter(Report, *Best, OldHeard))
      Best = &Report;
  }
  if (Best == nullptr)
    return std::nullopt;
  const std::size_t Needed =
      Rules.SyncReplicas == 0 || OldHeard
          ? 1
          : Rules.Replicas - std::min(Rules.Replicas, Rules.SyncReplicas) + 1;
  const bool Complete = Heard >= Rules.Replicas;
  if (!Complete && (Heard < Needed || Rules.Waited < ReportWait))
    return std::nullopt;
  return *Best;
}

} // namespace borageridge::change
