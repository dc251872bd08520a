#include "load/Results.h"

#include "load/LatencyHistogram.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace borageridge::load {

namespace {

/// Violations beyond this number are counted but not printed.
constexpr std::size_t MaxPrintedViolations = 100;

double toMs(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}

double share(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0 : double(Part) / double(Whole);
}

/// Sums over the requests of one class or of all.
struct Counts {
  std::uint64_t Requests = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Answered = 0;
  std::uint64_t ReadsAnswered = 0;
  std::uint64_t ReplicaReads = 0;
  std::uint64_t WritesAnswered = 0;
  std::uint64_t WritesNotRun = 0;
  std::uint64_t WritesUnsettled = 0;
  std::uint64_t ReadsFailed = 0;
  Duration LongestWriteWait{};
  LatencyHistogram Latency;

  void add(const Operation &Op, const RequestRecord &Record);
  void addWrite(const Operation &Op, Duration Wait);
};

void Counts::add(const Operation &Op, const RequestRecord &Record) {
  const Duration Wait = Op.Completed - Record.Intended;
  ++Requests;
  Tries += Record.Tries;
  if (Op.Outcome == Result::Acknowledged) {
    ++Answered;
    Latency.record(Wait);
  }
  if (isWrite(Op.Kind))
    return addWrite(Op, Wait);
  if (Op.Outcome != Result::Acknowledged) {
    ++ReadsFailed;
    return;
  }
  ++ReadsAnswered;
  ReplicaReads += Record.Replica ? 1 : 0;
}

void Counts::addWrite(const Operation &Op, Duration Wait) {
  LongestWriteWait = std::max(LongestWriteWait, Wait);
  WritesAnswered += Op.Outcome == Result::Acknowledged ? 1 : 0;
  WritesNotRun += Op.Outcome == Result::NotRun ? 1 : 0;
  WritesUnsettled += Op.Outcome == Result::Unknown ? 1 : 0;
}

/// Collects metrics of one scope.
class ScopeWriter {
public:
  ScopeWriter(std::vector<Metric> &Target, std::string Name)
      : Out(Target), Scope(std::move(Name)) {}

  void add(std::string Name, double Value, std::string Unit) {
    Out.push_back({Scope, std::move(Name), Value, std::move(Unit)});
  }

  void count(std::string Name, std::uint64_t Value) {
    add(std::move(Name), double(Value), "1");
  }

private:
  std::vector<Metric> &Out;
  std::string Scope;
};

void addLatencies(ScopeWriter &Out, const LatencyHistogram &Latency) {
  Out.add("latency_p50_ms", Latency.percentileMs(0.5), "ms");
  Out.add("latency_p90_ms", Latency.percentileMs(0.9), "ms");
  Out.add("latency_p99_ms", Latency.percentileMs(0.99), "ms");
  Out.add("latency_p999_ms", Latency.percentileMs(0.999), "ms");
  Out.add("latency_max_ms", Latency.maxMs(), "ms");
}

void addCounts(ScopeWriter &Out, const Counts &C, double Seconds) {
  Out.count("requests", C.Requests);
  Out.count("answered", C.Answered);
  Out.add("throughput", double(C.Answered) / Seconds, "1/s");
  if (C.ReadsAnswered > 0)
    Out.add("replica_share", share(C.ReplicaReads, C.ReadsAnswered), "share");
  Out.count("failed_reads", C.ReadsFailed);
  Out.count("accepted_writes", C.WritesAnswered);
  Out.count("refused_writes", C.WritesNotRun);
  Out.count("unsettled_writes", C.WritesUnsettled);
  Out.add("longest_write_wait_ms", toMs(C.LongestWriteWait), "ms");
  addLatencies(Out, C.Latency);
}

void addViolations(ScopeWriter &Out, const std::vector<Violation> &Violations) {
  Out.count("violations", Violations.size());
  for (const ViolationKind Kind : violationKinds()) {
    const auto OfKind = [Kind](const Violation &V) { return V.Kind == Kind; };
    Out.count("violations_" + std::string(name(Kind)),
              std::uint64_t(
                  std::count_if(Violations.begin(), Violations.end(), OfKind)));
  }
}

void addDatabases(std::vector<Metric> &Metrics, const Scenario &S,
                  const RunHistory &Run, ScopeWriter &Total) {
  WriteGaps Worst;
  for (DatabaseId Id = 0; Id < S.Databases.size(); ++Id) {
    const WriteGaps Gaps = writeGaps(Run, Id);
    ScopeWriter Out(Metrics, "database:" + S.Databases[Id]);
    Out.add("longest_write_gap_ms", toMs(Gaps.Longest), "ms");
    Out.add("term_change_gap_ms", toMs(Gaps.LongestBetweenTerms), "ms");
    Out.count("term_changes", Gaps.TermChanges);
    Worst.Longest = std::max(Worst.Longest, Gaps.Longest);
    Worst.LongestBetweenTerms =
        std::max(Worst.LongestBetweenTerms, Gaps.LongestBetweenTerms);
    Worst.TermChanges += Gaps.TermChanges;
  }
  Total.add("longest_write_gap_ms", toMs(Worst.Longest), "ms");
  Total.add("term_change_gap_ms", toMs(Worst.LongestBetweenTerms), "ms");
  Total.count("term_changes", Worst.TermChanges);
}

void addRefusals(std::vector<Metric> &Metrics, const RunHistory &Run) {
  std::map<caller::RefusalReason, std::uint64_t> ByReason;
  for (const RequestRecord &Record : Run.Records)
    if (Record.Reason != caller::REFUSAL_REASON_UNSPECIFIED)
      ++ByReason[Record.Reason];
  for (const auto &[Reason, Count] : ByReason) {
    ScopeWriter Out(Metrics, "refusal:" + caller::RefusalReason_Name(Reason));
    Out.count("requests", Count);
  }
}

std::string csvField(const std::string &Text) {
  if (Text.find_first_of(",\"\n") == std::string::npos)
    return Text;
  std::string Quoted = "\"";
  for (const char C : Text)
    Quoted += C == '"' ? std::string("\"\"") : std::string(1, C);
  return Quoted + "\"";
}

} // namespace

