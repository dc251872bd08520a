#ifndef BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H
#define BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H

#include "borageridge/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace borageridge::instance {

/// What an entry daemon is told about itself and its surroundings.
struct DaemonSettings {
  /// Unique; kept across restarts of the same instance.
  std::string InstanceName;
  std::string Ip;
  std::string AvailabilityZone;
  /// IP:port of the listeners.
  std::string CallerAddress;
  std::string ReadinessAddress;
  /// First of the ports that daemons use among themselves.
  std::uint16_t PeerPort = 0;
  /// Addresses of instances that may run a daemon; only the IP is of use.
  std::vector<std::string> SeedIps;
  /// IP:port of the key-value service and of the service that promotes.
  std::string StoreAddress;
  std::string PromotionAddress;
  /// Shortest lease of the store.
  Duration MinLease = std::chrono::seconds(1);
  /// Time from the request to stop until the process is killed.
  Duration StopLimit = std::chrono::seconds(6);
  /// A leaving member must get no request later than this.
  Duration LeaveLimit = std::chrono::seconds(7);
  /// File descriptors that sockets may use.
  std::uint32_t MaxSockets = 1024;
};

} // namespace borageridge::instance

#endif // BORAGERIDGE_INSTANCE_DAEMONSETTINGS_H
