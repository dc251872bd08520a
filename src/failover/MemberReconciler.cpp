#include "failover/MemberReconciler.h"

#include "failover/RecordSteps.h"

namespace borageridge::failover {
namespace {

/// Statuses arrive once per ping interval, and the answer to an action takes
/// less than two intervals.
constexpr Duration MinRoundInterval = std::chrono::milliseconds(200);

PromoteMember promoteAction(const record::GroupRecord &Record) {
  PromoteMember Result{Record.primary(), {}};
  Result.Request.set_term(Record.term());
  *Result.Request.mutable_start() = startOf(Record);
  return Result;
}

FollowMember followAction(const record::GroupRecord &Record,
                          const std::string &Member) {
  FollowMember Result{Member, {}};
  Result.Request.set_term(Record.term());
  Result.Request.set_primary_address(
      std::string(addressOf(Record, Record.primary())));
  *Result.Request.mutable_start() = startOf(Record);
  return Result;
}

SealMember sealAction(const record::GroupRecord &Record,
                      const std::string &Member) {
  SealMember Result{Member, {}};
  Result.Request.set_term(Record.term());
  return Result;
}

} // namespace

Actions MemberReconciler::reconcileMembers(const record::GroupRecord &Record,
                                           const MemberStatuses &Statuses,
                                           Time Now) {
  Actions Out;
  if (Record.phase() != record::PHASE_ACTIVE &&
      Record.phase() != record::PHASE_PROMOTING)
    return Out;
  for (const record::Member &Member : Record.members()) {
    const auto Found = Statuses.find(Member.name());
    if (Found == Statuses.end() || Found->second.term() >= Record.term() ||
        Found->second.sealed_term() > Record.term())
      continue;
    if (!isDue(Member.name(), Now))
      continue;
    if (Found->second.sealed_term() < Record.term())
      Out.emplace_back(sealAction(Record, Member.name()));
    if (Member.name() == Record.primary())
      Out.emplace_back(promoteAction(Record));
    else
      Out.emplace_back(followAction(Record, Member.name()));
  }
  return Out;
}

bool MemberReconciler::isDue(std::string_view Member, Time Now) {
  const auto [Entry, IsNew] = LastRound.try_emplace(std::string(Member), Now);
  if (!IsNew && Now - Entry->second < MinRoundInterval)
    return false;
  Entry->second = Now;
  return true;
}

} // namespace borageridge::failover