WriteGaps writeGaps(const RunHistory &Run, DatabaseId Database) {
  std::vector<std::pair<Time, Term>> Accepted;
  for (const Operation &Op : Run.History)
    if (isWrite(Op.Kind) && Op.Database == Database &&
        Op.Outcome == Result::Acknowledged)
      Accepted.emplace_back(Op.Completed, Op.Replayed ? 0 : Op.ServedTerm);
  std::sort(Accepted.begin(), Accepted.end());

  WriteGaps Gaps;
  Time Previous = Run.Start;
  Time LastOfTerm = Run.Start;
  Term Present = 0;
  for (const auto &[At, Served] : Accepted) {
    Gaps.Longest = std::max(Gaps.Longest, At - Previous);
    Previous = At;
    if (Present != 0 && Served > Present) {
      ++Gaps.TermChanges;
      Gaps.LongestBetweenTerms =
          std::max(Gaps.LongestBetweenTerms, At - LastOfTerm);
    }
    if (Served < Present)
      continue;
    Present = Served;
    LastOfTerm = At;
  }
  if (Run.End > Previous)
    Gaps.Longest = std::max(Gaps.Longest, Run.End - Previous);
  return Gaps;
}

std::vector<Metric> summarize(const Scenario &S, const RunHistory &Run,
                              const std::vector<Violation> &Violations) {
  Counts All;
  std::vector<Counts> ByClass(S.Operations.size());
  for (std::size_t I = 0; I < Run.History.size(); ++I) {
    All.add(Run.History[I], Run.Records[I]);
    ByClass[Run.Records[I].Spec].add(Run.History[I], Run.Records[I]);
  }
  const double Seconds =
      std::chrono::duration<double>(Run.End - Run.Start).count();
  std::vector<Metric> Metrics;
  std::vector<Metric> Rest;
  ScopeWriter Total(Metrics, "total");
  addCounts(Total, All, Seconds);
  Total.count("tries", All.Tries);
  Total.count("session_moves", Run.SessionMoves);
  addViolations(Total, Violations);
  addDatabases(Rest, S, Run, Total);
  for (std::size_t I = 0; I < ByClass.size(); ++I) {
    ScopeWriter Out(Rest, "class:" + S.Operations[I].Name);
    addCounts(Out, ByClass[I], Seconds);
  }
  addRefusals(Rest, Run);
  Metrics.insert(Metrics.end(), Rest.begin(), Rest.end());
  return Metrics;
}

void writeJsonLines(std::ostream &Out, const Scenario &S,
                    const std::vector<Metric> &Metrics,
                    const std::vector<Violation> &Violations) {
  for (const Metric &M : Metrics)
    Out << nlohmann::ordered_json{{"record", "metric"}, {"scenario", S.Name},
                                  {"scope", M.Scope},   {"metric", M.Name},
                                  {"value", M.Value},   {"unit", M.Unit}}
        << '\n';
  for (std::size_t I = 0; I < std::min(Violations.size(), MaxPrintedViolations);
       ++I) {
    const Violation &V = Violations[I];
    Out << nlohmann::ordered_json{{"record", "violation"},
                                  {"scenario", S.Name},
                                  {"kind", std::string(name(V.Kind))},
                                  {"database", S.Databases[V.Database]},
                                  {"session", V.Session},
                                  {"detail", V.Detail}}
        << '\n';
  }
}

void writeCsv(std::ostream &Out, const std::vector<Metric> &Metrics) {
  Out << "scope,metric,value,unit\n";
  for (const Metric &M : Metrics)
    Out << csvField(M.Scope) << ',' << M.Name << ',' << M.Value << ',' << M.Unit
        << '\n';
}

} // namespace borageridge::load
