#ifndef BORAGERIDGE_LOAD_OPTIONS_H
#define BORAGERIDGE_LOAD_OPTIONS_H

#include "load/CallerClient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::load {

/// Exit codes of the program.
enum ExitCode : int {
  ExitOk = 0,
  /// At least one promise was broken.
  ExitViolations = 1,
  /// The run or its audit could not be done.
  ExitFailure = 2,
};

/// Command line of borageridge-load.
struct Options {
  std::string ScenarioFile;
  std::vector<std::string> Proxies;
  std::vector<std::string> Databases;
  std::optional<std::int64_t> LengthMs;
  std::optional<std::uint64_t> Seed;
  std::string RunName;
  std::string JsonFile;
  std::string CsvFile;
  std::string HistoryFile;
  CallerIdentity Identity;
  std::string SecretFile;

  bool Probe = false;
  std::string Endpoint;
  std::string RequestClass;
  std::uint32_t Connections = 1;
  std::uint32_t Repeats = 5;
  std::int64_t SliceMs = 2000;
  std::uint32_t AcceptedAgeMs = 1000;

  std::uint32_t IdleSessions = 0;
  std::int64_t HoldMs = 10000;

  std::string Admin;
  std::string ChangePrimary;
};

/// Parses the command line. Returns an exit code if the program must end.
std::optional<int> parseOptions(int ArgumentCount, char **Arguments,
                                Options &Result);

/// Runs a scenario and checks its history.
int runMode(const Options &Chosen);

/// Measures simple reads in a closed loop.
int probeMode(const Options &Chosen);

/// Prints table version and primaries of the proxy at the address Admin, or
/// starts a planned change of primary there.
int adminMode(const Options &Chosen);

/// Opens idle sessions and holds them.
int idleMode(const Options &Chosen);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_OPTIONS_H
