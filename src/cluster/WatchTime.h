#ifndef BORAGERIDGE_CLUSTER_WATCHTIME_H
#define BORAGERIDGE_CLUSTER_WATCHTIME_H

#include "borageridge/Types.h"

#include <cstddef>

namespace borageridge::cluster {

/// Returns how long a watch of the configuration waits for a change. The answer
/// to a watch can be lost with its connection, and is then missed for this
/// long. The time grows with the fleet, so that the fleet together begins no
/// more watches than a small one: in a large fleet some daemon begins one every
/// fraction of a second, and tells its peers of a newer version.
Duration configWatchTime(std::size_t LiveDaemons);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_WATCHTIME_H
