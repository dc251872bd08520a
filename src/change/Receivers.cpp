#include "change/Receivers.h"

#include <algorithm>

namespace borageridge::change {
namespace {

bool contains(const Receivers &List, const cluster::Receiver &Process) {
  return std::find(List.begin(), List.end(), Process) != List.end();
}

} // namespace

// A member that starts again under the id that it had is another process, which
// holds nothing of what the former one received.
Receivers possibleReceivers(const cluster::GroupRecord &Record,
                            std::span<const catalog::Member> Members) {
  Receivers Result = Record.Receivers;
  for (const catalog::Member &M : Members)
    if (M.Id != Record.Primary && !contains(Result, {M.Id, M.Incarnation}))
      Result.push_back({M.Id, M.Incarnation});
  std::sort(Result.begin(), Result.end());
  return Result;
}

Receivers receiversAfterChange(const cluster::GroupRecord &Changing,
                               std::span<const catalog::Member> Members,
                               const MemberReport &NewPrimary) {
  Receivers Result = possibleReceivers(Changing, Members);
  // A primary that is back under a new id is the same log.
  const bool SameLog = NewPrimary.CurrentTerm == Changing.PrimaryTerm;
  if (!SameLog)
    Result.push_back({Changing.Primary, Changing.PrimaryIncarnation});
  std::erase_if(Result, [&](const cluster::Receiver &Each) {
    return Each.Member == NewPrimary.Member;
  });
  std::sort(Result.begin(), Result.end());
  return Result;
}

// A commit that was acknowledged is held by at least SyncReplicas receivers.
// One of them is left out only if as many others hold all that it can hold.
Receivers remainingReceivers(const Receivers &Possible,
                             std::span<const EndedReceiver> Ended,
                             std::span<const MemberReport> Reports,
                             std::size_t SyncReplicas) {
  Receivers Result = Possible;
  for (const EndedReceiver &Each : Ended) {
    const auto Holds = [&](const MemberReport &Report) {
      return Report.Received >= *Each.NothingAfter &&
             contains(Possible, {Report.Member, Report.Incarnation});
    };
    if (Each.NothingAfter &&
        std::count_if(Reports.begin(), Reports.end(), Holds) >=
            static_cast<std::ptrdiff_t>(SyncReplicas))
      std::erase(Result, Each.Process);
  }
  return Result;
}

} // namespace borageridge::change
