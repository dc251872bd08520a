#include "freshness/PrimaryPositions.h"

#include <algorithm>
#include <cstddef>

namespace borageridge::freshness {
namespace {

// Minimum time between a sample and the next but one. A read requires of a
// replica a position that is less than this newer than necessary.
constexpr Duration SampleSpacing = std::chrono::milliseconds(50);
// 256 samples at the spacing above cover at least 6.3 s. A read that accepts
// older data uses the oldest sample, which is stricter than necessary.
constexpr std::size_t MaxSamples = 256;

} // namespace

void PrimaryPositions::add(Time AsOf, Position At) {
  if (!Samples.empty()) {
    Sample &Last = Samples.back();
    if (AsOf <= Last.AsOf)
      return;
    const bool CloseToPrevious =
        Samples.size() > 1 &&
        AsOf - Samples[Samples.size() - 2].AsOf < SampleSpacing;
    if (CloseToPrevious) {
      Last = {AsOf, At};
      return;
    }
  }
  Samples.push_back({AsOf, At});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

std::optional<Position> PrimaryPositions::covering(Time NotBefore) const {
  const auto First = std::lower_bound(
      Samples.begin(), Samples.end(), NotBefore,
      [](const Sample &S, Time Wanted) { return S.AsOf < Wanted; });
  if (First == Samples.end())
    return std::nullopt;
  return First->At;
}

std::optional<PrimaryPositions::Sample> PrimaryPositions::newest() const {
  if (Samples.empty())
    return std::nullopt;
  return Samples.back();
}

} // namespace borageridge::freshness
