#include "entry/Attempts.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using pool::PlacementRequest;
using statement::ErrorCode;
using statement::Statement;
using statement::StatementKind;

// A repeatable statement is retried if no answer arrives within this fraction
// of the latency objective.
constexpr int AttemptTimeoutDivisor = 2;
// A statement waits for a connection for at least this fraction of its latency
// objective, however slow the members are.
constexpr int MinWaitDivisor = 3;
constexpr Duration MinAttemptTimeout = std::chrono::milliseconds(60);
// Without another member, an attempt that is cut off is repeated where it may
// still be running. That only helps if the answer was lost, which is likely
// once it takes this many times the usual latency.
constexpr int LostAnswerFactor = 3;

} // namespace

Duration attemptTimeout(const catalog::Route &Route, Repetition Allowed,
                        Duration UsualLatency, Time Deadline, Time Now) {
  const Duration Left = Deadline - Now;
  if (Allowed == Repetition::None)
    return Left;
  if (Allowed == Repetition::SameMember)
    return std::min(Left, std::max<Duration>(Route.TargetLatency,
                                             LostAnswerFactor * UsualLatency));
  return std::min(Left, std::max({Route.TargetLatency / AttemptTimeoutDivisor,
                                  MinAttemptTimeout, UsualLatency}));
}

Time latestDispatch(const catalog::Route &Route, Duration UsualLatency,
                    Time Arrival) {
  return Arrival + std::max(Route.TargetLatency - UsualLatency,
                            Route.TargetLatency / MinWaitDivisor);
}

std::string_view describeFailure(const Attempt &Result) {
  if (!Result)
    return Result.error() == CallFailure::NotSent ? "connection closed"
                                                  : "answer lost";
  if (Result.value().Error)
    return statement::name(*Result.value().Error);
  return "primary given up";
}

ErrorCode refusalCode(const Attempt &Result) {
  if (Result && Result.value().Error && saysNotRun(*Result.value().Error) &&
      *Result.value().Error != ErrorCode::UnknownStatement)
    return *Result.value().Error;
  return ErrorCode::Aborted;
}

PlacementRequest demandFor(const Session &S, const catalog::Route &Route,
                           bool Writes, Time Arrival) {
  PlacementRequest D;
  D.Organisation = S.Organisation;
  D.NeedsPrimary = Writes || Route.Reads == catalog::Consistency::Primary;
  D.Reads = Route.Reads;
  D.MaxStaleness = Route.MaxStaleness;
  D.Arrival = Arrival;
  D.OwnCommit = S.LastCommit;
  D.OwnCommitEpoch = S.LastCommitEpoch;
  return D;
}

bool isStatementNameKnown(const Session &S, const Statement &St) {
  return St.Kind != StatementKind::Execute ||
         S.State.Prepared.contains(St.Name);
}

void excludeMember(PlacementRequest &D, const std::string &Member,
                   std::size_t Members) {
  if (std::find(D.Excluded.begin(), D.Excluded.end(), Member) ==
      D.Excluded.end())
    D.Excluded.push_back(Member);
  if (D.Excluded.size() >= Members)
    D.Excluded.clear();
}

} // namespace borageridge::entry
