#ifndef BORAGERIDGE_ENTRY_COORDINATOR_H
#define BORAGERIDGE_ENTRY_COORDINATOR_H

#include "change/AbsenceTracker.h"
#include "change/ChangePolicy.h"
#include "change/LeadBack.h"
#include "change/ObservationTimer.h"
#include "change/PromotionCalls.h"
#include "change/Receivers.h"
#include "cluster/LocalLease.h"
#include "entry/Exchange.h"
#include "entry/State.h"
#include "http/HttpClient.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace borageridge::entry {

/// Detects the loss of a primary and replaces it. At any time at most one
/// daemon is the active coordinator, under a lease in the store; all daemons
/// compete for that lease.
class Coordinator {
public:
  Coordinator(State &Shared, Exchange &Network,
              runtime::tcp::endpoint PromotionService)
      : S(Shared), PeerExchange(Network),
        PromotionClient(Shared.Io, PromotionService) {}

  runtime::Task<void> run();
  /// Ends the coordinator lease, so that another daemon can take over without
  /// waiting for it to expire.
  runtime::Task<void> resign(std::string Reason);
  /// Resigns for a planned stop. Begins no change any more and completes those
  /// in progress, but begins no further step of them after Deadline.
  runtime::Task<void> stop(Time Deadline);

private:
  bool isActive(Time Now) const;
  /// Whether this daemon is still active in the role that it took with Token.
  bool holdsRole(cluster::Epoch Token, Time Now) const {
    return FencingToken == Token && isActive(Now);
  }
  void leaveRole(std::string_view Reason);
  bool mayBecomeActive(Time Now) const;
  bool reachesHalfOfFleet(Time Now) const;
  runtime::Task<void> tryBecomeActive();
  runtime::Task<void> renew();
  void examinePrimaries(Time Now);
  change::Cause causeOf(const std::string &Service, pool::ServicePool &Pool,
                        std::vector<change::PrimaryReport> &Reports, Time Now);
  runtime::Task<void> handleChange(std::string Service, change::Cause Reason);
  runtime::Task<bool> createRecord(std::string Service);
  runtime::Task<bool> confirmRecord(std::string Service, change::Cause Reason);
  runtime::Task<bool> confirmRestarted(std::string Service);
  runtime::Task<bool> confirmRestored(std::string Service);
  runtime::Task<Expected<keyvalue::Revision>>
  storedRevision(std::string Service, cluster::Epoch Known);
  runtime::Task<bool> changePrimary(std::string Service, change::Cause Reason);
  runtime::Task<bool> writeRecord(std::string Service,
                                  cluster::GroupRecord &Record,
                                  cluster::Epoch Replaces);
  runtime::Task<bool> revokeOldPrimary(std::string Service,
                                       cluster::GroupRecord Changing);
  runtime::Task<std::vector<change::MemberReport>>
  queryMembers(std::string Service);
  runtime::Task<std::optional<change::MemberReport>>
  queryMember(std::string Service, catalog::Member Info);
  /// The change of a primary, as far as it matters for the choice of the next.
  struct ChangeInProgress {
    change::Cause Reason = change::Cause::None;
    /// Whether another member was known to lead when the change began.
    bool IsSuperseded = false;
    cluster::GroupRecord Changing;
  };
  /// The member to promote, or the primary to which the change leads back.
  struct Successor {
    change::MemberReport Member;
    bool LeadsBack = false;
  };
  runtime::Task<std::size_t>
  countReceivers(std::string Service, cluster::GroupRecord Record,
                 std::vector<change::MemberReport> Reports);
  runtime::Task<std::optional<Successor>>
  findSuccessor(std::string Service, const ChangeInProgress &Change);
  runtime::Task<std::optional<Successor>>
  nameCandidate(std::string Service, ChangeInProgress &Change);
  std::optional<change::LeadBack>
  leadBack(const std::string &Service, const ChangeInProgress &Change,
           std::span<const change::MemberReport> Reports, Duration Waited,
           Time Now);
  void trackAbsences(Time Now);
  bool isRegistered(const cluster::Receiver &Process) const;
  std::vector<change::EndedReceiver>
  endedReceivers(const std::string &Service, const change::Receivers &Possible,
                 Time Now);
  /// Adds the members that are registered now.
  void addReceivers(const std::string &Service, cluster::GroupRecord &Record);
  bool hasOtherReceivers(const std::string &Service, Time Now);
  /// Whether the newest entries of the registry name none of the processes.
  runtime::Task<bool> areUnregistered(change::Receivers Processes);
  runtime::Task<change::Receivers>
  withoutEnded(std::string Service, change::Receivers Possible,
               std::vector<change::EndedReceiver> Ended,
               std::vector<change::MemberReport> Reports);
  runtime::Task<bool> confirmReceivers(std::string Service);
  bool isPausedAfterLeadBack(const std::string &Service, change::Cause Reason,
                             Time Now) const;
  runtime::Task<std::optional<change::MemberReport>>
  promoteCandidate(std::string Service, cluster::GroupRecord Changing,
                   Time CallFrom);
  enum class CallResult {
    Accepted,
    Refused,
    /// Certainly not, so that the call may be repeated soon.
    NotExecuted,
    /// The platform answered, but not whether it executes the call.
    Unclear,
    /// There was no answer.
    Unanswered,
  };
  runtime::Task<CallResult> callForPromotion(std::string Service,
                                             std::string Member,
                                             cluster::Epoch Token);
  /// The calls for promotions of a service; from the record if another
  /// coordinator wrote it.
  change::PromotionCalls &callsFor(const std::string &Service,
                                   const cluster::GroupRecord &Record,
                                   Time Now);
  /// Whether the member does not respond for so long that another is named.
  bool cannotTakeOver(const std::string &Service, const std::string &Member,
                      Time Now);
  void checkLead(const std::string &Service, Time Now);
  runtime::Task<bool> confirmSettled(std::string Service);
  std::int64_t incarnationOf(const std::string &Member) const;
  runtime::Task<void> endLease(keyvalue::LeaseId Id, keyvalue::Era GrantedIn);
  /// Ends the lead of a member that leads no newer term than this.
  runtime::Task<void> stepDown(std::string Service, std::string Member,
                               Term Led);
  pool::ServicePool *findPool(const std::string &Service);

