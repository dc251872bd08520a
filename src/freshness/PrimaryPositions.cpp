#include "freshness/PrimaryPositions.h"

#include <algorithm>
#include <cstddef>

namespace borageridge::freshness {
namespace {

// Spacing of kept samples: a read asks a replica for a position at most this
// much newer than it has to.
constexpr Duration Spacing = std::chrono::milliseconds(50);
// Samples older than any accepted age are of no use; 256 at the spacing above
// are 12.8 s.
constexpr std::size_t MaxSamples = 256;

} // namespace

void PrimaryPositions::add(Time AsOf, Position At) {
  if (!Samples.empty()) {
    Sample &Last = Samples.back();
    if (AsOf <= Last.AsOf)
      return;
    const bool CloseToPrevious =
        Samples.size() > 1 && AsOf - Samples[Samples.size() - 2].AsOf < Spacing;
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
