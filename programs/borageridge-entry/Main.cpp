#include "entry/Daemon.h"
#include "entry/Events.h"
#include "platform/Boot.h"
#include "runtime/Async.h"
#include "runtime/Clock.h"
#include "telemetry/Log.h"

#include <CLI/CLI.hpp>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>

namespace {

using borageridge::Expected;
using borageridge::instance::DaemonSettings;

// Exit codes of sysexits.h.
constexpr int BadUsage = 64;
constexpr int InternalError = 70;
constexpr int BadSettings = 78;
constexpr int CannotStart = 71;
// Larger allocations are returned to the system when they are freed.
constexpr int LargeAllocationBytes = 128 * 1024;

struct Options {
  std::string SettingsPath = borageridge::platform::settingsPath();
  std::uint16_t MetricsPort = 0;
  bool CheckOnly = false;
};

int run(const Options &Given) {
  namespace entry = borageridge::entry;
  namespace runtime = borageridge::runtime;
  const Expected<DaemonSettings> Settings =
      borageridge::platform::readSettings(Given.SettingsPath);
  if (!Settings) {
    std::cerr << Settings.error() << '\n';
    return BadSettings;
  }
  runtime::tcp::endpoint Store;
  runtime::tcp::endpoint Promotion;
  for (const auto &[Text, Address] :
       {std::pair(Settings.value().StoreAddress, &Store),
        std::pair(Settings.value().PromotionAddress, &Promotion)})
    if (runtime::parseEndpoint(Text, *Address)) {
      std::cerr << Given.SettingsPath << ": \"" << Text
                << "\" is not an address\n";
      return BadSettings;
    }
  if (Given.CheckOnly) {
    std::cout << Given.SettingsPath << ": valid\n";
    return 0;
  }
  // Otherwise the C library raises the threshold when a large message has been
  // freed, and keeps the memory of later ones.
  mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
  std::signal(SIGPIPE, SIG_IGN);
  borageridge::telemetry::Log Log(Settings.value().InstanceName,
                                  borageridge::settings::LogLevel::Info,
                                  std::cout);
  runtime::asio::io_context Io(1);
  const auto Incarnation = static_cast<std::uint64_t>(
      runtime::wallTime().time_since_epoch().count());
  entry::Daemon Daemon(Io, Settings.value(), Store, Promotion, Incarnation,
                       Log);
  if (const Expected<void> Started = Daemon.start(Given.MetricsPort);
      !Started) {
    Log.write(entry::event::StartFailed, "listen", Started.error().Detail);
    return CannotStart;
  }
  runtime::runUntilStopped(Io, [&Log](std::string_view Error) {
    Log.write(entry::event::TaskFailed, "event loop", Error);
  });
  Log.flush();
  std::cout.flush();
  // Open sessions and their coroutines end with the process.
  std::_Exit(0);
}

int runProgram(int ArgumentCount, char **Arguments) {
  Options Given;
  CLI::App App("Database proxy with session consistency: entry daemon");
  App.add_option("--settings", Given.SettingsPath,
                 "Settings file of the platform");
  App.add_option("--metrics-port", Given.MetricsPort,
                 "Port of the metrics; none if 0");
  App.add_flag("--check", Given.CheckOnly,
               "Check the settings and end, 0 if they are valid");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    const int Code = App.exit(Error);
    return Code == 0 ? 0 : BadUsage;
  }
  return run(Given);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return runProgram(ArgumentCount, Arguments);
  } catch (const std::exception &Why) {
    std::fprintf(stderr, "borageridge-entry: %s\n", Why.what());
    return InternalError;
  }
}
