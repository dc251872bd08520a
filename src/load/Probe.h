#ifndef BORAGERIDGE_LOAD_PROBE_H
#define BORAGERIDGE_LOAD_PROBE_H

#include "borageridge/Types.h"
#include "load/CallerClient.h"
#include "load/LatencyHistogram.h"

#include <cstdint>
#include <string>

namespace borageridge::load {

/// What a closed loop of simple reads asks for.
struct ProbeSpec {
  std::string Address;
  std::string Database;
  std::string RequestClass;
  /// Oldest accepted answer in milliseconds; 0 for none.
  std::uint32_t AcceptedAgeMs = 0;
  /// Number of connections; each has one request in flight.
  std::uint32_t Connections = 1;
  Duration Length{};
};

/// What the closed loop measured.
struct ProbeResult {
  LatencyHistogram Latency;
  std::uint64_t Failures = 0;
  double Seconds = 0;
};

/// Reads through the proxy at Address.
ProbeResult probeProxy(const ProbeSpec &Spec, const CallerIdentity &Identity);

/// Runs the same statement directly on the endpoint at Address over one
/// Connect stream for each connection.
ProbeResult probeEndpoint(const ProbeSpec &Spec,
                          const CallerIdentity &Identity);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_PROBE_H
