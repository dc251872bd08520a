#include "ranking/Rank.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace borageridge::ranking {
namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

/// Weight of a proxy for a database. SHA-256 has no seed, so that all processes
/// compute the same weight.
Digest weight(std::string_view Proxy, std::string_view Database) {
  std::string Text(Database);
  Text.push_back('\0');
  Text.append(Proxy);
  Digest Result;
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Result.data());
  return Result;
}

} // namespace

std::vector<std::size_t> rankedOrder(std::span<const ProxyIdentity> Proxies,
                                     std::string_view Database) {
  std::vector<std::pair<Digest, std::size_t>> Weights;
  Weights.reserve(Proxies.size());
  for (std::size_t I = 0; I < Proxies.size(); ++I)
    Weights.emplace_back(weight(Proxies[I].Name, Database), I);
  std::ranges::sort(Weights, std::greater<>());
  std::vector<std::size_t> Order;
  Order.reserve(Proxies.size());
  for (const auto &[Weight, Index] : Weights)
    Order.push_back(Index);
  return Order;
}

unsigned rankOf(std::string_view Self,
                std::span<const ProxyIdentity> LiveProxies,
                std::string_view Database) {
  const Digest Own = weight(Self, Database);
  return static_cast<unsigned>(
      std::ranges::count_if(LiveProxies, [&](const ProxyIdentity &Proxy) {
        return Proxy.Name != Self && weight(Proxy.Name, Database) > Own;
      }));
}

} // namespace borageridge::ranking
