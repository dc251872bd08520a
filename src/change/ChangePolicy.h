#ifndef BORAGERIDGE_CHANGE_CHANGEPOLICY_H
#define BORAGERIDGE_CHANGE_CHANGEPOLICY_H

#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "cluster/Records.h"
#include "pool/MemberHealth.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace borageridge::change {

/// Why the primary of a service must be changed or confirmed.
enum class Cause {
  None,
  /// No record names a primary yet.
  NoRecord,
  /// A change was begun and not completed.
  Interrupted,
  Leaving,
  Unreachable,
  /// It no longer sees itself as the primary.
  NotLeading,
  /// It has started anew and may have lost its log.
  Restarted,
  /// It is no longer registered.
  Gone,
};
std::string_view name(Cause Why);

/// What one daemon has seen of the member that it knows as the primary.
struct PrimaryReport {
  std::string Member;
  /// None if the member answers it.
  std::optional<pool::Evidence> Seen;
};
using Reports = std::span<const PrimaryReport>;

/// Number of reports that show the primary unreachable. Reports about another
/// member, for example its predecessor, do not count.
std::size_t confirmations(Reports About, std::string_view Primary);

/// Whether the primary counts as unreachable. LiveDaemons: all that hold a
/// lease, whether they reported or not; a daemon that is alone in losing the
/// primary decides nothing.
bool isUnreachable(Reports About, std::string_view Primary,
                   std::size_t LiveDaemons);

/// What is known of one service.
struct Situation {
  cluster::GroupRecord Record;
  std::span<const catalog::Member> Members;
  Reports About;
  std::size_t LiveDaemons = 1;
  /// Since when the member named primary has denied to be it.
  std::optional<Time> NotLeadingSince;
  std::optional<Time> GoneSince;
};

Cause changeCause(const Situation &Known, Time Now);

/// What a member answered when asked for its state.
struct MemberReport {
  std::string Member;
  bool Leaving = false;
  bool Primary = false;
  Term CurrentTerm = 0;
  Position Received;
};

struct CandidateRules {
  std::string OldPrimary;
  /// Registered members other than the old primary.
  std::size_t Replicas = 0;
  /// Replicas that have received each acknowledged commit.
  std::size_t SyncReplicas = 0;
  /// Without reports of all replicas for this long.
  Duration Waited{};
};

/// The member to promote, or none while further reports must be waited for.
std::optional<MemberReport> chooseCandidate(std::span<const MemberReport> From,
                                            const CandidateRules &Rules);

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_CHANGEPOLICY_H
