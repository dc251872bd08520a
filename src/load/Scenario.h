#ifndef BORAGERIDGE_LOAD_SCENARIO_H
#define BORAGERIDGE_LOAD_SCENARIO_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "load/History.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::load {

/// Which registers a read asks for.
enum class ReadTarget {
  /// The session's own register.
  Own,
  /// The register of a random session.
  Any,
  /// A block of registers that starts at a random session.
  List,
};

/// One kind of request and how often it arrives.
struct OperationSpec {
  std::string Name;
  OperationKind Kind = OperationKind::RegisterRead;
  /// Class in the table of weights and limits; empty for the default.
  std::string RequestClass;
  /// Mean arrivals per second in the whole run, over all databases.
  double RatePerSecond = 0;
  /// Oldest answer that a read accepts; zero means that no age is accepted.
  std::chrono::milliseconds AcceptedAge{0};
  ReadTarget Target = ReadTarget::Own;
  /// Number of registers that a read of a list asks for.
  std::uint32_t ListSize = 1;
};

/// Multiplies the arrivals of one operation for a part of the run.
struct Burst {
  std::string Operation;
  std::chrono::milliseconds Start{0};
  std::chrono::milliseconds Length{0};
  double Factor = 1;
};

/// How the load tool sends requests.
struct ClientSpec {
  /// Threads that start requests; each owns a part of the sessions.
  std::uint32_t Threads = 2;
  std::uint32_t ChannelsPerProxy = 4;
  std::chrono::milliseconds AttemptTimeout{5000};
  /// A request that is not settled after this time counts as unsettled.
  std::chrono::milliseconds SettleTimeout{30000};
  std::uint32_t MaxReadTries = 4;
  /// How often a write is sent again after "not run" without a hint to move.
  std::uint32_t NotRunRetries = 0;
};

/// A run of the load tool.
struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  std::chrono::milliseconds Length{10000};
  std::uint32_t Sessions = 100;
  /// Probability that a session moves to another proxy before a request.
  double RoamProbability = 0.1;
  std::vector<std::string> Databases;
  std::vector<std::string> Proxies;
  std::vector<OperationSpec> Operations;
  std::vector<Burst> Bursts;
  ClientSpec Client;
};

/// Reads a scenario from TOML. Unknown keys, wrong types and values out of
/// range are failures of kind InvalidArgument that name the line and the key.
/// Databases and proxies may be missing, because options can give them.
Expected<Scenario> parseScenario(std::string_view Text);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_SCENARIO_H
