#ifndef BORAGERIDGE_TELEMETRY_LOG_H
#define BORAGERIDGE_TELEMETRY_LOG_H

#include "telemetry/Events.h"
#include "telemetry/Json.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>

namespace borageridge::telemetry {

/// Writes one JSON object a line: time (UTC), level, event, instance, then the
/// event's fields. Lines are queued and written by a thread of the log; when
/// the queue is full, lines are dropped and counted, and a later line tells how
/// many. Thread-safe.
class Log {
public:
  /// Writes to standard error.
  Log(std::string_view Instance, LogLevel Least);
  /// The stream must outlive the log.
  Log(std::string_view Instance, LogLevel Least, std::ostream &Out);
  /// Writes the queued lines.
  ~Log();
  Log(const Log &) = delete;
  Log &operator=(const Log &) = delete;

  bool enabled(LogLevel Level) const { return Level >= Least; }

  /// The values are those of the event's keys, in the same order.
  template <typename... Fields>
  void write(const EventType<Fields...> &Event,
             const std::type_identity_t<Fields> &...Values) {
    if (!enabled(Event.Level))
      return;
    std::string Line = begin(Event.Name, Event.Level);
    std::size_t Index = 0;
    (appendField(Line, Event.Keys[Index++], Values), ...);
    submit(std::move(Line));
  }

  /// Waits until the queued lines are written.
  void flush();

private:
  class Sink;

  template <typename T>
  static void appendField(std::string &Line, std::string_view Key,
                          const T &Value) {
    Line.append(",\"").append(Key).append("\":");
    appendJson(Line, Value);
  }

  std::string begin(std::string_view Event, LogLevel Level) const;
  void submit(std::string Line);
  void reportDropped();

  LogLevel Least;
  /// The instance's name as a JSON string.
  std::string InstanceJson;
  /// Lines lost since the last line that told about it.
  std::atomic<std::uint64_t> Dropped = 0;
  std::unique_ptr<Sink> Out;
};

} // namespace borageridge::telemetry

#endif // BORAGERIDGE_TELEMETRY_LOG_H
