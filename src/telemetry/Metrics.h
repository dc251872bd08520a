#ifndef BORAGERIDGE_TELEMETRY_METRICS_H
#define BORAGERIDGE_TELEMETRY_METRICS_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include "caller.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::telemetry {

enum class ServedBy { Replica, Primary };
enum class StoreCall { Read, CompareAndSwap, Watch };
enum class ChangeCause { Planned, Failure };

std::string_view name(ServedBy Source);
std::string_view name(StoreCall Call);
std::string_view name(ChangeCause Cause);
/// For example "queue_full".
std::string name(caller::RefusalReason Reason);

/// Metrics of one member of a database group.
struct MemberMetrics {
  prometheus::Gauge &ConnectionsOpen;
  prometheus::Gauge &ConnectionsInUse;
};

/// Metrics of one database group.
struct DatabaseMetrics {
  prometheus::Counter &ReplicaReads;
  prometheus::Counter &PrimaryReads;
  prometheus::Counter &Retries;
  prometheus::Counter &RetriesDenied;
  prometheus::Counter &PlannedChanges;
  prometheus::Counter &FailureChanges;
  prometheus::Gauge &QueuedRequests;
  prometheus::Gauge &QueuedBytes;
  prometheus::Gauge &ServingTerm;

  void addRead(ServedBy Source) {
    (Source == ServedBy::Replica ? ReplicaReads : PrimaryReads).Increment();
  }
  void addChange(ChangeCause Cause) {
    (Cause == ChangeCause::Planned ? PlannedChanges : FailureChanges)
        .Increment();
  }
};

/// Metrics of one process. Thread-safe. Returned references stay valid as long
/// as the metrics; keep them where requests are served, or pay one hash lookup.
class Metrics {
public:
  /// Callers and classes with a label of their own; further ones share the
  /// label "other". Bounds the memory and the size of a scrape.
  static constexpr std::size_t MaxLabels = 200;

  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Latency histograms, in seconds.
  prometheus::Histogram &caller(std::string_view Name);
  prometheus::Histogram &requestClass(std::string_view Name);

  DatabaseMetrics &database(std::string_view Name);
  MemberMetrics &member(std::string_view Database, std::string_view Member);

  void addRefusal(caller::RefusalReason Reason);
  void addStoreCall(StoreCall Call);
  void addStoreCall(StoreCall Call, FailureKind Failed);
  void setTableVersion(std::uint64_t Version);
  void setPeers(std::size_t Count);

  std::shared_ptr<prometheus::Registry> registry() const { return Registry; }

private:
  template <typename T> using Family = prometheus::Family<T>;

  /// Children of a family by name, created on first use.
  template <typename T> class Children {
  public:
    template <typename Make>
    T &find(std::string_view Name, std::size_t Limit, Make MakeChild);

  private:
    absl::Mutex Guard;
    absl::flat_hash_map<std::string, std::unique_ptr<T>> ByName;
  };
  using Latency = std::reference_wrapper<prometheus::Histogram>;
  static constexpr std::size_t ReasonCount = caller::RefusalReason_ARRAYSIZE;
  static constexpr std::size_t StoreCalls = 3;
  static constexpr std::size_t StoreResults = 10;

  Family<prometheus::Counter> &counter(const std::string &Name,
                                       const std::string &Help);
  Family<prometheus::Gauge> &gauge(const std::string &Name,
                                   const std::string &Help);
  Family<prometheus::Histogram> &histogram(const std::string &Name,
                                           const std::string &Help);
  std::unique_ptr<DatabaseMetrics> makeDatabase(const std::string &Name);

  std::shared_ptr<prometheus::Registry> Registry;
  Family<prometheus::Histogram> &CallerSeconds;
  Family<prometheus::Histogram> &ClassSeconds;
  Family<prometheus::Counter> &Reads;
  Family<prometheus::Counter> &Refusals;
  Family<prometheus::Counter> &Retries;
  Family<prometheus::Counter> &RetriesDenied;
  Family<prometheus::Counter> &Changes;
  Family<prometheus::Counter> &StoreCallsTotal;
  Family<prometheus::Gauge> &Open;
  Family<prometheus::Gauge> &InUse;
  Family<prometheus::Gauge> &Queued;
  Family<prometheus::Gauge> &QueuedBytes;
  Family<prometheus::Gauge> &Terms;
  prometheus::Gauge &TableVersion;
  prometheus::Gauge &Peers;
  std::array<prometheus::Counter *, ReasonCount> RefusalsByReason{};
  std::array<std::array<prometheus::Counter *, StoreResults>, StoreCalls>
      StoreCallsByResult{};
  Children<Latency> Callers;
  Children<Latency> Classes;
  Children<DatabaseMetrics> Databases;
  Children<MemberMetrics> Members;
};

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_METRICS_H
