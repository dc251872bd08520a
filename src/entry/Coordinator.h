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

/// Replaces primaries. One daemon at a time has the duty, under a lease of the
/// store; all daemons compete for it.
class Coordinator {
public:
  Coordinator(State &Shared, Exchange &Network,
              runtime::tcp::endpoint PromotionService)
      : S(Shared), Others(Network), Platform(Shared.Io, PromotionService) {}

  runtime::Task<void> run();
  /// Gives the duty up, so that another daemon takes it at once.
  runtime::Task<void> resign(std::string Why);

private:
  bool holdsDuty(Time Now) const;
  bool seesPeers(Time Now) const;
  runtime::Task<void> compete();
  runtime::Task<void> renew();
  void evaluate(Time Now);
  change::Cause causeOf(const std::string &Service, pool::ServicePool &Pool,
                        std::vector<change::PrimaryReport> &About, Time Now);
  runtime::Task<void> handle(std::string Service, change::Cause Why);
  runtime::Task<bool> createRecord(std::string Service);
  runtime::Task<bool> confirmRestarted(std::string Service);
  runtime::Task<bool> change(std::string Service, change::Cause Why);
  runtime::Task<bool> writeRecord(std::string Service,
                                  cluster::GroupRecord &Record,
                                  std::uint64_t Replaces);
  runtime::Task<bool> endOldUse(std::string Service,
                                cluster::GroupRecord Changing);
  runtime::Task<std::vector<change::MemberReport>>
  askMembers(std::string Service);
  runtime::Task<std::optional<change::MemberReport>>
  askMember(std::string Service, catalog::Member Info);
  runtime::Task<std::optional<change::MemberReport>>
  selectCandidate(std::string Service, std::string Old);
  runtime::Task<std::optional<change::MemberReport>>
  promote(std::string Service, change::MemberReport Candidate, Term OldTerm);
  runtime::Task<void> endLease(keyvalue::LeaseId Id);
  runtime::Task<void> stepDown(pool::ServicePool &Pool, std::string Service,
                               cluster::GroupRecord Old);
  pool::ServicePool *pool(const std::string &Service);

  State &S;
  Exchange &Others;
  http::HttpClient Platform;
  cluster::LocalLease Duty;
  std::uint64_t FencingToken = 0;
  Time RenewedAt;
  std::set<std::string> Running;
  /// By service.
  std::map<std::string, change::ObservationTimer> NotLeading;
  std::map<std::string, change::ObservationTimer> Gone;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_COORDINATOR_H
