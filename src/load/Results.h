#ifndef BORAGERIDGE_LOAD_RESULTS_H
#define BORAGERIDGE_LOAD_RESULTS_H

#include "load/HistoryChecker.h"
#include "load/Runner.h"
#include "load/Scenario.h"

#include <ostream>
#include <string>
#include <vector>

namespace borageridge::load {

/// One figure of a run.
struct Metric {
  /// "total", "class:<operation>", "database:<name>" or "refusal:<reason>".
  std::string Scope;
  std::string Name;
  double Value = 0;
  std::string Unit;
};

/// Interval during which a database accepted no write.
struct WriteGaps {
  /// Longest interval between two accepted writes, or between an accepted write
  /// and the start or end of the arrivals.
  Duration Longest{};
  /// Longest interval from the last write accepted in a term to the first one
  /// accepted in the next term.
  Duration LongestBetweenTerms{};
  std::uint32_t TermChanges = 0;
};

WriteGaps writeGaps(const RunHistory &Run, DatabaseId Database);

/// Computes all figures of a run. Latencies count from the intended start.
std::vector<Metric> summarize(const Scenario &S, const RunHistory &Run,
                              const std::vector<Violation> &Violations);

/// Writes one JSON object a line for each metric and violation.
void writeJsonLines(std::ostream &Out, const Scenario &S,
                    const std::vector<Metric> &Metrics,
                    const std::vector<Violation> &Violations);

/// Writes scope, metric, value and unit with a header line.
void writeCsv(std::ostream &Out, const std::vector<Metric> &Metrics);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_RESULTS_H
