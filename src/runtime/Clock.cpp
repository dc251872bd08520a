#include "runtime/Clock.h"

#include <ctime>

namespace borageridge::runtime {

// std::chrono::steady_clock stops while the machine is suspended, so a lease
// timed with it would outlive its TTL.
Time bootTime() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Time(std::chrono::seconds(Now.tv_sec) +
              std::chrono::nanoseconds(Now.tv_nsec));
}

Time steadyTime() { return std::chrono::steady_clock::now(); }

std::chrono::system_clock::time_point wallTime() {
  return std::chrono::system_clock::now();
}

std::chrono::system_clock::time_point callDeadline(Duration Timeout) {
  return wallTime() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             Timeout);
}

std::uint64_t toMilliseconds(Duration D) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(D).count());
}

} // namespace borageridge::runtime
