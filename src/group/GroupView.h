#ifndef BORAGERIDGE_GROUP_GROUPVIEW_H
#define BORAGERIDGE_GROUP_GROUPVIEW_H

#include "borageridge/Types.h"
#include "group/FreshnessSamples.h"
#include "group/LagEstimator.h"

#include "endpoint.pb.h"
#include "record.pb.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::group {

/// Index of a member in a GroupView; stable during the lifetime of the view.
using MemberIndex = std::uint32_t;
inline constexpr MemberIndex NoMember = std::numeric_limits<MemberIndex>::max();

/// State of one member, as known to one proxy.
struct MemberState {
  std::string Name;
  std::string Address;
  std::string AvailabilityZone;
  /// False after the member was removed from the record.
  bool InRecord = true;
  bool ListedAsLeaving = false;
  /// Empty until the first status.
  std::optional<endpoint::MemberStatus> Status;
  Time StatusAt;
  /// Latest time at or after which the member is known to have served
  /// Status->term() and not to have been sealed for a higher term.
  std::optional<Time> ServingAsOf;
  LagEstimator Lag;

  bool leaving() const;
  Term servedTerm() const;
  LogIndex appliedIndex() const;
};

/// View of a database group at one proxy: the record, the statuses of the
/// members, and the conclusions from them. No conclusion depends on the clock
/// of another process.
class GroupView {
public:
  explicit GroupView(std::string Database);

  const std::string &database() const { return Database; }

  /// Applies a record with a higher version and returns whether it was applied.
  bool applyRecord(const record::GroupRecord &Record, std::int64_t Revision);
  const record::GroupRecord &record() const { return Record; }
  std::int64_t recordRevision() const { return Revision; }
  bool hasRecord() const { return Record.version() > 0; }

  /// Term in which writes may be sent, or 0 if none is active.
  Term activeTerm() const;
  /// The primary of the active term, or NoMember.
  MemberIndex primary() const;

  std::vector<MemberState> &members() { return Members; }
  const std::vector<MemberState> &members() const { return Members; }
  const MemberState &member(MemberIndex Index) const { return Members[Index]; }
  MemberIndex find(std::string_view Name) const;
  /// Whether the member serves as a replica. A replaced primary that has not
  /// yet joined a newer term is not a replica: it may hold entries that no
  /// majority holds.
  bool isReplica(MemberIndex Member) const;
  /// Number of members in the record.
  std::size_t memberCount() const;
  std::size_t majority() const { return memberCount() / 2 + 1; }

  void pingSent(MemberIndex Member, std::uint64_t Sequence, Time Now);
  void statusReceived(MemberIndex Member, const endpoint::MemberStatus &Status,
                      Time Now);
  /// Reports that the connection observing the member was lost. Its last status
  /// is kept.
  void observationLost(MemberIndex Member);
  /// Reports that a reply from the primary of the term Served showed a commit
  /// at Index.
  void primaryCommitted(Term Served, LogIndex Index, Time Now);

  /// Whether a majority is known to hold an entry of the active term at Index
  /// or later.
  bool isConfirmed(LogIndex Index) const { return Index <= ConfirmedIndex; }
  LogIndex confirmedIndex() const { return ConfirmedIndex; }

  /// Returns the latest time at or after which a majority that includes the
  /// primary is known to have served the active term. PrimaryServedAt is a time
  /// at which the primary is known to have served it, for example when a
  /// request that it answered was sent.
  std::optional<Time>
  termConfirmedAsOf(std::optional<Time> PrimaryServedAt = {}) const;

  /// Returns a time such that a read on the member that sees log index Applied
  /// includes all writes that were acknowledged before it. Empty if no bound is
  /// known.
  std::optional<Time> freshAsOf(MemberIndex Member, LogIndex Applied) const;

private:
  struct SentPing {
    std::uint64_t Sequence = 0;
    Time At;
  };

  /// Freshness data of one term, which is kept after the term has ended.
  struct TermFreshness {
    FreshnessSamples Samples;
    /// Latest time at or after which a majority is known to have served the
    /// term.
    std::optional<Time> ConfirmedAsOf;
  };

  std::optional<Time> consumePing(MemberIndex Member, std::uint64_t Sequence);
  void updateConfirmed();
  void addSample(MemberIndex Member, Time SentAt);
  void updateMembers();

  std::string Database;
  record::GroupRecord Record;
  std::int64_t Revision = 0;
  std::vector<MemberState> Members;
  std::vector<std::deque<SentPing>> Pings;
  LogIndex ConfirmedIndex = 0;
  /// Highest commit that the primary of the active term reported.
  LogIndex PrimaryIndex = 0;
  std::map<Term, TermFreshness> FreshnessByTerm;
};

} // namespace borageridge::group

#endif // BORAGERIDGE_GROUP_GROUPVIEW_H
