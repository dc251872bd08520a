#include "entry/EntryMetrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace borageridge::entry {
namespace {

// In seconds. Finest around the latency objectives of some hundred
// milliseconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 8};
// Limits the number of time series: databases beyond this number share one
// histogram with the label "other".
constexpr std::size_t MaxDatabases = 200;
constexpr std::size_t MaxOrganisations = 200;

} // namespace

EntryMetrics::EntryMetrics()
    : Latencies(prometheus::BuildHistogram()
                    .Name("borageridge_statement_seconds")
                    .Help("Time from a statement to its answer")
                    .Register(Registry)),
      Errors(prometheus::BuildCounter()
                 .Name("borageridge_errors_total")
                 .Help("Statements answered with an error")
                 .Register(Registry)),
      Reads(prometheus::BuildCounter()
                .Name("borageridge_reads_total")
                .Help("Reads by the role of the member that answered")
                .Register(Registry)),
      Changes(prometheus::BuildCounter()
                  .Name("borageridge_primary_changes_total")
                  .Help("Changes of primary begun by this daemon")
                  .Register(Registry)),
      RefusedCallers(
          prometheus::BuildCounter()
              .Name("borageridge_refused_callers_total")
              .Help("Start messages and statements whose caller may not use "
                    "the database, by reason")
              .Register(Registry)),
      QuotaDecisions(prometheus::BuildCounter()
                         .Name("borageridge_quota_operations_total")
                         .Help("Operations by organisation and by whether its "
                               "limit allowed them")
                         .Register(Registry)),
      ClosedCallers(
          prometheus::BuildCounter()
              .Name("borageridge_closed_callers_total")
              .Help("Connections of callers closed to stay within a limit")
              .Register(Registry)),
      Retries(prometheus::BuildCounter()
                  .Name("borageridge_retries_total")
                  .Help("Further attempts to run a statement")
                  .Register(Registry)
                  .Add({})),
      RejectedPeerMessages(
          prometheus::BuildCounter()
              .Name("borageridge_peer_messages_rejected_total")
              .Help("Messages on the peer port that cannot be decoded")
              .Register(Registry)
              .Add({})),
      ReplicaReads(Reads.Add({{"role", "replica"}})),
      PrimaryReads(Reads.Add({{"role", "primary"}})),
      State(prometheus::BuildGauge()
                .Name("borageridge_state")
                .Help("What the daemon holds now, by kind")
                .Register(Registry)) {}

void EntryMetrics::addStatement(std::string_view Database, Duration Latency,
                                std::optional<statement::ErrorCode> Error) {
  auto Found = ByDatabase.find(Database);
  if (Found == ByDatabase.end()) {
    const std::string Label =
        ByDatabase.size() < MaxDatabases ? std::string(Database) : "other";
    Found = ByDatabase
                .emplace(Database,
                         &Latencies.Add({{"database", Label}}, LatencyBuckets))
                .first;
  }
  Found->second->Observe(std::chrono::duration<double>(Latency).count());
  if (Error)
    Errors.Add({{"error", std::string(statement::name(*Error))}}).Increment();
}

void EntryMetrics::addRejectedPeerMessage() {
  RejectedPeerMessages.Increment();
}

void EntryMetrics::addRefusedCaller(std::string_view Why) {
  RefusedCallers.Add({{"reason", std::string(Why)}}).Increment();
}

void EntryMetrics::addQuotaDecision(std::string_view Organisation,
                                    bool Granted) {
  const bool Known = Organisations.contains(Organisation);
  if (!Known && Organisations.size() < MaxOrganisations)
    Organisations.emplace(Organisation);
  const bool HasLabel = Known || Organisations.contains(Organisation);
  QuotaDecisions
      .Add({{"organisation", HasLabel ? std::string(Organisation) : "other"},
            {"result", Granted ? "granted" : "denied"}})
      .Increment();
}

void EntryMetrics::addClosedCaller(std::string_view Limit) {
  ClosedCallers.Add({{"limit", std::string(Limit)}}).Increment();
}

void EntryMetrics::addRetry() { Retries.Increment(); }

void EntryMetrics::addRead(bool OnPrimary) {
  (OnPrimary ? PrimaryReads : ReplicaReads).Increment();
}

void EntryMetrics::addChange(std::string_view Cause) {
  Changes.Add({{"cause", std::string(Cause)}}).Increment();
}

void EntryMetrics::setState(std::uint64_t ConfigVersion, std::size_t Sessions,
                            std::size_t Waiting, std::size_t Connections,
                            std::uint64_t StoreCalls, std::uint64_t Opened) {
  const auto Set = [this](const char *Kind, double Value) {
    State.Add({{"kind", Kind}}).Set(Value);
  };
  Set("config_version", static_cast<double>(ConfigVersion));
  Set("sessions", static_cast<double>(Sessions));
  Set("waiting_statements", static_cast<double>(Waiting));
  Set("endpoint_connections", static_cast<double>(Connections));
  Set("store_calls", static_cast<double>(StoreCalls));
  Set("endpoint_connections_opened", static_cast<double>(Opened));
}

std::string EntryMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace borageridge::entry
