#include "load/HistoryChecker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace borageridge::load {

namespace {

/// Returns the highest value whose time is not after At; 0 if there is none.
template <typename TimedValues>
std::uint64_t highestUntil(const TimedValues &Values, Time At) {
  const auto After = std::upper_bound(
      Values.begin(), Values.end(), At,
      [](Time Bound, const auto &Element) { return Bound < Element.At; });
  return After == Values.begin() ? 0 : std::prev(After)->Value;
}

/// Sorts by time and replaces each value by the highest value up to it.
template <typename TimedValues> void sortAndAccumulate(TimedValues &Values) {
  std::sort(Values.begin(), Values.end(),
            [](const auto &A, const auto &B) { return A.At < B.At; });
  std::uint64_t Highest = 0;
  for (auto &Element : Values) {
    Highest = std::max(Highest, Element.Value);
    Element.Value = Highest;
  }
}

} // namespace

std::string_view name(OperationKind Kind) {
  switch (Kind) {
  case OperationKind::RegisterWrite:
    return "register_write";
  case OperationKind::JobInsert:
    return "job_insert";
  case OperationKind::RegisterRead:
    return "register_read";
  case OperationKind::JobRead:
    return "job_read";
  }
  return "unknown";
}

bool isWrite(OperationKind Kind) {
  return Kind == OperationKind::RegisterWrite ||
         Kind == OperationKind::JobInsert;
}

std::array<ViolationKind, ViolationKindCount> violationKinds() {
  std::array<ViolationKind, ViolationKindCount> Kinds{};
  for (std::size_t I = 0; I < Kinds.size(); ++I)
    Kinds[I] = static_cast<ViolationKind>(I);
  return Kinds;
}

std::string_view name(ViolationKind Kind) {
  switch (Kind) {
  case ViolationKind::LostWrite:
    return "lost_write";
  case ViolationKind::DoubledWrite:
    return "doubled_write";
  case ViolationKind::StaleOwnRead:
    return "stale_own_read";
  case ViolationKind::NonMonotonicRead:
    return "non_monotonic_read";
  case ViolationKind::FalseNotRun:
    return "false_not_run";
  case ViolationKind::MixedAnswer:
    return "mixed_answer";
  case ViolationKind::IncompleteAnswer:
    return "incomplete_answer";
  case ViolationKind::TooOldAnswer:
    return "too_old_answer";
  case ViolationKind::UnexplainedValue:
    return "unexplained_value";
  case ViolationKind::OldTermAcknowledgement:
    return "old_term_acknowledgement";
  }
  return "unknown";
}

std::ostream &operator<<(std::ostream &Out, ViolationKind Kind) {
  return Out << name(Kind);
}

HistoryChecker::HistoryChecker(std::span<const Operation> Operations)
    : History(Operations) {}

std::vector<Violation> HistoryChecker::check(const FinalState &Final) {
  index();
  for (const Operation &Op : History)
    checkOperation(Op);
  checkFinalRegisters(Final);
  checkFinalJobs(Final);
  return std::move(Violations);
}

void HistoryChecker::index() {
  for (const Operation &Op : History)
    if (isWrite(Op.Kind))
      indexWrite(Op);
  sortTimedValues();
}

void HistoryChecker::indexWrite(const Operation &Op) {
  const WriteKey Key{Op.Database, Op.Session, Op.Value};
  if (Op.Outcome == Result::Acknowledged)
    Terms[Op.Database].push_back({Op.Completed, Op.ServedTerm});
  if (Op.Kind == OperationKind::JobInsert) {
    JobResults[Key] = Op.Outcome;
    return;
  }
  RegisterWrites &Register = Writes[{Op.Database, Op.Session}];
  Register.Sent.push_back({Op.FirstSent, Op.Value});
  if (Op.Outcome == Result::Acknowledged)
    Register.Acknowledged.push_back({Op.Completed, Op.Value});
  if (Op.Outcome == Result::NotRun)
    RefusedRegisterValues.insert(Key);
}

