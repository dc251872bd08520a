#ifndef BORAGERIDGE_RUNTIME_CLOCK_H
#define BORAGERIDGE_RUNTIME_CLOCK_H

#include "borageridge/Types.h"

#include <chrono>
#include <cstdint>

namespace borageridge::runtime {

/// Time since boot, including time in which the machine was suspended.
Time bootTime();

/// Time of the steady clock, which stops while the machine is suspended.
Time steadyTime();

/// Wall clock time, which may jump in either direction.
std::chrono::system_clock::time_point wallTime();

/// Deadline for a gRPC call that starts now.
std::chrono::system_clock::time_point callDeadline(Duration Timeout);

/// Converts to milliseconds, truncating.
std::uint64_t toMilliseconds(Duration D);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_CLOCK_H
