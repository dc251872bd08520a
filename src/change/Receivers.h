#ifndef BORAGERIDGE_CHANGE_RECEIVERS_H
#define BORAGERIDGE_CHANGE_RECEIVERS_H

#include "change/ChangePolicy.h"

#include <optional>
#include <span>
#include <vector>

namespace borageridge::change {

using Receivers = std::vector<cluster::Receiver>;

/// Returns the processes that may have received commits of the recorded
/// primary: those that the record lists, and the registered members other than
/// the primary. In order.
Receivers possibleReceivers(const cluster::GroupRecord &Record,
                            std::span<const catalog::Member> Members);

/// Returns the receivers for a record of a new primary, whose log has every
/// acknowledged commit. The former primary is one of them.
Receivers receiversAfterChange(const cluster::GroupRecord &Changing,
                               std::span<const catalog::Member> Members,
                               const MemberReport &NewPrimary);

/// A receiver that counts as ended.
struct EndedReceiver {
  cluster::Receiver Process;
  /// A position that the primary's log had reached after the end; none if
  /// unknown. The receiver can hold nothing that comes after it.
  std::optional<Position> NothingAfter;
};

/// Returns the receivers without those that have ended and whose commits
/// enough others are shown to hold.
Receivers remainingReceivers(const Receivers &Possible,
                             std::span<const EndedReceiver> Ended,
                             std::span<const MemberReport> Reports,
                             std::size_t SyncReplicas);

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_RECEIVERS_H
