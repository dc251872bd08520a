#ifndef BORAGERIDGE_CATALOG_CATALOG_H
#define BORAGERIDGE_CATALOG_CATALOG_H

#include "borageridge/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace borageridge::catalog {

/// How fresh reads of a database must be.
enum class Consistency {
  /// Every read sees every commit acknowledged before it.
  Primary,
  /// Reads see commits that are older than the accepted age.
  BoundedStaleness,
  /// As BoundedStaleness, and the session's own commits.
  ReadYourWrites,
};

/// How the statements of one database are served.
struct Route {
  std::string Database;
  std::string Service;
  Consistency Reads = Consistency::Primary;
  /// Limit of one statement.
  Duration Timeout{};
  /// Latency objective of a whole operation.
  Duration TargetLatency{};
  Duration MaxStaleness{};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
};

struct ServiceSpec {
  std::string Name;
  /// Connections that one member accepts from all callers together.
  std::uint32_t MaxConnections = 1;
  /// Replicas that have received a commit before it is acknowledged.
  std::uint32_t SyncReplicas = 0;
};

/// One accepted version of the operators' configuration.
struct Catalog {
  std::uint64_t Version = 0;
  std::map<std::string, Route, std::less<>> RoutesByDatabase;
  std::map<std::string, ServiceSpec, std::less<>> Services;
  /// A transaction that is idle for longer may be aborted.
  Duration TransactionIdle{};
};

/// One database server as it describes itself.
struct Member {
  std::string Id;
  std::string Service;
  /// IP:port.
  std::string Address;
  std::string AvailabilityZone;
  /// Statements that it runs at the same time.
  std::uint32_t Slots = 1;
  bool Leaving = false;
  /// Whether it sees itself as the primary.
  bool ClaimsPrimary = false;
  /// Changes when the member starts anew with an empty memory.
  std::int64_t Born = 0;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace borageridge::catalog

#endif // BORAGERIDGE_CATALOG_CATALOG_H
