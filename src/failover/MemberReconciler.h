#ifndef BORAGERIDGE_FAILOVER_MEMBERRECONCILER_H
#define BORAGERIDGE_FAILOVER_MEMBERRECONCILER_H

#include "borageridge/Types.h"
#include "failover/Actions.h"

#include <map>
#include <string>
#include <string_view>

namespace borageridge::failover {

/// Brings members to the term of a record in phase Active or Promoting. All
/// actions are idempotent, so that any proxy may repeat them at any time.
class MemberReconciler {
public:
  /// Returns actions for the members whose status is behind the record, at most
  /// once per member within the minimum interval. Members without a status get
  /// none.
  Actions reconcileMembers(const record::GroupRecord &Record,
                           const MemberStatuses &Statuses, Time Now);

private:
  bool isDue(std::string_view Member, Time Now);

  std::map<std::string, Time, std::less<>> LastRound;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_MEMBERRECONCILER_H
