#ifndef BORAGERIDGE_ENTRY_ENTRYMETRICS_H
#define BORAGERIDGE_ENTRY_ENTRYMETRICS_H

#include "borageridge/Types.h"
#include "statement/Statement.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace borageridge::entry {

/// Metrics of an entry daemon. Used by one thread.
class EntryMetrics {
public:
  EntryMetrics();

  /// Records a statement that was answered after Latency, with Error if any.
  void addStatement(std::string_view Database, Duration Latency,
                    std::optional<statement::ErrorCode> Error);
  /// Counts an operation that the limit of its organisation allowed or not.
  void addQuotaDecision(std::string_view Organisation, bool Granted);
  /// Counts a connection of a caller that was closed to stay within a limit.
  void addClosedCaller(std::string_view Limit);
  void addRetry();
  void addRead(bool OnPrimary);
  void addChange(std::string_view Cause);
  void addRejectedPeerMessage();
  /// Why: a constant name.
  void addRefusedCaller(std::string_view Why);
  void setState(std::uint64_t ConfigVersion, std::size_t Sessions,
                std::size_t Waiting, std::size_t Connections,
                std::uint64_t StoreCalls, std::uint64_t Opened);

  /// Returns the metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Histogram> &Latencies;
  prometheus::Family<prometheus::Counter> &Errors;
  prometheus::Family<prometheus::Counter> &Reads;
  prometheus::Family<prometheus::Counter> &Changes;
  prometheus::Family<prometheus::Counter> &RefusedCallers;
  prometheus::Family<prometheus::Counter> &QuotaDecisions;
  prometheus::Family<prometheus::Counter> &ClosedCallers;
  prometheus::Counter &Retries;
  prometheus::Counter &RejectedPeerMessages;
  prometheus::Counter &ReplicaReads;
  prometheus::Counter &PrimaryReads;
  prometheus::Family<prometheus::Gauge> &State;
  std::map<std::string, prometheus::Histogram *, std::less<>> ByDatabase;
  /// Labels of organisations in use; bounded.
  std::set<std::string, std::less<>> Organisations;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_ENTRYMETRICS_H
