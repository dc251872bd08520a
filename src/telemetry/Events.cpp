#include "telemetry/Events.h"

namespace borageridge::telemetry {
std::vector<EventDescription> allEvents() {
  using namespace event;
  return describeAll(
      ProxyStarted, ProxyReady, ProxyDraining, ProxyStopped, StartFailed,
      SettingsRefused, LogLinesDropped, LibraryMessage, TableApplied,
      TableRefused, TableUnconfirmed, GroupAdded, RecordApplied,
      MemberSuspected, MemberRecovered, MemberLeaving, ConnectionDiscarded,
      FailureConfirmed, ChangeStarted, ChangeStep, ChangeCompleted,
      ChangeFailed, StoreUnavailable, StoreAvailable, StoreAnswerLost,
      InstanceListUnavailable, InstanceListAvailable, PeerSeen, PeerLost,
      AuthenticationFailed, RequestRefused, OperatorCommand);
}

std::string_view name(LogLevel Level) {
  switch (Level) {
  case LogLevel::Trace:
    return "trace";
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

} // namespace borageridge::telemetry
