#include "telemetry/MetricsServer.h"

#include <prometheus/exposer.h>

#include <exception>
#include <utility>
#include <vector>

namespace borageridge::telemetry {
namespace {

// A scraper that stops reading must not hold a thread for long.
constexpr const char *RequestTimeoutMs = "5000";

std::vector<std::string> options(std::string Address) {
  return {"listening_ports",    std::move(Address), "num_threads", "2",
          "request_timeout_ms", RequestTimeoutMs};
}

} // namespace

MetricsServer::MetricsServer(std::shared_ptr<prometheus::Registry> Source,
                             std::string Address)
    : Registry(std::move(Source)), Server(std::make_unique<prometheus::Exposer>(
                                       options(std::move(Address)))) {
  Server->RegisterCollectable(Registry);
}

MetricsServer::~MetricsServer() = default;

Expected<std::unique_ptr<MetricsServer>>
MetricsServer::start(const Metrics &Source, std::string_view Address) {
  // The library reports a failure to listen only as an exception.
  try {
    return std::unique_ptr<MetricsServer>(
        new MetricsServer(Source.registry(), std::string(Address)));
  } catch (const std::exception &Thrown) {
    return Failure{FailureKind::Unavailable,
                   std::string(Address) + ": " + Thrown.what()};
  }
}

int MetricsServer::port() const {
  const std::vector<int> Ports = Server->GetListeningPorts();
  return Ports.empty() ? 0 : Ports.front();
}

} // namespace borageridge::telemetry