void HistoryChecker::sortTimedValues() {
  for (auto &[Key, Register] : Writes) {
    sortAndAccumulate(Register.Acknowledged);
    sortAndAccumulate(Register.Sent);
  }
  for (auto &[Database, Values] : Terms)
    sortAndAccumulate(Values);
}

void HistoryChecker::checkOperation(const Operation &Op) {
  if (Op.Outcome != Result::Acknowledged)
    return;
  if (Op.Marker == MarkerCheck::Foreign)
    return report(ViolationKind::MixedAnswer, Op.Database, Op.Session,
                  absl::StrCat(std::string(name(Op.Kind)), " ", Op.Value));
  if (Op.Marker == MarkerCheck::Missing)
    report(ViolationKind::IncompleteAnswer, Op.Database, Op.Session,
           absl::StrCat(std::string(name(Op.Kind)), " ", Op.Value,
                        " has no marker"));
  switch (Op.Kind) {
  case OperationKind::RegisterWrite: {
    std::uint64_t &Own = OwnAcknowledged[{Op.Database, Op.Session}];
    Own = std::max(Own, Op.Value);
    return checkTerm(Op);
  }
  case OperationKind::JobInsert:
    return checkTerm(Op);
  case OperationKind::RegisterRead:
    return checkRegisterRead(Op);
  case OperationKind::JobRead:
    return checkJobRead(Op);
  }
}

void HistoryChecker::checkTerm(const Operation &Op) {
  // A replayed answer carries the outcome of an earlier term by design.
  if (Op.Replayed || Op.ServedTerm == 0)
    return;
  const std::uint64_t Known = highestUntil(Terms[Op.Database], Op.Sent);
  if (Op.ServedTerm < Known)
    report(ViolationKind::OldTermAcknowledgement, Op.Database, Op.Session,
           absl::StrCat(std::string(name(Op.Kind)), " ", Op.Value, " in term ",
                        Op.ServedTerm, ", sent after term ", Known));
}

void HistoryChecker::checkRegisterRead(const Operation &Op) {
  if (Op.Values.size() != Op.ExpectedValues)
    report(ViolationKind::IncompleteAnswer, Op.Database, Op.Session,
           absl::StrCat(Op.Values.size(), " of ", Op.ExpectedValues, " rows"));
  for (const RegisterValue &Read : Op.Values)
    checkRegisterValue(Op, Read);
}

void HistoryChecker::checkRegisterValue(const Operation &Op,
                                        const RegisterValue &Read) {
  const RegisterKey Key{Op.Database, Read.Key};
  const auto Detail = [&](const char *Relation, std::uint64_t Bound) {
    return absl::StrCat("register ", Read.Key, " read as ", Read.Value, ", ",
                        Relation, " ", Bound);
  };
  const auto Found = Writes.find(Key);
  const std::uint64_t Sent =
      Found == Writes.end() ? 0
                            : highestUntil(Found->second.Sent, Op.Completed);
  if (Read.Value > Sent)
    report(ViolationKind::UnexplainedValue, Op.Database, Op.Session,
           Detail("highest sent", Sent));
  if (RefusedRegisterValues.contains({Op.Database, Read.Key, Read.Value}))
    report(ViolationKind::FalseNotRun, Op.Database, Op.Session,
           Detail("answered as not run", Read.Value));

  std::uint64_t &Highest = HighestRead[{Op.Database, Op.Session, Read.Key}];
  if (Read.Value < Highest)
    report(ViolationKind::NonMonotonicRead, Op.Database, Op.Session,
           Detail("read before as", Highest));
  Highest = std::max(Highest, Read.Value);

  if (Read.Key == Op.Session) {
    const auto Own = OwnAcknowledged.find(Key);
    if (Own != OwnAcknowledged.end() && Read.Value < Own->second)
      return report(ViolationKind::StaleOwnRead, Op.Database, Op.Session,
                    Detail("own acknowledged", Own->second));
  }
  if (Found == Writes.end())
    return;
  const std::uint64_t Required =
      highestUntil(Found->second.Acknowledged, Op.Sent - Op.AcceptedAge);
  if (Read.Value < Required)
    report(ViolationKind::TooOldAnswer, Op.Database, Op.Session,
           Detail("required", Required));
}

