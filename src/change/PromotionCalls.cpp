#include "change/PromotionCalls.h"

namespace borageridge::change {

PromotionCalls::PromotionCalls(const cluster::GroupRecord &Record, Time Now) {
  for (const std::string &Member : Record.Unsettled)
    addUnknown(Member, Now);
  if (Record.Changing && !Record.Candidate.empty())
    addUnknown(Record.Candidate, Now);
}

void PromotionCalls::add(const std::string &Member, Time Now) {
  State &Calls = ByMember[Member];
  ++Calls.Open;
  Calls.LastCall = Now;
}

void PromotionCalls::addUnknown(const std::string &Member, Time Now) {
  State &Calls = ByMember[Member];
  Calls.HasUnknown = true;
  Calls.LastCall = Now;
}

void PromotionCalls::removeLast(std::string_view Member) {
  const auto Found = ByMember.find(Member);
  if (Found != ByMember.end() && Found->second.Open > 0)
    --Found->second.Open;
}

void PromotionCalls::recordEffect(std::string_view Member) {
  const auto Found = ByMember.find(Member);
  if (Found != ByMember.end() && Found->second.Open == 1 &&
      !Found->second.HasUnknown)
    Found->second.Open = 0;
}

std::vector<std::string> PromotionCalls::unsettled(Time Now) const {
  std::vector<std::string> Result;
  for (const auto &[Member, Calls] : ByMember)
    if ((Calls.Open > 0 || Calls.HasUnknown) && Now - Calls.LastCall < Lifetime)
      Result.push_back(Member);
  return Result;
}

} // namespace borageridge::change
