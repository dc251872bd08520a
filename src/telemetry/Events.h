#ifndef BORAGERIDGE_TELEMETRY_EVENTS_H
#define BORAGERIDGE_TELEMETRY_EVENTS_H

#include "borageridge/Types.h"
#include "settings/Settings.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace borageridge::telemetry {

using settings::LogLevel;

/// A kind of log line: its name, level, and the keys of its fields, whose types
/// are the template's arguments.
template <typename... Fields> struct EventType {
  std::string_view Name;
  LogLevel Level;
  std::array<std::string_view, sizeof...(Fields)> Keys;
};

/// Log events. docs/telemetry.md explains each; durations are milliseconds.
namespace event {

using Text = std::string_view;
using Number = std::uint64_t;

inline constexpr EventType<Text, Text, Text> ProxyStarted{
    "proxy_started",
    LogLevel::Info,
    {"caller_address", "peer_address", "availability_zone"}};
inline constexpr EventType<Number, Number> ProxyReady{
    "proxy_ready", LogLevel::Info, {"table_version", "databases"}};
inline constexpr EventType<Number, Text> ProxyDraining{
    "proxy_draining", LogLevel::Info, {"in_flight", "cause"}};
inline constexpr EventType<Number, Number> ProxyStopped{
    "proxy_stopped", LogLevel::Info, {"in_flight", "drain_ms"}};
inline constexpr EventType<Text, Text> StartFailed{
    "start_failed", LogLevel::Error, {"part", "detail"}};
inline constexpr EventType<Text, Number, Text, Text, Text> SettingsRefused{
    "settings_refused",
    LogLevel::Error,
    {"file", "line", "key", "reason", "detail"}};
inline constexpr EventType<Number> LogLinesDropped{
    "log_lines_dropped", LogLevel::Warning, {"lines"}};
inline constexpr EventType<Text, Text, Number> LibraryMessage{
    "library_message", LogLevel::Warning, {"library", "message", "left_out"}};

inline constexpr EventType<Number, Text, Number> TableApplied{
    "table_applied", LogLevel::Info, {"version", "author", "changes"}};
inline constexpr EventType<Number, Number, Text, Text> TableRefused{
    "table_refused", LogLevel::Error, {"version", "line", "key", "reason"}};
inline constexpr EventType<Number, Number> TableUnconfirmed{
    "table_unconfirmed", LogLevel::Warning, {"version", "age_ms"}};

inline constexpr EventType<Text, Number> GroupAdded{
    "group_added", LogLevel::Info, {"database", "members"}};
inline constexpr EventType<Text, Number, Number, Text, Text> RecordApplied{
    "record_applied",
    LogLevel::Info,
    {"database", "version", "term", "phase", "primary"}};
inline constexpr EventType<Text, Text, Text> MemberSuspected{
    "member_suspected", LogLevel::Warning, {"database", "member", "evidence"}};
inline constexpr EventType<Text, Text, Number> MemberRecovered{
    "member_recovered", LogLevel::Info, {"database", "member", "suspected_ms"}};
inline constexpr EventType<Text, Text> MemberLeaving{
    "member_leaving", LogLevel::Info, {"database", "member"}};
inline constexpr EventType<Text, Text, Text> ConnectionDiscarded{
    "connection_discarded", LogLevel::Debug, {"database", "member", "reason"}};

inline constexpr EventType<Text, Text, Text, Number, Number> FailureConfirmed{
    "failure_confirmed",
    LogLevel::Warning,
    {"database", "member", "evidence", "observers", "availability_zones"}};
inline constexpr EventType<Text, Number, Text> ChangeStarted{
    "change_started", LogLevel::Warning, {"database", "term", "cause"}};
inline constexpr EventType<Text, Number, Text, Text> ChangeStep{
    "change_step", LogLevel::Info, {"database", "term", "phase", "primary"}};
inline constexpr EventType<Text, Number, Text, Number> ChangeCompleted{
    "change_completed",
    LogLevel::Info,
    {"database", "term", "primary", "duration_ms"}};
inline constexpr EventType<Text, Number, Text> ChangeFailed{
    "change_failed", LogLevel::Warning, {"database", "term", "reason"}};

inline constexpr EventType<Text, Text, Text> StoreUnavailable{
    "store_unavailable", LogLevel::Warning, {"call", "failure", "detail"}};
inline constexpr EventType<Number> StoreAvailable{
    "store_available", LogLevel::Info, {"outage_ms"}};
inline constexpr EventType<Text, bool> StoreAnswerLost{
    "store_answer_lost", LogLevel::Warning, {"key", "took_effect"}};
inline constexpr EventType<Text> InstanceListUnavailable{
    "instance_list_unavailable", LogLevel::Warning, {"detail"}};
inline constexpr EventType<Number> InstanceListAvailable{
    "instance_list_available", LogLevel::Info, {"outage_ms"}};
inline constexpr EventType<Text, Text, Text> PeerSeen{
    "peer_seen", LogLevel::Info, {"peer", "address", "availability_zone"}};
inline constexpr EventType<Text, Number> PeerLost{
    "peer_lost", LogLevel::Warning, {"peer", "silent_ms"}};

inline constexpr EventType<Text, Text> AuthenticationFailed{
    "authentication_failed", LogLevel::Warning, {"peer", "reason"}};
inline constexpr EventType<Text, Text, Text, Text, Text> RequestRefused{
    "request_refused",
    LogLevel::Debug,
    {"caller", "database", "class", "reason", "execution"}};
inline constexpr EventType<Text, Text, Text> OperatorCommand{
    "operator_command", LogLevel::Info, {"peer", "command", "database"}};

} // namespace event

/// An event without its field types, for the reference page.
struct EventDescription {
  std::string_view Name;
  LogLevel Level = LogLevel::Info;
  std::vector<std::string_view> Keys;
};

template <typename... Events>
std::vector<EventDescription> describeAll(const Events &...Each) {
  return {EventDescription{
      Each.Name, Each.Level, {Each.Keys.begin(), Each.Keys.end()}}...};
}

/// Every event above, in the same order.
std::vector<EventDescription> allEvents();

/// Returns the lower-case name of a level, as in log lines and settings.
std::string_view name(LogLevel Level);

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_EVENTS_H
