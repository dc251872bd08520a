#include "proxy/Daemon.h"
#include "settings/Callers.h"
#include "settings/Settings.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <thread>

namespace {

using borageridge::Expected;
using borageridge::proxy::Daemon;
using borageridge::proxy::DaemonConfiguration;
using borageridge::settings::CallerDirectory;
using borageridge::settings::SettingsError;

enum ExitCode : int {
  ExitOk = 0,
  ExitCutOff = 1,
  ExitUsage = 2,
  ExitSettings = 4,
  ExitAddress = 5,
  ExitInternal = 70,
};

Expected<DaemonConfiguration, SettingsError>
loadConfiguration(const std::string &Path) {
  DaemonConfiguration Configuration;
  auto Settings = borageridge::settings::load(Path);
  if (!Settings.has_value())
    return Settings.error();
  Configuration.Settings = std::move(Settings.value());
  const auto &Security = Configuration.Settings.Security;
  auto Callers = CallerDirectory::load(Security.CallersFile.string());
  if (!Callers.has_value())
    return Callers.error();
  Configuration.Callers = std::move(Callers.value());
  auto Key =
      borageridge::settings::loadTokenKey(Security.TokenKeyFile.string());
  if (!Key.has_value())
    return Key.error();
  Configuration.TokenKey = std::move(Key.value());
  return Configuration;
}

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

int run(int ArgumentCount, char **Arguments) {
  CLI::App App("Database proxy with session consistency");
  std::string Path;
  bool CheckOnly = false;
  App.add_option("--settings", Path, "Settings file (TOML)")->required();
  App.add_flag("--check", CheckOnly, "Check the settings and exit");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? ExitOk : ExitUsage;
  }
  auto Configuration = loadConfiguration(Path);
  if (!Configuration.has_value()) {
    std::cerr << Configuration.error() << '\n';
    return ExitSettings;
  }
  if (CheckOnly)
    return ExitOk;

  // Every thread inherits the mask, so that only the thread below takes the
  // signals.
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Daemon Proxy(std::move(Configuration.value()));
  if (!Proxy.start().has_value())
    return ExitAddress;
  std::thread([&Proxy, Signals]() {
    int Received = 0;
    while (sigwait(&Signals, &Received) == 0)
      Proxy.requestStop("signal");
  }).detach();
  const std::size_t CutOff = Proxy.run();
  // The process ends here: nothing it holds outlives it, and ending the
  // servers first would only wait for idle connections.
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(CutOff == 0 ? ExitOk : ExitCutOff);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &Why) {
    std::fprintf(stderr, "borageridged: %s\n", Why.what());
    return ExitInternal;
  }
}
