#ifndef BORAGERIDGE_RUNTIME_CLOCK_H
#define BORAGERIDGE_RUNTIME_CLOCK_H

#include "borageridge/Types.h"

#include <cstdint>

namespace borageridge::runtime {

/// Time since the machine started, including time in which it was suspended.
Time bootTime();

/// Whole milliseconds, rounded down.
std::uint64_t toMilliseconds(Duration D);

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_CLOCK_H
