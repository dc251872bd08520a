#include "cluster/WatchTime.h"

#include <algorithm>

namespace borageridge::cluster {
namespace {

// Half of the time within which a new configuration must be applied.
constexpr Duration MinWatchTime = std::chrono::milliseconds(2500);
// Below the longest wait that the store accepts.
constexpr Duration MaxWatchTime = std::chrono::seconds(20);
// Largest fleet in which the watch is not extended.
constexpr std::size_t SmallFleet = 12;

} // namespace

Duration configWatchTime(std::size_t LiveDaemons) {
  const auto Factor =
      static_cast<Duration::rep>(std::max(LiveDaemons, SmallFleet));
  return std::min<Duration>(MaxWatchTime,
                            MinWatchTime * Factor /
                                static_cast<Duration::rep>(SmallFleet));
}

} // namespace borageridge::cluster
