#ifndef BORAGERIDGE_TELEMETRY_METRICSSERVER_H
#define BORAGERIDGE_TELEMETRY_METRICSSERVER_H

#include "borageridge/Failure.h"
#include "telemetry/Metrics.h"

#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Exposer;
}

namespace borageridge::telemetry {

/// Serves metrics in the Prometheus text format at http://<address>/metrics.
class MetricsServer {
public:
  /// Address: IP:port. Unavailable if it cannot be listened on.
  static Expected<std::unique_ptr<MetricsServer>>
  start(const Metrics &Source, std::string_view Address);

  ~MetricsServer();

  /// Port that is listened on; differs from the given one if that was 0.
  int port() const;

private:
  MetricsServer(std::shared_ptr<prometheus::Registry> Registry,
                std::string Address);

  std::shared_ptr<prometheus::Registry> Registry;
  std::unique_ptr<prometheus::Exposer> Server;
};

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_METRICSSERVER_H
