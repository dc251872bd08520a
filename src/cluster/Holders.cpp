#include "cluster/Holders.h"

#include "ranking/Rank.h"

#include <set>

namespace borageridge::cluster {
namespace {

// With a smaller share a daemon could not run a write beside a transaction that
// rests.
constexpr std::uint32_t SmallestShare = 2;

} // namespace

bool needsHolders(std::uint32_t MaxConnections, std::size_t LiveDaemons) {
  return MaxConnections < SmallestShare * LiveDaemons;
}

std::vector<std::string> holderRanking(std::span<const DaemonRecord> Live,
                                       std::string_view Service,
                                       std::string_view AvailabilityZone) {
  std::vector<ranking::ProxyIdentity> All;
  All.reserve(Live.size());
  for (const DaemonRecord &D : Live)
    All.push_back({D.Name, D.AvailabilityZone});
  std::vector<std::string> Result;
  std::vector<std::string> Elsewhere;
  for (const std::size_t Index : ranking::rankedOrder(All, Service)) {
    const bool Own = Live[Index].AvailabilityZone == AvailabilityZone;
    (Own ? Result : Elsewhere).push_back(Live[Index].Name);
  }
  Result.insert(Result.end(), Elsewhere.begin(), Elsewhere.end());
  return Result;
}

std::vector<std::string> holders(std::span<const DaemonRecord> Live,
                                 std::string_view Service) {
  std::set<std::string> Zones;
  for (const DaemonRecord &D : Live)
    Zones.insert(D.AvailabilityZone);
  std::vector<std::string> Result;
  Result.reserve(Zones.size());
  for (const std::string &Zone : Zones)
    Result.push_back(holderRanking(Live, Service, Zone).front());
  return Result;
}

} // namespace borageridge::cluster
