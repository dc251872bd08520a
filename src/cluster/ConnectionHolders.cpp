#include "cluster/ConnectionHolders.h"

namespace borageridge::cluster {
namespace {

// With a smaller share a daemon could not execute a write while a transaction
// idles on its only connection.
constexpr std::uint32_t MinShare = 2;

} // namespace

bool needsConnectionHolders(std::uint32_t MaxConnections,
                            std::size_t LiveDaemons) {
  return MaxConnections < MinShare * LiveDaemons;
}

} // namespace borageridge::cluster
