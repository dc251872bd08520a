#include "admission/MemoryBudget.h"

namespace borageridge::admission {
namespace {

constexpr std::size_t StepBytes = std::size_t(64) << 10;

} // namespace

// The last rank is the victim: among equal steps the one with the oldest change
// has the largest negated time.
MemoryBudget::Rank MemoryBudget::rankOf(HolderId Holder, const Share &Held) {
  return {Held.Bytes / StepBytes, -Held.ChangedAt.time_since_epoch(), Holder};
}

void MemoryBudget::set(HolderId Holder, std::size_t Bytes, Time Now) {
  const auto Known = Holders.find(Holder);
  if (Known != Holders.end() && Known->second.Bytes == Bytes)
    return;
  remove(Holder);
  if (Bytes < MinCounted)
    return;
  const Share Held{Bytes, Now};
  Holders.emplace(Holder, Held);
  Ranking.insert(rankOf(Holder, Held));
  Total += Bytes;
}

void MemoryBudget::remove(HolderId Holder) {
  const auto Known = Holders.find(Holder);
  if (Known == Holders.end())
    return;
  Total -= Known->second.Bytes;
  Ranking.erase(rankOf(Holder, Known->second));
  Holders.erase(Known);
}

std::optional<MemoryBudget::HolderId> MemoryBudget::victim() const {
  if (Total <= Limit || Ranking.empty())
    return std::nullopt;
  return Ranking.rbegin()->Holder;
}

} // namespace borageridge::admission
