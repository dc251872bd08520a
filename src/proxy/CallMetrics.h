#ifndef BORAGERIDGE_PROXY_CALLMETRICS_H
#define BORAGERIDGE_PROXY_CALLMETRICS_H

#include "proxy/CallerServer.h"
#include "proxy/ControlPlane.h"
#include "telemetry/Metrics.h"

#include <map>
#include <string>

namespace borageridge::proxy {

/// Feeds the process's metrics from finished calls and from the groups.
class CallMetrics {
public:
  explicit CallMetrics(telemetry::Metrics &Of) : Metrics(Of) {}

  /// Thread-safe.
  void finished(const FinishedCall &Call);
  /// Copies the groups' figures; called by one thread.
  void publish(const ControlPlane &Control);

private:
  struct Published {
    std::uint64_t Retries = 0;
    std::uint64_t Promotions = 0;
  };

  telemetry::Metrics &Metrics;
  std::map<std::string, Published> Last;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_CALLMETRICS_H
