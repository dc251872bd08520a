#ifndef BORAGERIDGE_ENTRY_STATEFIXTURE_H
#define BORAGERIDGE_ENTRY_STATEFIXTURE_H

#include "entry/State.h"
#include "runtime/Async.h"
#include "telemetry/Log.h"

#include <sstream>
#include <string>

namespace borageridge::entry {

/// Event loop, log and settings for tests that use the state of a daemon
/// "entry-1" in availability zone "z1".
class StateFixture {
protected:
  static instance::DaemonSettings settings() {
    instance::DaemonSettings Result;
    Result.InstanceName = "entry-1";
    Result.AvailabilityZone = "z1";
    return Result;
  }

  void runLoopFor(Duration Limit) {
    Io.restart();
    Io.run_for(Limit);
  }

  /// Whether this event was logged.
  bool hasLogged(const std::string &Event) {
    Log.flush();
    return Lines.str().find("\"event\":\"" + Event + "\"") != std::string::npos;
  }

  runtime::asio::io_context Io;
  std::ostringstream Lines;
  telemetry::Log Log{"test", telemetry::LogLevel::Info, Lines};
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STATEFIXTURE_H
