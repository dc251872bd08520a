#ifndef BORAGERIDGE_FAILOVER_RANK_H
#define BORAGERIDGE_FAILOVER_RANK_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::failover {

/// A proxy as evidence and ranks name it.
struct ProxyIdentity {
  std::string Name;
  std::string AvailabilityZone;

  friend bool operator==(const ProxyIdentity &,
                         const ProxyIdentity &) = default;
};

/// Position of Self among the live proxies of a database group by rendezvous
/// hashing; 0 acts first. The result is the same in every process. Self need
/// not be in LiveProxies.
unsigned rankOf(std::string_view Self,
                std::span<const ProxyIdentity> LiveProxies,
                std::string_view Database);

/// Indices of the proxies in the order of their ranks, the first to act first.
std::vector<std::size_t> rankedOrder(std::span<const ProxyIdentity> Proxies,
                                     std::string_view Database);

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_RANK_H
