#ifndef BORAGERIDGE_ENTRY_EVENTS_H
#define BORAGERIDGE_ENTRY_EVENTS_H

#include "telemetry/Events.h"

#include <vector>

namespace borageridge::entry {

/// Log events of the entry daemon, described in docs/OPERATIONS.md. Durations
/// are in milliseconds.
namespace event {

using telemetry::EventType;
using telemetry::LogLevel;
using telemetry::event::Number;
using telemetry::event::Text;

// Process lifecycle.
inline constexpr EventType<Text, Text, Number> Started{
    "started",
    LogLevel::Info,
    {"caller_address", "availability_zone", "incarnation"}};
inline constexpr EventType<Number, Number> Ready{
    "ready", LogLevel::Info, {"config_version", "services"}};
inline constexpr EventType<Number> Draining{
    "draining", LogLevel::Info, {"sessions"}};
inline constexpr EventType<Number, Number, Number> Stopped{
    "stopped", LogLevel::Info, {"sessions", "unanswered", "drain_ms"}};
inline constexpr EventType<Text> SettingsReloaded{
    "settings_reloaded", LogLevel::Info, {"result"}};
inline constexpr EventType<Text, Text> StartFailed{
    "start_failed", LogLevel::Error, {"part", "detail"}};

// Configuration, members, the store and peers.
inline constexpr EventType<Number, Number, Number, Number, Number>
    ConfigApplied{"config_applied",
                  LogLevel::Info,
                  {"version", "routes", "services", "revision", "store_era"}};
inline constexpr EventType<Number, Number, Number, Number> ConfigSkipped{
    "config_skipped",
    LogLevel::Warning,
    {"version", "revision", "store_era", "applied_version"}};
inline constexpr EventType<Text, Text> EntryIgnored{
    "entry_ignored", LogLevel::Warning, {"key", "detail"}};
inline constexpr EventType<Text, Number, Number, Text, bool, Text, Text, Number>
    RecordApplied{"record_applied",
                  LogLevel::Info,
                  {"service", "epoch", "term", "primary", "changing",
                   "candidate", "writer", "fencing_token"}};
inline constexpr EventType<Text, Number, Number, Text, Number, Number>
    PrimaryUseEnded{"primary_use_ended",
                    LogLevel::Info,
                    {"service", "epoch", "term", "primary",
                     "acknowledged_writes", "last_write_ms"}};
inline constexpr EventType<Text, Number, Text, Text> PrimarySuperseded{
    "primary_superseded",
    LogLevel::Warning,
    {"service", "epoch", "primary", "shown_by"}};
inline constexpr EventType<Text, Text> MemberLeaving{
    "member_leaving", LogLevel::Info, {"service", "member"}};
inline constexpr EventType<Text, Text, Text> MemberSuspected{
    "member_suspected", LogLevel::Warning, {"service", "member", "evidence"}};
inline constexpr EventType<Text, Text> MemberRecovered{
    "member_recovered", LogLevel::Info, {"service", "member"}};
inline constexpr EventType<Text, Text, Text> ConnectionRefused{
    "connection_refused", LogLevel::Warning, {"service", "member", "error"}};
inline constexpr EventType<Text, Text> StoreLost{
    "store_lost", LogLevel::Warning, {"call", "failure"}};
inline constexpr EventType<Number> StoreRegained{
    "store_regained", LogLevel::Info, {"outage_ms"}};
inline constexpr EventType<Number, Number> StoreRestored{
    "store_restored", LogLevel::Warning, {"store_era", "former_era"}};
inline constexpr EventType<Number> LeaseGranted{
    "lease_granted", LogLevel::Info, {"lease"}};
inline constexpr EventType<Text> LeaseLost{
    "lease_lost", LogLevel::Warning, {"cause"}};
inline constexpr EventType<Number, Text, Text> PeersLost{
    "peers_lost", LogLevel::Warning, {"count", "peers", "failure"}};
inline constexpr EventType<Text> PeerSeen{
    "peer_seen", LogLevel::Info, {"peer"}};

inline constexpr EventType<Text, Text> PeerMessageRejected{
    "peer_message_rejected", LogLevel::Warning, {"sender", "detail"}};
inline constexpr EventType<Text, Text> TaskFailed{
    "task_failed", LogLevel::Error, {"task", "detail"}};

// Changes of primary.
inline constexpr EventType<Number> DutyTaken{
    "duty_taken", LogLevel::Info, {"fencing_token"}};
inline constexpr EventType<Text> DutyLost{
    "duty_lost", LogLevel::Info, {"cause"}};
inline constexpr EventType<Text, Text, Number, Number> ChangeStarted{
    "change_started",
    LogLevel::Warning,
    {"service", "cause", "reporters", "live_daemons"}};
inline constexpr EventType<Text, Text, Text> ChangeStep{
    "change_step", LogLevel::Info, {"service", "step", "detail"}};
inline constexpr EventType<Text, Text, Number, Number> PromotionCalled{
    "promotion_called",
    LogLevel::Warning,
    {"service", "member", "fencing_token", "epoch"}};
inline constexpr EventType<Text, Text, Number, Text, Number> PromotionAnswered{
    "promotion_answered",
    LogLevel::Warning,
    {"service", "member", "fencing_token", "result", "took_ms"}};
inline constexpr EventType<Text, Text, Number, Number> ChangeCompleted{
    "change_completed",
    LogLevel::Info,
    {"service", "primary", "term", "duration_ms"}};
inline constexpr EventType<Text, Text> ChangeFailed{
    "change_failed", LogLevel::Warning, {"service", "reason"}};
inline constexpr EventType<Text, Number> UseRelinquished{
    "use_relinquished", LogLevel::Info, {"service", "epoch"}};

// Quotas.
inline constexpr EventType<Number, Number> CounterTaken{
    "counter_taken", LogLevel::Info, {"counter", "revision"}};
inline constexpr EventType<Number, Text> CounterLost{
    "counter_lost", LogLevel::Info, {"counter", "cause"}};

// Requests.
inline constexpr EventType<Text, Text, Text, Text, Text, Text, Number, Number,
                           Number>
    RequestRefused{"request_refused",
                   LogLevel::Warning,
                   {"request", "database", "service", "error", "reason",
                    "member", "waited_ms", "config_version", "epoch"}};
inline constexpr EventType<Text, Text, Text, Number, Number> CallerRefused{
    "caller_refused",
    LogLevel::Warning,
    {"database", "key_fingerprint", "reason", "config_version",
     "config_age_ms"}};
inline constexpr EventType<Text, Number, Number> CallerClosed{
    "caller_closed",
    LogLevel::Warning,
    {"limit", "held_bytes", "callers_bytes"}};
inline constexpr EventType<Text, Text, Text, Number> RequestRetried{
    "request_retried",
    LogLevel::Info,
    {"request", "member", "cause", "attempt"}};
inline constexpr EventType<Number> LinesSuppressed{
    "lines_suppressed", LogLevel::Warning, {"lines"}};

} // namespace event

/// Every event above, in the same order.
std::vector<telemetry::EventDescription> allEvents();

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EVENTS_H
