#include "standins/store/StoreServer.h"
#include "standins/support/ServerOptions.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

using namespace borageridge;

namespace {

struct Options {
  std::string Listen = "127.0.0.1:7500";
  std::string Control = "127.0.0.1:7501";
  standins::StoreLimits Limits;
  standins::TlsFiles Tls;
};

void declare(CLI::App &App, Options &O) {
  App.add_option("--listen", O.Listen, "IP:port of the KV and Watch services")
      ->capture_default_str();
  App.add_option("--control", O.Control,
                 "IP:port of the ControlService; faults do not affect it")
      ->capture_default_str();
  App.add_option("--writes-per-second", O.Limits.WritesPerSecond,
                 "Rate of writes above which RESOURCE_EXHAUSTED is returned")
      ->capture_default_str();
  App.add_option("--reads-per-second", O.Limits.ReadsPerSecond,
                 "Rate of reads and created watches")
      ->capture_default_str();
  App.add_option("--keep-revisions", O.Limits.KeepRevisions,
                 "Revisions after which changes are compacted")
      ->capture_default_str();
  App.add_option("--certificate-file", O.Tls.Certificate, "PEM certificate");
  App.add_option("--key-file", O.Tls.Key, "PEM private key");
  App.add_option("--authority-file", O.Tls.Authority,
                 "PEM authority of the callers' certificates");
}

int serve(const Options &O) {
  standins::StoreServer Store(O.Limits);
  auto Credentials = standins::serverCredentials(O.Tls);
  if (!Credentials.has_value()) {
    std::cerr << Credentials.error() << '\n';
    return 1;
  }
  auto Service = standins::startServer(O.Listen, Credentials.value(),
                                       {&Store.keyValue(), &Store.watch()});
  auto Control = standins::startServer(
      O.Control, grpc::InsecureServerCredentials(), {&Store.control()});
  if (!Service.has_value() || !Control.has_value()) {
    std::cerr << (Service.has_value() ? Control : Service).error() << '\n';
    return 1;
  }
  std::cout << "ready" << std::endl;
  standins::waitForStopSignal();
  Service.value().Server->Shutdown(std::chrono::system_clock::now());
  Control.value().Server->Shutdown(std::chrono::system_clock::now());
  return 0;
}

int run(int ArgumentCount, char **Arguments) {
  standins::blockStopSignals();
  CLI::App App("Stand-in for the platform's key-value service");
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
