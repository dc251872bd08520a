#include "Options.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace borageridge::load {

namespace {

void addRunOptions(CLI::App &App, Options &O) {
  App.add_option("--scenario", O.ScenarioFile, "Scenario file in TOML")
      ->check(CLI::ExistingFile);
  App.add_option("--proxies", O.Proxies,
                 "Caller addresses of proxies, separated by commas")
      ->delimiter(',');
  App.add_option("--databases", O.Databases,
                 "Names of databases, separated by commas")
      ->delimiter(',');
  App.add_option("--length-ms", O.LengthMs, "Length of the arrivals");
  App.add_option("--seed", O.Seed, "Seed of arrivals and choices");
  App.add_option("--run", O.RunName,
                 "Name of the run in the databases; unique by default");
  App.add_option("--json", O.JsonFile,
                 "File for JSON lines; standard output by default");
  App.add_option("--csv", O.CsvFile, "File for metrics as CSV");
  App.add_option("--history", O.HistoryFile,
                 "File for every request as JSON lines");
  App.add_option("--caller", O.Identity.Caller, "Name of the caller");
  App.add_option("--secret-file", O.SecretFile,
                 "File with the secret of the caller")
      ->check(CLI::ExistingFile);
  App.add_option("--authority-file", O.Identity.AuthorityFile,
                 "PEM file with the authority of the proxies; without it the "
                 "transport is plain text")
      ->check(CLI::ExistingFile);
}

void addProbeOptions(CLI::App &App, Options &O) {
  App.add_flag("--probe", O.Probe,
               "Measure simple reads in a closed loop through the first proxy "
               "and, with --endpoint, directly");
  App.add_option("--endpoint", O.Endpoint, "Address of an endpoint");
  App.add_option("--class", O.RequestClass, "Request class of the reads");
  App.add_option("--connections", O.Connections,
                 "Connections with one request in flight each")
      ->check(CLI::Range(1, 5000));
  App.add_option("--repeats", O.Repeats, "Slices of each path")
      ->check(CLI::Range(1, 1000));
  App.add_option("--slice-ms", O.SliceMs, "Length of one slice");
  App.add_option("--accepted-age-ms", O.AcceptedAgeMs,
                 "Oldest answer that the reads accept; 0 for none");
  App.add_option("--idle-sessions", O.IdleSessions,
                 "Open this number of sessions, each with its own connection "
                 "and one read, and hold them");
  App.add_option("--hold-ms", O.HoldMs, "How long idle sessions are held");
  auto *const Admin =
      App.add_option("--admin", O.Admin,
                     "Print table version and primaries of the proxy with this "
                     "administration address");
  App.add_option("--change-primary", O.ChangePrimary,
                 "With --admin: start a planned change of this database")
      ->needs(Admin);
}

std::optional<int> readSecret(Options &O) {
  if (O.SecretFile.empty())
    return std::nullopt;
  std::ifstream In(O.SecretFile);
  if (In >> O.Identity.Secret)
    return std::nullopt;
  std::cerr << O.SecretFile << ": no secret\n";
  return ExitFailure;
}

} // namespace

std::optional<int> parseOptions(int ArgumentCount, char **Arguments,
                                Options &Result) {
  Result.Identity.Caller = "load";
  CLI::App App("Load tool of borageridge: open-loop sessions whose history is "
               "checked. Ends with 0 if no promise was broken, 1 if one was "
               "and 2 if the run failed.");
  addRunOptions(App, Result);
  addProbeOptions(App, Result);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? ExitOk : ExitFailure;
  }
  return readSecret(Result);
}

} // namespace borageridge::load
