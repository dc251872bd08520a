#ifndef BORAGERIDGE_ENTRY_COORDINATOR_H
#define BORAGERIDGE_ENTRY_COORDINATOR_H

#include "change/ChangePolicy.h"
#include "change/ObservationTimer.h"
#include "cluster/LocalLease.h"
#include "entry/Exchange.h"
#include "entry/State.h"
#include "http/HttpClient.h"

#include <set>
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

private:
  bool isActive(Time Now) const;
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
  runtime::Task<std::optional<change::MemberReport>>
  selectCandidate(std::string Service, std::string Old);
  runtime::Task<std::optional<change::MemberReport>>
  promote(std::string Service, change::MemberReport Candidate, Term OldTerm);
  runtime::Task<void> endLease(keyvalue::LeaseId Id, keyvalue::Era GrantedIn);
  runtime::Task<void> stepDown(pool::ServicePool &Pool, std::string Service,
                               cluster::GroupRecord Old);
  pool::ServicePool *findPool(const std::string &Service);

  State &S;
  Exchange &PeerExchange;
  http::HttpClient PromotionClient;
  cluster::LocalLease CoordinatorLease;
  /// The write of this daemon's entry as active coordinator; 0 if it is not.
  cluster::Epoch FencingToken = 0;
  Time RenewedAt;
  /// Services whose primary is being changed.
  std::set<std::string> ChangesInProgress;
  /// Since when the primary of a service has not claimed the role, and since
  /// when it has not been registered; by service.
  std::map<std::string, change::ObservationTimer> NotLeadingSince;
  std::map<std::string, change::ObservationTimer> AbsentSince;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_COORDINATOR_H
