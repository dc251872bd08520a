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
  /// A change was started but not completed.
  Interrupted,
  /// The record was written before the store was restored, so a newer one may
  /// be lost.
  Restored,
  Leaving,
  Unreachable,
  /// The primary no longer claims the role.
  NotLeading,
  /// The primary has restarted and may have lost its log.
  Restarted,
  /// The primary is no longer registered.
  Gone,
  /// Promotions that the record lists as unsettled cannot take effect any more.
  Settled,
  /// Other members may receive synchronous commits than the record lists.
  Receivers,
};
std::string_view name(Cause Why);

/// Entries that expired during an outage of the registry are back within two
/// seconds after its end; a member without one for this time counts as ended.
constexpr Duration GoneConfirmation = std::chrono::milliseconds(2500);

/// One daemon's observation of the member that it knows as the primary.
struct PrimaryReport {
  std::string Member;
  /// None if the member responds to the daemon.
  std::optional<pool::Evidence> Seen;
};
using PrimaryReports = std::span<const PrimaryReport>;

/// Returns the number of reports that confirm the primary unreachable. Reports
/// about another member, for example its predecessor, do not count.
std::size_t confirmations(PrimaryReports Reports, std::string_view Primary);

/// Whether the primary counts as unreachable. LiveDaemons is the number of
/// daemons that hold a lease, whether they reported or not. One of several
/// daemons cannot confirm it alone.
bool isUnreachable(PrimaryReports Reports, std::string_view Primary,
                   std::size_t LiveDaemons);

/// The known state of one service.
struct ServiceObservation {
  cluster::GroupRecord Record;
  std::span<const catalog::Member> Members;
  /// Members that do not respond to the coordinator.
  std::span<const std::string> Suspected = {};
  PrimaryReports Reports;
  std::size_t LiveDaemons = 1;
  keyvalue::Era StoreEra = keyvalue::FirstEra;
  /// Start of the time in which the recorded primary has not claimed the role.
  std::optional<Time> NotLeadingSince;
  /// Start of the time in which the recorded primary has not been registered.
  std::optional<Time> GoneSince;
  /// Whether another member is known to have taken over from the primary.
  bool IsSuperseded = false;
  /// Whether the record lists unsettled members that are settled.
  bool HasSettled = false;
  /// Whether the record lists other receivers than there are.
  bool HasOtherReceivers = false;
};

Cause changeCause(const ServiceObservation &Known, Time Now);

/// A member's reply to a request for its state.
struct MemberReport {
  std::string Member;
  bool Leaving = false;
  bool Primary = false;
  Term CurrentTerm = 0;
  Position Received;
  /// The incarnation that is registered for it.
  std::int64_t Incarnation = 0;
};

/// Returns the member that leads a newer term than OldTerm as the result of the
/// change, if it does already. Candidate: the member that the record of the
/// change names; empty if it names none.
std::optional<MemberReport> findNewLeader(std::span<const MemberReport> Reports,
                                          Term OldTerm,
                                          std::string_view Candidate);

/// Time for a replica to receive what the old primary has committed. One that
/// receives the log lags only by the network latency.
constexpr Duration CatchUpTimeout = std::chrono::milliseconds(600);

struct CandidateRules {
  std::string OldPrimary;
  /// Members other than the old primary: those registered, or with synchronous
  /// replicas those that may have received commits.
  std::size_t Replicas = 0;
  /// Number of replicas that must receive a commit before it is acknowledged.
  std::size_t SyncReplicas = 0;
  /// Time spent waiting for the reports of all replicas.
  Duration Waited{};
  /// A member that did not take over when it was named; empty if none. Without
  /// synchronous replicas, any other is preferred.
  std::string Failed = {};
  /// Term of the old primary, which it still leads if it is back under another
  /// id; 0 if unknown.
  Term OldTerm = 0;
};

/// Returns the member to promote, or none while more reports are needed. With
/// synchronous replicas, the member has every acknowledged commit.
std::optional<MemberReport>
chooseCandidate(std::span<const MemberReport> Reports,
                const CandidateRules &Rules);

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_CHANGEPOLICY_H
