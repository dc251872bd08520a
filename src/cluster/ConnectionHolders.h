#ifndef BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H
#define BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H

#include <cstddef>
#include <cstdint>

namespace borageridge::cluster {

/// Whether only some daemons should hold connections to the members of a
/// service because equal shares would be too small.
bool needsConnectionHolders(std::uint32_t MaxConnections,
                            std::size_t LiveDaemons);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H
