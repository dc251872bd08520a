#ifndef BORAGERIDGE_RUNTIME_CLOCK_H
#define BORAGERIDGE_RUNTIME_CLOCK_H

#include "borageridge/Types.h"

namespace borageridge::runtime {

/// Time since the machine started, including time in which it was suspended.
Time bootTime();

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_CLOCK_H
