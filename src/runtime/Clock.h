#ifndef BORAGERIDGE_RUNTIME_CLOCK_H
#define BORAGERIDGE_RUNTIME_CLOCK_H

#include "borageridge/Types.h"

#include <chrono>
#include <cstdint>

namespace borageridge::runtime {

/// Time since the machine started, including time in which it was suspended.
Time bootTime();

/// Time of the steady clock, which stands still while the machine is suspended.
Time steadyTime();

/// Time of the wall clock, which may jump.
std::chrono::system_clock::time_point wallTime();

/// Deadline, as gRPC counts it, of a call that starts now.
std::chrono::system_clock::time_point callDeadline(Duration Timeout);

/// Whole milliseconds, rounded down.
std::uint64_t toMilliseconds(Duration D);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_CLOCK_H
