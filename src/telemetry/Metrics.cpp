#include "telemetry/Metrics.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace borageridge::telemetry {
namespace {

constexpr std::string_view OtherLabel = "other";
constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();

// Seconds. Fine around the added latency of 0.3 ms that is the target, and up
// to the longest deadlines that are usual.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002, 0.005, 0.01,
    0.02,   0.05,   0.1,    0.2,    0.5,   1,     2,     5};

// Labels are kept as UTF-8 by the exposition format; names from settings and
// the table are ASCII, other bytes would break a scrape.
std::string label(std::string_view Text) {
  std::string Result(Text);
  std::ranges::replace_if(
      Result, [](unsigned char C) { return C < 0x20 || C >= 0x7f; }, '?');
  return Result;
}

std::size_t index(StoreCall Call) { return static_cast<std::size_t>(Call); }

} // namespace

std::string_view name(ServedBy Source) {
  return Source == ServedBy::Replica ? "replica" : "primary";
}

std::string_view name(StoreCall Call) {
  switch (Call) {
  case StoreCall::Read:
    return "read";
  case StoreCall::CompareAndSwap:
    return "compare_and_swap";
  case StoreCall::Watch:
    return "watch";
  }
  return "read";
}

std::string_view name(ChangeCause Cause) {
  return Cause == ChangeCause::Planned ? "planned" : "failure";
}

std::string name(caller::RefusalReason Reason) {
  constexpr std::string_view Prefix = "REFUSAL_REASON_";
  std::string Name = caller::RefusalReason_Name(Reason);
  if (Name.size() <= Prefix.size())
    return "unspecified";
  Name.erase(0, Prefix.size());
  std::ranges::transform(Name, Name.begin(),
                         [](unsigned char C) { return std::tolower(C); });
  return Name;
}

template <typename T>
template <typename Make>
T &Metrics::Children<T>::find(std::string_view Name, std::size_t Limit,
                              Make MakeChild) {
  const absl::string_view Key(Name.data(), Name.size());
  {
    const absl::ReaderMutexLock Lock(&Guard);
    auto Found = ByName.find(Key);
    if (Found == ByName.end() && ByName.size() > Limit)
      Found =
          ByName.find(absl::string_view(OtherLabel.data(), OtherLabel.size()));
    if (Found != ByName.end())
      return *Found->second;
  }
  const absl::MutexLock Lock(&Guard);
  const bool Full = ByName.size() >= Limit && !ByName.contains(Key);
  const std::string_view Used = Full ? OtherLabel : Name;
  std::unique_ptr<T> &Child = ByName[std::string(Used)];
  if (Child == nullptr)
    Child = MakeChild(std::string(Used));
  return *Child;
}

Metrics::Metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      CallerSeconds(histogram("borageridge_caller_request_seconds",
                              "Time from arrival to answer, by caller.")),
      ClassSeconds(histogram("borageridge_class_request_seconds",
                             "Time from arrival to answer, by class.")),
      Reads(counter("borageridge_reads_total",
                    "Reads answered, by the role of the member.")),
      Refusals(counter("borageridge_refusals_total",
                       "Requests refused, by reason.")),
      Retries(counter("borageridge_retries_total", "Retries sent.")),
      RetriesDenied(counter("borageridge_retries_denied_total",
                            "Retries not sent for lack of retry budget.")),
      Changes(counter("borageridge_primary_changes_total",
                      "Changes of primary completed by this proxy.")),
      StoreCallsTotal(counter("borageridge_store_calls_total",
                              "Calls to the store, by result.")),
      Open(gauge("borageridge_connections_open",
                 "Open connections to a member.")),
      InUse(gauge("borageridge_connections_in_use",
                  "Connections to a member that serve a request.")),
      Queued(gauge("borageridge_queued_requests", "Requests that wait.")),
      QueuedBytes(gauge("borageridge_queued_bytes",
                        "Bytes of the requests that wait.")),
      Terms(gauge("borageridge_term", "Term of the group's record.")),
      TableVersion(gauge("borageridge_table_version",
                         "Version of the table that is in force.")
                       .Add({})),
      Peers(gauge("borageridge_peers", "Other proxies that answer.").Add({})) {
  for (std::size_t Reason = 0; Reason < ReasonCount; ++Reason)
    RefusalsByReason[Reason] = &Refusals.Add(
        {{"reason", name(static_cast<caller::RefusalReason>(Reason))}});
  for (std::size_t Call = 0; Call < StoreCalls; ++Call)
    for (std::size_t Result = 0; Result < StoreResults; ++Result) {
      const std::string_view Outcome =
          Result == 0 ? "ok"
                      : borageridge::name(static_cast<FailureKind>(Result - 1));
      StoreCallsByResult[Call][Result] = &StoreCallsTotal.Add(
          {{"call", std::string(name(static_cast<StoreCall>(Call)))},
           {"result", std::string(Outcome)}});
    }
}

