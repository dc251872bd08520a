#ifndef BORAGERIDGE_CHANGE_LEADBACK_H
#define BORAGERIDGE_CHANGE_LEADBACK_H

#include "change/ChangePolicy.h"

#include <optional>
#include <span>
#include <string>

namespace borageridge::change {

/// What a change of primary that has named no successor knows.
struct LeadBackSituation {
  /// The record of the change.
  const cluster::GroupRecord &Record;
  std::span<const MemberReport> Reports;
  /// A position that the log of the primary is known to have reached; none if
  /// this daemon has seen none.
  std::optional<Position> KnownPosition;
  /// Whether the promotion of another member may have taken effect, or may
  /// still do so.
  bool HasContenders = false;
  /// Whether such a member may still run.
  bool ContendersMayRun = false;
  /// Whether commits are acknowledged only once a replica has received them.
  bool IsSynchronous = false;
  /// Whether a registered member that is not known to have failed has not
  /// reported.
  bool AwaitsReports = false;
  /// Whether the primary announced its departure.
  bool IsLeaving = false;
  /// Time spent looking for a successor.
  Duration Waited{};
};

/// Returns the member that leads the term of the record with the log of the
/// recorded primary, whatever its id, if any reports.
std::optional<MemberReport>
findRecordedPrimary(std::span<const MemberReport> Reports,
                    const cluster::GroupRecord &Record,
                    std::optional<Position> KnownPosition);

struct LeadBack {
  MemberReport Member;
  /// Whether the member can be used at once, since it leads the term of the
  /// record and no other can lead. Otherwise it must be promoted.
  bool Leads = false;
};

/// Returns the primary of the record if the change leads back to it instead of
/// promoting another member. None while a successor is waited for.
std::optional<LeadBack> chooseLeadBack(const LeadBackSituation &Known);

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_LEADBACK_H
