#include "standins/instances/InstanceServer.h"
#include "standins/instances/InstancesFile.h"
#include "standins/support/ServerOptions.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace borageridge;

namespace {

struct Options {
  std::string Listen = "127.0.0.1:7600";
  std::string Control = "127.0.0.1:7601";
  std::string File;
  std::uint32_t LagMs = 0;
  standins::TlsFiles Tls;
};

void declare(CLI::App &App, Options &O) {
  App.add_option("--listen", O.Listen, "IP:port of the InstanceListService")
      ->capture_default_str();
  App.add_option("--control", O.Control,
                 "IP:port of the ControlService; faults do not affect it")
      ->capture_default_str();
  App.add_option("--instances", O.File, "TOML file with the initial list")
      ->check(CLI::ExistingFile);
  App.add_option("--list-lag-ms", O.LagMs,
                 "Time after which a change becomes visible")
      ->capture_default_str();
  App.add_option("--certificate-file", O.Tls.Certificate, "PEM certificate");
  App.add_option("--key-file", O.Tls.Key, "PEM private key");
  App.add_option("--authority-file", O.Tls.Authority,
                 "PEM authority of the callers' certificates");
}

Expected<control::InstanceSet> initialList(const std::string &Path) {
  if (Path.empty())
    return control::InstanceSet();
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return standins::parseInstances(Text.str());
}

int fail(const Failure &Why) {
  std::cerr << Why << '\n';
  return 1;
}

int serve(const Options &O) {
  const auto Initial = initialList(O.File);
  if (!Initial.has_value())
    return fail(Initial.error());
  standins::InstanceServer Instances(Initial.value());
  control::Faults Lag;
  Lag.set_list_lag_ms(O.LagMs);
  Instances.setFaults(Lag);
  auto Credentials = standins::serverCredentials(O.Tls);
  if (!Credentials.has_value())
    return fail(Credentials.error());
  auto Service =
      standins::startServer(O.Listen, Credentials.value(), {&Instances.list()});
  if (!Service.has_value())
    return fail(Service.error());
  auto Control = standins::startServer(
      O.Control, grpc::InsecureServerCredentials(), {&Instances.control()});
  if (!Control.has_value())
    return fail(Control.error());
  std::cout << "ready" << std::endl;
  standins::waitForStopSignal();
  Service.value().Server->Shutdown(std::chrono::system_clock::now());
  Control.value().Server->Shutdown(std::chrono::system_clock::now());
  return 0;
}

int run(int ArgumentCount, char **Arguments) {
  standins::blockStopSignals();
  CLI::App App("Stand-in for the platform's list of instances");
  Options O;
  declare(App, O);
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return serve(O);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 1;
  }
}
