#ifndef BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H
#define BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H

#include "borageridge/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace borageridge::instance {

/// Settings of an entry daemon: its identity, addresses and limits.
struct DaemonSettings {
  /// Unique in the fleet and stable across restarts of the instance.
  std::string InstanceName;
  std::string Ip;
  std::string AvailabilityZone;
  /// Listen addresses as IP:port.
  std::string CallerAddress;
  std::string ReadinessAddress;
  /// First of the ports for connections between daemons.
  std::uint16_t PeerPort = 0;
  /// IP addresses of instances that may run a daemon.
  std::vector<std::string> SeedIps;
  /// Addresses (IP:port) of the key-value store and of the promotion service.
  std::string StoreAddress;
  std::string PromotionAddress;
  /// Shortest lease that the store grants.
  Duration MinLease = std::chrono::seconds(1);
  /// Time from the stop signal until the process is killed.
  Duration StopLimit = std::chrono::seconds(6);
  /// Time after which a leaving member must not receive any more requests.
  Duration LeaveLimit = std::chrono::seconds(7);
  /// Thousandths of a processor core that the daemon may use.
  std::uint32_t ProcessorShare = 250;
  /// Number of file descriptors available for sockets.
  std::uint32_t MaxSockets = 1024;
  /// Memory of the process, in bytes, above which the instance ends it.
  std::uint64_t MemoryLimitBytes = std::uint64_t(256) << 20;
  /// Whether a revoked key must be out of use RevocationLimit after the store
  /// has acknowledged the revocation, even on a daemon that is partitioned.
  bool StrictRevocation = false;
  Duration RevocationLimit = std::chrono::seconds(5);
  /// Operations of an organisation are counted over any window of this length.
  Duration QuotaWindow = std::chrono::seconds(5);
  /// Share of an organisation's limit by which the daemons together may exceed
  /// it.
  double QuotaOverage = 0.1;
  /// Operations in a window that they may run beyond that.
  std::uint32_t QuotaSlack = 20;
};

} // namespace borageridge::instance

#endif // BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H
