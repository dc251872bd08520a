#include "load/HistoryWriter.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace borageridge::load {

namespace {

const char *name(Result Outcome) {
  switch (Outcome) {
  case Result::Acknowledged:
    return "acknowledged";
  case Result::NotRun:
    return "not_run";
  case Result::Unknown:
    return "unknown";
  }
  return "unknown";
}

nlohmann::ordered_json describe(const Scenario &S, const RunHistory &Run,
                                const Operation &Op,
                                const RequestRecord &Record) {
  const auto SinceStart = [&](Time At) {
    return std::chrono::duration<double, std::milli>(At - Run.Start).count();
  };
  nlohmann::ordered_json Values = nlohmann::ordered_json::array();
  for (const RegisterValue &V : Op.Values)
    Values.push_back({V.Key, V.Value});
  return {{"session", Op.Session},
          {"database", S.Databases[Op.Database]},
          {"operation", S.Operations[Record.Spec].Name},
          {"kind", std::string(load::name(Op.Kind))},
          {"outcome", name(Op.Outcome)},
          {"reason", caller::RefusalReason_Name(Record.Reason)},
          {"value", Op.Value},
          {"count", Op.Count},
          {"values", Values},
          {"intended_ms", SinceStart(Record.Intended)},
          {"first_sent_ms", SinceStart(Op.FirstSent)},
          {"sent_ms", SinceStart(Op.Sent)},
          {"completed_ms", SinceStart(Op.Completed)},
          {"tries", Record.Tries},
          {"term", Op.ServedTerm},
          {"replica", Record.Replica},
          {"replayed", Op.Replayed}};
}

} // namespace

void writeHistory(std::ostream &Out, const Scenario &S, const RunHistory &Run) {
  for (std::size_t I = 0; I < Run.History.size(); ++I)
    Out << describe(S, Run, Run.History[I], Run.Records[I]) << '\n';
}

} // namespace borageridge::load
