#ifndef BORAGERIDGE_LOAD_HISTORY_H
#define BORAGERIDGE_LOAD_HISTORY_H

#include "borageridge/Types.h"

#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string_view>
#include <vector>

namespace borageridge::load {

/// Index of a session of the load tool. Each session owns one register row
/// per database.
using SessionId = std::uint32_t;

/// Index of a database in the scenario.
using DatabaseId = std::uint32_t;

/// What a request does.
enum class OperationKind {
  /// Sets the session's own register to the next higher value. Idempotent.
  RegisterWrite,
  /// Inserts a job record with a number that is unique in the session. Not
  /// repeatable.
  JobInsert,
  /// Reads the registers of one or more sessions.
  RegisterRead,
  /// Counts the records of one of the session's own jobs.
  JobRead,
};

std::string_view name(OperationKind Kind);
bool isWrite(OperationKind Kind);

/// What the caller knows about the effect of a request when it gives up or has
/// an answer.
enum class Result {
  /// A complete answer came.
  Acknowledged,
  /// The system stated that the request did not and will not take effect.
  NotRun,
  /// The request may have taken effect.
  Unknown,
};

/// Whether the answer carried the marker of its own request.
enum class MarkerCheck { Own, Missing, Foreign };

/// A register and the value that was read from it.
struct RegisterValue {
  SessionId Key = 0;
  std::uint64_t Value = 0;
};

/// One request of a session with everything that the checker needs to know.
/// All times are of the load tool's own monotonic clock.
struct Operation {
  SessionId Session = 0;
  DatabaseId Database = 0;
  OperationKind Kind = OperationKind::RegisterRead;
  Result Outcome = Result::Unknown;
  MarkerCheck Marker = MarkerCheck::Own;
  bool Replayed = false;
  /// When the first try was sent.
  Time FirstSent;
  /// When the try was sent that got the final answer.
  Time Sent;
  Time Completed;
  /// Term of the member that answered; 0 if not known.
  Term ServedTerm = 0;
  /// Value or job number that is written, or job number that is read.
  std::uint64_t Value = 0;
  /// For JobRead: how many records of the job were found.
  std::uint64_t Count = 0;
  /// For reads: the oldest answer that the request accepted.
  Duration AcceptedAge{};
  /// For RegisterRead: the first register that is read.
  SessionId FirstKey = 0;
  /// For RegisterRead: number of registers that a complete answer contains.
  std::uint32_t ExpectedValues = 0;
  absl::InlinedVector<RegisterValue, 1> Values;
};

/// A job record as the final audit found it.
struct JobCount {
  DatabaseId Database = 0;
  SessionId Session = 0;
  std::uint64_t Number = 0;
  std::uint64_t Count = 0;
};

/// A register as the final audit found it.
struct FinalRegister {
  DatabaseId Database = 0;
  SessionId Key = 0;
  std::uint64_t Value = 0;
};

/// Contents of all databases after the last request was settled.
struct FinalState {
  std::vector<FinalRegister> Registers;
  std::vector<JobCount> Jobs;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_HISTORY_H
