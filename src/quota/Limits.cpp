#include "quota/Limits.h"

#include <algorithm>

namespace borageridge::quota {
namespace {

// Enough for a daemon to ask ahead; tokens that are not used are lost to the
// others until they expire.
constexpr Duration MaxTokenLifetime = std::chrono::milliseconds(400);
// The other half of the slack covers the initial tokens of new holders.
constexpr double SlackInBuckets = 0.5;
constexpr double MaxInitialTokens = 2;
// Changes of the holder of a counter for which the slack suffices within one
// window.
constexpr double ChangesPerWindow = 5;

} // namespace

Duration tokenLifetime(const Tolerance &Allowed) {
  constexpr double UsedOverage = 0.8;
  return std::min<Duration>(
      MaxTokenLifetime, std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double, Duration::period>(
                                static_cast<double>(Allowed.Window.count()) *
                                Allowed.Overage * UsedOverage)));
}

double bucketSize(double Burst, const Tolerance &Allowed) {
  return (Burst * (1 + Allowed.Overage) + Allowed.Slack * SlackInBuckets) /
         CountersPerOrganisation;
}

double initialTokens(const Tolerance &Allowed) {
  return std::min(MaxInitialTokens,
                  Allowed.Slack * (1 - SlackInBuckets) / ChangesPerWindow);
}

} // namespace borageridge::quota
