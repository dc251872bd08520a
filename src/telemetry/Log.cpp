#include "telemetry/Log.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <iostream>
#include <utility>

namespace borageridge::telemetry {
namespace {

namespace logging = boost::log;

// About 3 MB of lines of usual length; a burst of a few seconds.
constexpr std::size_t MaxQueuedLines = 10000;

// Whether the line that this thread submitted last was dropped. Queues report
// an overflow on the submitting thread.
thread_local bool LineDropped = false;

// Overflow policy of a bounded queue. Waiting for standard error could stop the
// request path, so lines are dropped instead.
// NOLINTBEGIN(readability-identifier-naming): Boost.Log prescribes the names.
struct DropLine {
  template <typename Lock>
  static bool on_overflow(const logging::record_view & /*Record*/,
                          Lock & /*Held*/) {
    LineDropped = true;
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

std::string uniqueChannel() {
  static std::atomic<std::uint64_t> Last = 0;
  return "borageridge-" + std::to_string(++Last);
}

} // namespace

// The core of Boost.Log is global; a channel of its own keeps the lines of one
// log apart from those of another in the same process.
class Log::Sink {
public:
  explicit Sink(std::ostream &Out)
      : Channel(uniqueChannel()), Logger(logging::keywords::channel = Channel),
        Front(boost::make_shared<Frontend>(makeBackend(Out))) {
    Front->set_filter(logging::expressions::attr<std::string>("Channel") ==
                      Channel);
    Front->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
    logging::core::get()->add_sink(Front);
  }

  ~Sink() {
    // A stream that throws must not end a process that is about to end anyway.
    try {
      logging::core::get()->remove_sink(Front);
      Front->stop();
      Front->flush();
    } catch (...) {
      LineDropped = true;
    }
  }

  Sink(const Sink &) = delete;
  Sink &operator=(const Sink &) = delete;

  // Returns false if the line was dropped.
  bool write(const std::string &Line) {
    LineDropped = false;
    BOOST_LOG(Logger) << Line;
    return !LineDropped;
  }

  void flush() { Front->flush(); }

private:
  using Backend = logging::sinks::text_ostream_backend;
  using Frontend = logging::sinks::asynchronous_sink<
      Backend, logging::sinks::bounded_fifo_queue<MaxQueuedLines, DropLine>>;

  static boost::shared_ptr<Backend> makeBackend(std::ostream &Out) {
    auto Result = boost::make_shared<Backend>();
    Result->add_stream(
        boost::shared_ptr<std::ostream>(&Out, [](std::ostream *) {}));
    Result->auto_flush(true);
    return Result;
  }

  std::string Channel;
  logging::sources::channel_logger_mt<std::string> Logger;
  boost::shared_ptr<Frontend> Front;
};

Log::Log(std::string_view Instance, LogLevel LeastLevel)
    : Log(Instance, LeastLevel, std::cerr) {}

Log::Log(std::string_view Instance, LogLevel LeastLevel, std::ostream &Stream)
    : Least(LeastLevel), Out(std::make_unique<Sink>(Stream)) {
  appendJson(InstanceJson, Instance);
}

Log::~Log() = default;

std::string Log::begin(std::string_view Event, LogLevel Level) const {
  constexpr std::size_t UsualLineBytes = 256;
  std::string Line;
  Line.reserve(UsualLineBytes);
  Line.append("{\"time\":\"");
  Line.append(absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                               absl::UTCTimeZone()));
  Line.append("\",\"level\":\"").append(name(Level));
  Line.append("\",\"event\":\"").append(Event);
  Line.append("\",\"instance\":").append(InstanceJson);
  return Line;
}

void Log::submit(std::string Line) {
  Line.push_back('}');
  if (Out->write(Line))
    reportDropped();
  else
    Dropped.fetch_add(1, std::memory_order_relaxed);
}

void Log::reportDropped() {
  if (Dropped.load(std::memory_order_relaxed) == 0)
    return;
  const std::uint64_t Lines = Dropped.exchange(0, std::memory_order_relaxed);
  std::string Notice =
      begin(event::LogLinesDropped.Name, event::LogLinesDropped.Level);
  appendField(Notice, event::LogLinesDropped.Keys[0], Lines);
  if (!Out->write(Notice.append("}")))
    Dropped.fetch_add(Lines, std::memory_order_relaxed);
}

void Log::flush() { Out->flush(); }

} // namespace borageridge::telemetry
