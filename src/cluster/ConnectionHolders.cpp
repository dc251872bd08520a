#include "cluster/ConnectionHolders.h"

#include "ranking/Rank.h"

#include <set>

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

std::vector<std::string>
rankConnectionHolders(std::span<const DaemonRecord> Live,
                      std::string_view Service,
                      std::string_view AvailabilityZone) {
  std::vector<ranking::ProxyIdentity> All;
  All.reserve(Live.size());
  for (const DaemonRecord &D : Live)
    All.push_back({D.Name, D.AvailabilityZone});
  std::vector<std::string> Result;
  std::vector<std::string> OtherZones;
  for (const std::size_t Index : ranking::rankedOrder(All, Service)) {
    const bool SameZone = Live[Index].AvailabilityZone == AvailabilityZone;
    (SameZone ? Result : OtherZones).push_back(Live[Index].Name);
  }
  Result.insert(Result.end(), OtherZones.begin(), OtherZones.end());
  return Result;
}

std::vector<std::string> connectionHolders(std::span<const DaemonRecord> Live,
                                           std::string_view Service) {
  std::set<std::string> Zones;
  for (const DaemonRecord &D : Live)
    Zones.insert(D.AvailabilityZone);
  std::vector<std::string> Result;
  Result.reserve(Zones.size());
  for (const std::string &Zone : Zones)
    Result.push_back(rankConnectionHolders(Live, Service, Zone).front());
  return Result;
}

} // namespace borageridge::cluster
