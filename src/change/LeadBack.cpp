#include "change/LeadBack.h"

#include <algorithm>

namespace borageridge::change {
namespace {

// A change that finds nobody stops the service, so it does not wait longer for
// members that have shown that they are no successors.
constexpr Duration AllReportedDelay = std::chrono::milliseconds(600);
// A busy member reports within this time.
constexpr Duration MissingReportsDelay = std::chrono::milliseconds(3500);

// Of a synchronous service, a late promotion would roll back the commits that
// the member has not received; of others it is noticed before a write is
// acknowledged.
bool mayLeadBack(const LeadBackSituation &Known) {
  return !Known.IsSynchronous || !Known.ContendersMayRun;
}

} // namespace

// A term has one leader. A process that starts again under the id that it had
// has lost its log; one that returns with its log has a new id.
std::optional<MemberReport>
findRecordedPrimary(std::span<const MemberReport> Reports,
                    const cluster::GroupRecord &Record,
                    std::optional<Position> KnownPosition) {
  for (const MemberReport &Report : Reports) {
    const bool Leads =
        Report.Primary && Report.CurrentTerm == Record.PrimaryTerm;
    const bool HasLog = (Report.Member != Record.Primary ||
                         Report.Incarnation == Record.PrimaryIncarnation) &&
                        (!KnownPosition || Report.Received >= *KnownPosition);
    if (Leads && HasLog)
      return Report;
  }
  return std::nullopt;
}

std::optional<LeadBack> chooseLeadBack(const LeadBackSituation &Known) {
  if (!mayLeadBack(Known))
    return std::nullopt;
  if (const auto Primary = findRecordedPrimary(Known.Reports, Known.Record,
                                               Known.KnownPosition)) {
    // No daemon has found a process with a new id unreachable, and another
    // member would serve callers no sooner.
    const bool IsNew =
        Primary->Member != Known.Record.Primary && !Primary->Leaving;
    const Duration Delay = Known.AwaitsReports || Known.IsLeaving
                               ? MissingReportsDelay
                               : AllReportedDelay;
    if (IsNew || Known.Waited >= Delay)
      return LeadBack{*Primary, !Known.HasContenders};
    return std::nullopt;
  }
  // A primary that was asked to step down for a successor that then failed.
  const auto SteppedDown = std::find_if(
      Known.Reports.begin(), Known.Reports.end(), [&](const MemberReport &R) {
        return !R.Primary && R.Member == Known.Record.Primary &&
               R.Incarnation == Known.Record.PrimaryIncarnation;
      });
  if (SteppedDown != Known.Reports.end() && Known.Waited >= MissingReportsDelay)
    return LeadBack{*SteppedDown, false};
  return std::nullopt;
}

} // namespace borageridge::change
