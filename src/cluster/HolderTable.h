#ifndef BORAGERIDGE_CLUSTER_HOLDERTABLE_H
#define BORAGERIDGE_CLUSTER_HOLDERTABLE_H

#include "cluster/Records.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::cluster {

/// The connection holders of each service, by weighted rendezvous hashing: in
/// each availability zone the live daemon with the best score for the service.
/// The result depends only on the live daemons and is the same in every process
/// that knows them.
///
/// A daemon that joins, leaves or changes its processor share moves only the
/// services that it gains or loses. Joining costs one score per known service;
/// leaving, one per live daemon for each service that it held.
class HolderTable {
public:
  /// Adds a daemon, or replaces the one of the same name.
  void add(const DaemonRecord &Daemon);
  void remove(std::string_view Name);

  /// Returns the holder of each availability zone that has live daemons,
  /// ordered by zone.
  std::vector<std::string> holders(const std::string &Service);

  /// Returns the holders in order of preference for callers of a zone: that of
  /// the zone first, then the others by score.
  std::vector<std::string> byPreference(const std::string &Service,
                                        std::string_view AvailabilityZone);

private:
  struct Candidate {
    std::string Name;
    double Score = 0;
  };
  /// The holder of each zone.
  using Zones = std::map<std::string, Candidate, std::less<>>;

  const Zones &select(const std::string &Service);
  static void enter(Zones &Selected, const DaemonRecord &Daemon,
                    std::string_view Service);

  std::map<std::string, DaemonRecord, std::less<>> Daemons;
  std::map<std::string, Zones, std::less<>> Selections;
};

/// Score of a daemon for a service; the highest is chosen.
double holderScore(const DaemonRecord &Daemon, std::string_view Service);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_HOLDERTABLE_H
