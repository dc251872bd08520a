#ifndef BORAGERIDGE_LOAD_RUNNER_H
#define BORAGERIDGE_LOAD_RUNNER_H

#include "load/CallerClient.h"
#include "load/History.h"
#include "load/Scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace borageridge::load {

/// What the results need of a request beyond its history.
struct RequestRecord {
  /// Index in Scenario::Operations.
  std::uint32_t Spec = 0;
  /// When the request should have been sent; latencies count from here, so that
  /// waiting behind a slow request is not left out.
  Time Intended;
  std::uint32_t Tries = 0;
  bool Replica = false;
  caller::RefusalReason Reason = caller::REFUSAL_REASON_UNSPECIFIED;
};

/// The requests of a run. History[I] and Records[I] belong together; the
/// requests of one session are in the order in which they ran.
struct RunHistory {
  std::vector<Operation> History;
  std::vector<RequestRecord> Records;
  std::uint64_t SessionMoves = 0;
  Time Start;
  /// End of the arrivals.
  Time End;
};

/// Sends the requests of a scenario and returns when all are settled. Token is
/// the first token of every session.
RunHistory runScenario(const Scenario &S, const std::string &Run,
                       const std::string &Token, CallerClient &Client);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_RUNNER_H
