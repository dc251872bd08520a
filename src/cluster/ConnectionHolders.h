#ifndef BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H
#define BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H

#include "cluster/Records.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::cluster {

/// Whether only some daemons should hold connections to the members of a
/// service because equal shares would be too small.
bool needsConnectionHolders(std::uint32_t MaxConnections,
                            std::size_t LiveDaemons);

/// Returns the daemons that may hold connections to a service for callers of
/// one availability zone, in order of preference: daemons of the zone first,
/// then the others, each group ordered by rendezvous hashing. The result
/// depends only on the set of live daemons and is the same in every process
/// that knows them.
std::vector<std::string>
rankConnectionHolders(std::span<const DaemonRecord> Live,
                      std::string_view Service,
                      std::string_view AvailabilityZone);

/// Returns the first choice of each availability zone that has live daemons.
std::vector<std::string> connectionHolders(std::span<const DaemonRecord> Live,
                                           std::string_view Service);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_CONNECTIONHOLDERS_H
