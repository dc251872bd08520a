#ifndef BORAGERIDGE_LOAD_HISTORYCHECKER_H
#define BORAGERIDGE_LOAD_HISTORYCHECKER_H

#include "load/History.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace borageridge::load {

/// The promises that a history can break.
enum class ViolationKind {
  /// An acknowledged write is missing from the final state.
  LostWrite,
  /// A job that is not repeatable has more than one record.
  DoubledWrite,
  /// A session did not see its own acknowledged write.
  StaleOwnRead,
  /// A session read an older value than before.
  NonMonotonicRead,
  /// A write that was answered as "not run" took effect.
  FalseNotRun,
  /// An answer carries the marker of another request.
  MixedAnswer,
  /// An answer lacks its marker or some of the rows.
  IncompleteAnswer,
  /// An answer is older than the request accepted.
  TooOldAnswer,
  /// A value was read that no session had sent by then.
  UnexplainedValue,
  /// A write was acknowledged in a term although it was sent after a write of a
  /// later term had been acknowledged.
  OldTermAcknowledgement,
};

inline constexpr std::size_t ViolationKindCount = 10;

/// All kinds, in the order of the enumeration.
std::array<ViolationKind, ViolationKindCount> violationKinds();

std::string_view name(ViolationKind Kind);
std::ostream &operator<<(std::ostream &Out, ViolationKind Kind);

/// One broken promise.
struct Violation {
  ViolationKind Kind = ViolationKind::LostWrite;
  DatabaseId Database = 0;
  SessionId Session = 0;
  std::string Detail;
};

/// Decides from a recorded history which promises were broken. It does no I/O
/// and reads no clock.
///
/// A register has one writer, its session, and its values increase. This makes
/// each check a comparison of two numbers: a read must return at least the
/// highest value that it is known to contain, and at most the highest value
/// that had been sent.
class HistoryChecker {
public:
  /// Keeps a view of the operations, which must outlive the checker. The
  /// operations of one session must be in the order in which they ran.
  explicit HistoryChecker(std::span<const Operation> History);

  /// Returns all violations, in the order of the history and then those of the
  /// final state.
  std::vector<Violation> check(const FinalState &Final);

private:
  using RegisterKey = std::pair<DatabaseId, SessionId>;
  using WriteKey = std::tuple<DatabaseId, SessionId, std::uint64_t>;
  using ReadKey = std::tuple<DatabaseId, SessionId, SessionId>;

  /// A value and a time, sorted by time; values increase.
  struct TimedValue {
    Time At;
    std::uint64_t Value = 0;
  };

  struct RegisterWrites {
    std::vector<TimedValue> Acknowledged;
    std::vector<TimedValue> Sent;
  };

  void index();
  void indexWrite(const Operation &Op);
  void sortTimedValues();
  void checkOperation(const Operation &Op);
  void checkRegisterRead(const Operation &Op);
  void checkRegisterValue(const Operation &Op, const RegisterValue &Read);
  void checkJobRead(const Operation &Op);
  void checkTerm(const Operation &Op);
  void checkFinalRegisters(const FinalState &Final);
  void checkFinalJobs(const FinalState &Final);
  void checkJobCount(const JobCount &Job);
  void report(ViolationKind Kind, DatabaseId Database, SessionId Session,
              std::string Detail);

  std::span<const Operation> History;
  std::vector<Violation> Violations;
  absl::flat_hash_map<RegisterKey, RegisterWrites> Writes;
  /// Acknowledged terms of each database by completion time.
  absl::flat_hash_map<DatabaseId, std::vector<TimedValue>> Terms;
  absl::flat_hash_map<WriteKey, Result> JobResults;
  absl::flat_hash_set<WriteKey> RefusedRegisterValues;
  /// Highest value of own acknowledged writes up to the present operation.
  absl::flat_hash_map<RegisterKey, std::uint64_t> OwnAcknowledged;
  /// Highest value that a session has read from a register so far.
  absl::flat_hash_map<ReadKey, std::uint64_t> HighestRead;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_HISTORYCHECKER_H