  State &S;
  Exchange &PeerExchange;
  http::HttpClient PromotionClient;
  cluster::LocalLease CoordinatorLease;
  /// The write of this daemon's entry as active coordinator; 0 if it is not.
  cluster::Epoch FencingToken = 0;
  Time RenewedAt;
  /// When this daemon took the role.
  Time ActiveSince;
  /// Promotion calls that have not been answered.
  std::size_t CallsInFlight = 0;
  /// Candidates that did not take over although this daemon waited for them, or
  /// that are not running; by service.
  std::map<std::string, std::string> FailedCandidates;
  struct Calls {
    /// The last record that this daemon wrote; the calls are complete as long
    /// as no other coordinator has written one.
    cluster::Epoch WrittenAt = 0;
    change::PromotionCalls Made;
  };
  std::map<std::string, Calls> CallsByService;
  /// Highest term that a member of the service has reported.
  std::map<std::string, Term> NewestTerms;
  std::map<std::string, Time> LeadCheckedAt;
  /// Services whose primary is being changed.
  std::set<std::string> ChangesInProgress;
  /// Since when the primary of a service has not claimed the role, and since
  /// when it has not been registered; by service.
  std::map<std::string, change::ObservationTimer> NotLeadingSince;
  std::map<std::string, change::ObservationTimer> AbsentSince;
  /// Members whose promotion may still take effect and that are not
  /// registered; by service.
  std::map<std::string, change::AbsenceTracker<std::string>> ContendersAbsent;
  /// Receivers of the record that are not registered; by service.
  std::map<std::string, change::AbsenceTracker<cluster::Receiver>>
      ReceiversAbsent;
  struct ReceiverRetry {
    Duration Pause{};
    Time NotBefore;
  };
  /// The next attempt to leave out receivers that have ended; by service.
  std::map<std::string, ReceiverRetry> ReceiverRetries;
  /// When a change last led back to the primary of the record; by service.
  std::map<std::string, Time> LedBackAt;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_COORDINATOR_H
