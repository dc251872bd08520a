#include "telemetry/LibraryMessages.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <google/protobuf/stubs/logging.h>
#include <grpc/support/log.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace borageridge::telemetry {
namespace {

// Passes a limited number of lines in each second.
class LineLimit {
public:
  // The number of lines left out since the last one, or nothing if this line is
  // to be left out too.
  std::optional<std::uint64_t> pass(std::int64_t Second) {
    const absl::MutexLock Lock(&Guard);
    if (Second != Present) {
      Present = Second;
      Passed = 0;
    }
    if (Passed == LibraryMessages::MaxPerSecond) {
      ++LeftOut;
      return std::nullopt;
    }
    ++Passed;
    return std::exchange(LeftOut, 0);
  }

private:
  absl::Mutex Guard;
  std::int64_t Present = 0;
  std::uint64_t Passed = 0;
  std::uint64_t LeftOut = 0;
};

// The libraries take plain functions, so that their target is global.
absl::Mutex TargetGuard;
Log *Target = nullptr;
LineLimit Limit;

void write(std::string_view Library, std::string_view Message) {
  const absl::ReaderMutexLock Lock(&TargetGuard);
  if (Target == nullptr || !Target->enabled(event::LibraryMessage.Level))
    return;
  if (const auto LeftOut = Limit.pass(absl::ToUnixSeconds(absl::Now())))
    Target->write(event::LibraryMessage, Library, Message, *LeftOut);
}

void writeGrpc(gpr_log_func_args *Arguments) {
  if (Arguments->severity == GPR_LOG_SEVERITY_ERROR)
    write("grpc", Arguments->message);
}

void writeProtobuf(google::protobuf::LogLevel Level, const char * /*File*/,
                   int /*Line*/, const std::string &Message) {
  if (Level >= google::protobuf::LOGLEVEL_WARNING)
    write("protobuf", Message);
}

void setTarget(Log *NewTarget) {
  const absl::MutexLock Lock(&TargetGuard);
  Target = NewTarget;
}

} // namespace

LibraryMessages::LibraryMessages(Log &NewTarget) {
  setTarget(&NewTarget);
  // Messages before the first use of gRPC would be lost otherwise.
  gpr_set_log_verbosity(GPR_LOG_SEVERITY_ERROR);
  gpr_set_log_function(writeGrpc);
  google::protobuf::SetLogHandler(writeProtobuf);
}

LibraryMessages::~LibraryMessages() {
  // A null function restores the default of each library; protobuf's is
  // silence.
  gpr_set_log_function(nullptr);
  google::protobuf::SetLogHandler(nullptr);
  setTarget(nullptr);
}

} // namespace borageridge::telemetry
