#include "Options.h"

#include "load/Audit.h"
#include "load/HistoryChecker.h"
#include "load/HistoryWriter.h"
#include "load/Results.h"
#include "load/Runner.h"
#include "load/Scenario.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>

namespace borageridge::load {

namespace {

int fail(const std::string &What) {
  std::cerr << "borageridge-load: " << What << '\n';
  return ExitFailure;
}

/// Scripts wait for these lines to act at a known point of the run.
void progress(const char *Event) {
  std::cerr << "{\"record\":\"progress\",\"event\":\"" << Event << "\"}"
            << std::endl;
}

Expected<Scenario> loadScenario(const Options &O) {
  std::ifstream In(O.ScenarioFile);
  if (!In)
    return Failure{FailureKind::NotFound, "no scenario file"};
  const std::string Text(std::istreambuf_iterator<char>(In), {});
  auto Parsed = parseScenario(Text);
  if (!Parsed.has_value())
    return Parsed;
  Scenario &S = Parsed.value();
  if (!O.Proxies.empty())
    S.Proxies = O.Proxies;
  if (!O.Databases.empty())
    S.Databases = O.Databases;
  if (O.LengthMs)
    S.Length = std::chrono::milliseconds(*O.LengthMs);
  if (O.Seed)
    S.Seed = *O.Seed;
  if (S.Proxies.empty() || S.Databases.empty())
    return Failure{FailureKind::InvalidArgument,
                   "the scenario names no proxies or no databases"};
  return Parsed;
}

std::string runName(const Options &O) {
  if (!O.RunName.empty())
    return O.RunName;
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return "run-" + std::to_string(Now.count());
}

int report(const Options &O, const Scenario &S, const RunHistory &Run,
           const std::vector<Violation> &Violations) {
  const auto Metrics = summarize(S, Run, Violations);
  std::ofstream Json;
  if (!O.JsonFile.empty())
    Json.open(O.JsonFile);
  writeJsonLines(O.JsonFile.empty() ? std::cout : Json, S, Metrics, Violations);
  if (!O.CsvFile.empty()) {
    std::ofstream Csv(O.CsvFile);
    writeCsv(Csv, Metrics);
  }
  return Violations.empty() ? ExitOk : ExitViolations;
}

} // namespace

int runMode(const Options &O) {
  const auto Loaded = loadScenario(O);
  if (!Loaded.has_value())
    return fail(O.ScenarioFile + ": " + Loaded.error().Detail);
  const Scenario &S = Loaded.value();
  const std::string Run = runName(O);
  CallerClient Client(S.Proxies, S.Client.ChannelsPerProxy, O.Identity);
  const auto Token = prepareDatabases(Client, S, Run);
  if (!Token.has_value())
    return fail("preparation: " + Token.error().Detail);
  progress("traffic_started");
  const RunHistory History = runScenario(S, Run, Token.value(), Client);
  progress("traffic_settled");
  if (!O.HistoryFile.empty()) {
    std::ofstream Out(O.HistoryFile);
    writeHistory(Out, S, History);
  }
  const auto Final = readFinalState(Client, S, Run);
  if (!Final.has_value())
    return fail("audit: " + Final.error().Detail);
  progress("audit_done");
  const auto Violations = HistoryChecker(History.History).check(Final.value());
  return report(O, S, History, Violations);
}

} // namespace borageridge::load