prometheus::Family<prometheus::Counter> &
Metrics::counter(const std::string &Name, const std::string &Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(*Registry);
}

prometheus::Family<prometheus::Gauge> &Metrics::gauge(const std::string &Name,
                                                      const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(*Registry);
}

prometheus::Family<prometheus::Histogram> &
Metrics::histogram(const std::string &Name, const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(*Registry);
}

prometheus::Histogram &Metrics::caller(std::string_view Name) {
  return Callers.find(Name, MaxLabels, [this](const std::string &Used) {
    return std::make_unique<Latency>(
        CallerSeconds.Add({{"caller", label(Used)}}, LatencyBuckets));
  });
}

prometheus::Histogram &Metrics::requestClass(std::string_view Name) {
  return Classes.find(Name, MaxLabels, [this](const std::string &Used) {
    return std::make_unique<Latency>(
        ClassSeconds.Add({{"class", label(Used)}}, LatencyBuckets));
  });
}

DatabaseMetrics &Metrics::database(std::string_view Name) {
  return Databases.find(Name, NoLimit, [this](const std::string &Used) {
    return makeDatabase(label(Used));
  });
}

std::unique_ptr<DatabaseMetrics>
Metrics::makeDatabase(const std::string &Name) {
  const prometheus::Labels Database{{"database", Name}};
  const auto With = [&Name](std::string Key, std::string_view Value) {
    return prometheus::Labels{{"database", Name},
                              {std::move(Key), std::string(Value)}};
  };
  return std::make_unique<DatabaseMetrics>(DatabaseMetrics{
      Reads.Add(With("served_by", name(ServedBy::Replica))),
      Reads.Add(With("served_by", name(ServedBy::Primary))),
      Retries.Add(Database),
      RetriesDenied.Add(Database),
      Changes.Add(With("cause", name(ChangeCause::Planned))),
      Changes.Add(With("cause", name(ChangeCause::Failure))),
      Queued.Add(Database),
      QueuedBytes.Add(Database),
      Terms.Add(Database),
  });
}

MemberMetrics &Metrics::member(std::string_view Database,
                               std::string_view Member) {
  std::string Key = label(Database);
  Key.append("\n").append(label(Member));
  return Members.find(Key, NoLimit, [&](const std::string & /*Used*/) {
    const prometheus::Labels Labels{{"database", label(Database)},
                                    {"member", label(Member)}};
    return std::make_unique<MemberMetrics>(
        MemberMetrics{Open.Add(Labels), InUse.Add(Labels)});
  });
}

void Metrics::addRefusal(caller::RefusalReason Reason) {
  const auto Index = static_cast<std::size_t>(Reason);
  RefusalsByReason[Index < ReasonCount ? Index : 0]->Increment();
}

void Metrics::addStoreCall(StoreCall Call) {
  StoreCallsByResult[index(Call)][0]->Increment();
}

void Metrics::addStoreCall(StoreCall Call, FailureKind Failed) {
  const std::size_t Result = static_cast<std::size_t>(Failed) + 1;
  StoreCallsByResult[index(Call)][Result]->Increment();
}

void Metrics::setTableVersion(std::uint64_t Version) {
  TableVersion.Set(static_cast<double>(Version));
}

void Metrics::setPeers(std::size_t Count) {
  Peers.Set(static_cast<double>(Count));
}

} // namespace borageridge::telemetry