void HistoryChecker::checkJobRead(const Operation &Op) {
  const auto Found = JobResults.find({Op.Database, Op.Session, Op.Value});
  const auto Detail =
      absl::StrCat("job ", Op.Value, " read with ", Op.Count, " records");
  if (Op.Count > 1)
    report(ViolationKind::DoubledWrite, Op.Database, Op.Session, Detail);
  if (Found == JobResults.end())
    return;
  if (Op.Count == 0 && Found->second == Result::Acknowledged)
    report(ViolationKind::StaleOwnRead, Op.Database, Op.Session, Detail);
  if (Op.Count > 0 && Found->second == Result::NotRun)
    report(ViolationKind::FalseNotRun, Op.Database, Op.Session, Detail);
}

void HistoryChecker::checkFinalRegisters(const FinalState &Final) {
  absl::flat_hash_map<RegisterKey, std::uint64_t> Values;
  for (const FinalRegister &Register : Final.Registers)
    Values[{Register.Database, Register.Key}] = Register.Value;
  for (const auto &[Key, Register] : Writes) {
    const std::uint64_t Value = Values.contains(Key) ? Values[Key] : 0;
    const auto Detail = [&](const char *Relation, std::uint64_t Bound) {
      return absl::StrCat("register ends as ", Value, ", ", Relation, " ",
                          Bound);
    };
    const std::uint64_t Acknowledged =
        highestUntil(Register.Acknowledged, Time::max());
    const std::uint64_t Sent = highestUntil(Register.Sent, Time::max());
    if (Value < Acknowledged)
      report(ViolationKind::LostWrite, Key.first, Key.second,
             Detail("acknowledged", Acknowledged));
    if (Value > Sent)
      report(ViolationKind::UnexplainedValue, Key.first, Key.second,
             Detail("highest sent", Sent));
    if (RefusedRegisterValues.contains({Key.first, Key.second, Value}))
      report(ViolationKind::FalseNotRun, Key.first, Key.second,
             Detail("answered as not run", Value));
  }
}

void HistoryChecker::checkFinalJobs(const FinalState &Final) {
  absl::flat_hash_set<WriteKey> Found;
  for (const JobCount &Job : Final.Jobs) {
    if (Job.Count > 0)
      Found.insert({Job.Database, Job.Session, Job.Number});
    checkJobCount(Job);
  }
  for (const auto &[Key, Outcome] : JobResults)
    if (Outcome == Result::Acknowledged && !Found.contains(Key))
      report(ViolationKind::LostWrite, std::get<0>(Key), std::get<1>(Key),
             absl::StrCat("job ", std::get<2>(Key), " has no record"));
}

void HistoryChecker::checkJobCount(const JobCount &Job) {
  if (Job.Count == 0)
    return;
  const auto Detail =
      absl::StrCat("job ", Job.Number, " has ", Job.Count, " records");
  if (Job.Count > 1)
    report(ViolationKind::DoubledWrite, Job.Database, Job.Session, Detail);
  const auto Sent = JobResults.find({Job.Database, Job.Session, Job.Number});
  if (Sent == JobResults.end())
    return report(ViolationKind::UnexplainedValue, Job.Database, Job.Session,
                  Detail);
  if (Sent->second == Result::NotRun)
    report(ViolationKind::FalseNotRun, Job.Database, Job.Session, Detail);
}

void HistoryChecker::report(ViolationKind Kind, DatabaseId Database,
                            SessionId Session, std::string Detail) {
  Violations.push_back({Kind, Database, Session, std::move(Detail)});
}

} // namespace borageridge::load
