#include "admission/StartForecast.h"

#include <algorithm>

namespace borageridge::admission {
namespace {

// The pace may rise, for example when an endpoint that was silent for nearly
// half of the window answers again. A request that is refused too late has only
// waited in vain, while one that is refused too early could have been served.
constexpr double PaceMargin = 2.0;
// Fewer starts within the window do not show a pace.
constexpr std::uint64_t MinStarts = 5;

} // namespace

void StartForecast::sample(Time Now, std::uint64_t Started, bool Backlogged) {
  if (!Backlogged) {
    Recent.clear();
    return;
  }
  Recent.push_back({Now, Started});
  while (Recent.size() > 2 && Now - Recent[1].At >= Window)
    Recent.pop_front();
}

std::optional<std::size_t> StartForecast::startsWithin(Duration Left) const {
  if (Recent.empty())
    return std::nullopt;
  const Duration Measured = Recent.back().At - Recent.front().At;
  const std::uint64_t Starts = Recent.back().Started - Recent.front().Started;
  if (Measured < Window || Starts < MinStarts)
    return std::nullopt;
  const double Periods =
      std::max(0.0, std::chrono::duration<double>(Left) /
                        std::chrono::duration<double>(Measured));
  return static_cast<std::size_t>(PaceMargin * static_cast<double>(Starts) *
                                  Periods);
}

} // namespace borageridge::admission
