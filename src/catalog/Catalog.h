#ifndef BORAGERIDGE_CATALOG_CATALOG_H
#define BORAGERIDGE_CATALOG_CATALOG_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace borageridge::catalog {

/// Consistency required of reads of a database.
enum class Consistency {
  /// Every read sees every commit acknowledged before it.
  Primary,
  /// Reads see every commit that is older than MaxStaleness.
  BoundedStaleness,
  /// Like BoundedStaleness; reads also see the commits of their own session.
  ReadYourWrites,
};

/// How the statements of one database are served.
struct Route {
  std::string Database;
  std::string Service;
  Consistency Reads = Consistency::Primary;
  /// Time limit of one statement.
  Duration Timeout{};
  /// Latency objective of a whole operation.
  Duration TargetLatency{};
  Duration MaxStaleness{};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
  /// Whether callers need no key.
  bool Public = false;
};

/// A customer whose callers identify themselves with keys.
struct Organisation {
  std::string Name;
  /// Operations per second over all daemons; none if not limited.
  std::optional<double> RatePerSecond;
  /// Operations that may exceed the rate at once.
  double Burst = 0;
};

struct ServiceSpec {
  std::string Name;
  /// Connections that one member accepts in total.
  std::uint32_t MaxConnections = 1;
  /// Replicas that must receive a commit before it is acknowledged.
  std::uint32_t SyncReplicas = 0;
};

/// One accepted version of the operators' configuration.
struct Catalog {
  std::uint64_t Version = 0;
  std::map<std::string, Route, std::less<>> RoutesByDatabase;
  std::map<std::string, ServiceSpec, std::less<>> Services;
  /// Whether the configuration names organisations. Without them callers need
  /// no keys.
  bool HasOrganisations = false;
  std::map<std::string, Organisation, std::less<>> Organisations;
  /// Names of organisations by the fingerprints of their keys.
  std::map<std::string, std::string, std::less<>> OrganisationByFingerprint;
  /// Entries of organisations that could not be decoded.
  std::size_t IgnoredOrganisations = 0;
  /// Idle time after which a transaction may be aborted.
  Duration TransactionIdle{};
};

/// A database server, as described by its registry entry.
struct Member {
  std::string Id;
  std::string Service;
  /// IP:port.
  std::string Address;
  std::string AvailabilityZone;
  /// Statements that it executes concurrently.
  std::uint32_t Slots = 1;
  bool Leaving = false;
  /// Whether it claims the primary role.
  bool ClaimsPrimary = false;
  /// Changes when the member restarts without its data.
  std::int64_t Incarnation = 0;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace borageridge::catalog

#endif // BORAGERIDGE_CATALOG_CATALOG_H
