#include "group/FreshnessSamples.h"

#include <algorithm>

namespace borageridge::group {

void FreshnessSamples::add(Time AsOf, LogIndex Index) {
  // Answers may arrive out of order. A sample older than the latest one adds no
  // information.
  if (!Samples.empty() && AsOf <= Samples.back().AsOf)
    return;
  Samples.push_back({AsOf, Index});
  if (Samples.size() > MaxSamples)
    thin();
}

std::optional<Time> FreshnessSamples::asOf(LogIndex Reached,
                                           Time NotAfter) const {
  for (auto It = Samples.rbegin(); It != Samples.rend(); ++It)
    if (It->Index <= Reached && It->AsOf <= NotAfter)
      return It->AsOf;
  return std::nullopt;
}

std::optional<Time> FreshnessSamples::behindSince(LogIndex Reached) const {
  for (const Sample &S : Samples)
    if (S.Index > Reached)
      return S.AsOf;
  return std::nullopt;
}

// Drops every other sample of the older half, so that large ages can still be
// determined, with less precision.
void FreshnessSamples::thin() {
  std::deque<Sample> Kept;
  const std::size_t Half = Samples.size() / 2;
  for (std::size_t I = 0; I < Samples.size(); ++I)
    if (I >= Half || I % 2 == 0)
      Kept.push_back(Samples[I]);
  Samples = std::move(Kept);
}

} // namespace borageridge::group
