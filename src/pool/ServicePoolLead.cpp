#include "pool/ServicePool.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;

constexpr Duration LeadQueryTimeout = std::chrono::milliseconds(300);
// A connection may be reset once by the network; a process that does not run
// refuses each.
constexpr Duration NotRunningConfirmation = std::chrono::milliseconds(150);

} // namespace

bool ServicePool::hasContenders() const {
  return std::any_of(
      Record.Unsettled.begin(), Record.Unsettled.end(),
      [&](const std::string &Member) { return Member != Record.Primary; });
}

std::vector<std::string> ServicePool::contenders() const {
  std::vector<std::string> Result = Record.Unsettled;
  std::erase(Result, Record.Primary);
  return Result;
}

bool ServicePool::canConfirmLead(Time Now) const {
  if (isSuperseded())
    return false;
  if (!hasContenders())
    return true;
  const std::vector<std::string> Asked = contenders();
  return std::none_of(
      Asked.begin(), Asked.end(), [&](const std::string &Member) {
        const MemberState *M = find(Member);
        return M != nullptr && M->Registered && M->Health.isSuspected(Now) &&
               !M->Health.isRefusing(NotRunningConfirmation, Now);
      });
}

Task<bool> ServicePool::confirmLead(Duration Limit) {
  if (!hasContenders())
    co_return true;
  co_return co_await LeadCheck.run(Limit);
}

Task<ServicePool::LeadAnswer> ServicePool::askForLead(std::string Member) {
  const MemberState *Known = find(Member);
  if (Known == nullptr || !Known->Registered)
    co_return LeadAnswer::NotRunning;
  const Expected<statement::Reply, CallFailure> Answer =
      co_await callMember(Member, platform::encodeStatus(), LeadQueryTimeout);
  if (!Answer) {
    Known = find(Member);
    const bool IsRefusing =
        Known != nullptr &&
        Known->Health.isRefusing(NotRunningConfirmation, bootTime());
    co_return IsRefusing ? LeadAnswer::NotRunning : LeadAnswer::None;
  }
  const auto Status = Answer.value().Error
                          ? std::nullopt
                          : platform::decodeStatus(Answer.value().Rows);
  if (!Status)
    co_return LeadAnswer::None;
  co_return Status->CurrentTerm > Record.PrimaryTerm ? LeadAnswer::Superseded
                                                     : LeadAnswer::NotLeading;
}

// A member that does not run now may have taken over before it ended; then the
// others know its term.
Task<std::optional<bool>> ServicePool::askContenders() {
  const std::uint64_t Epoch = Record.Epoch;
  const std::vector<std::string> Asked = contenders();
  bool AsksOthers = false;
  for (const std::string &Member : Asked) {
    const LeadAnswer Seen = co_await askForLead(Member);
    if (Record.Epoch != Epoch || Seen == LeadAnswer::None)
      co_return std::nullopt;
    if (Seen == LeadAnswer::Superseded)
      co_return recordSuperseded(Member);
    AsksOthers = AsksOthers || Seen == LeadAnswer::NotRunning;
  }
  if (!AsksOthers)
    co_return true;
  for (const catalog::Member &Info : members()) {
    if (std::find(Asked.begin(), Asked.end(), Info.Id) != Asked.end())
      continue;
    const LeadAnswer Seen = co_await askForLead(Info.Id);
    // The primary of the record may not have heard of its successor.
    const bool IsEvidence = Info.Id != Record.Primary;
    if (Record.Epoch != Epoch || (Seen == LeadAnswer::None && IsEvidence))
      co_return std::nullopt;
    if (Seen == LeadAnswer::Superseded)
      co_return recordSuperseded(Info.Id);
  }
  co_return true;
}

bool ServicePool::recordSuperseded(const std::string &ShownBy) {
  SupersededEpoch = Record.Epoch;
  Shared.Log.write(entry::event::PrimarySuperseded, Service, Record.Epoch,
                   Record.Primary, ShownBy);
  return false;
}

} // namespace borageridge::pool
