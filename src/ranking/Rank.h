#ifndef BORAGERIDGE_RANKING_RANK_H
#define BORAGERIDGE_RANKING_RANK_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::ranking {

/// Name and availability zone of a proxy.
struct ProxyIdentity {
  std::string Name;
  std::string AvailabilityZone;

  friend bool operator==(const ProxyIdentity &,
                         const ProxyIdentity &) = default;
};

/// Returns the rank of Self among the live proxies of a database group by
/// rendezvous hashing. The proxy of rank 0 acts first. The result is the same
/// in every process. Self need not be in LiveProxies.
unsigned rankOf(std::string_view Self,
                std::span<const ProxyIdentity> LiveProxies,
                std::string_view Database);

/// Returns the indices of the proxies ordered by rank, the lowest first.
std::vector<std::size_t> rankedOrder(std::span<const ProxyIdentity> Proxies,
                                     std::string_view Database);

} // namespace borageridge::ranking

#endif // BORAGERIDGE_RANKING_RANK_H
