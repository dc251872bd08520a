#include "quota/Limits.h"

#include <algorithm>

namespace borageridge::quota {
namespace {

// Enough for a daemon to ask ahead; tokens that are not used are lost to the
// others until they expire.
constexpr Duration MaxTokenLifetime = std::chrono::milliseconds(400);
// Part of the overage by which counters exceed the rate, so that operations of
// an organisation close to its limit are not refused because others of it were
// repeated. The rest covers the lifetime of tokens.
constexpr double OverageInRate = 0.45;
// The other half of the slack covers the initial tokens of new holders.
constexpr double SlackInBuckets = 0.5;
constexpr double MaxInitialTokens = 2;
// Changes of the holder of a counter for which the slack suffices within one
// window.
constexpr double ChangesPerWindow = 5;

} // namespace

double grantedRate(double RatePerSecond, const Tolerance &Allowed) {
  return RatePerSecond * (1 + Allowed.Overage * OverageInRate);
}

// In a window, tokens of the window and of the lifetime before it are used.
Duration tokenLifetime(const Tolerance &Allowed) {
  constexpr double Margin = 0.9;
  const double Left =
      (1 + Allowed.Overage) / (1 + Allowed.Overage * OverageInRate) - 1;
  return std::min<Duration>(
      MaxTokenLifetime,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, Duration::period>(
              static_cast<double>(Allowed.Window.count()) * Left * Margin)));
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
