#ifndef BORAGERIDGE_CLUSTER_HOLDERS_H
#define BORAGERIDGE_CLUSTER_HOLDERS_H

#include "cluster/Records.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::cluster {

/// Whether only some daemons can hold connections to the members of a service,
/// because equal shares would be too small to be of use.
bool needsHolders(std::uint32_t MaxConnections, std::size_t LiveDaemons);

/// The daemons that may hold the connections of a service for callers of one
/// availability zone, the first choice first: those of the zone, then the
/// others, each by rendezvous hashing. The same in every process that knows
/// the same daemons.
std::vector<std::string> holderRanking(std::span<const DaemonRecord> Live,
                                       std::string_view Service,
                                       std::string_view AvailabilityZone);

/// The first choice of each availability zone that has daemons.
std::vector<std::string> holders(std::span<const DaemonRecord> Live,
                                 std::string_view Service);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_HOLDERS_H
