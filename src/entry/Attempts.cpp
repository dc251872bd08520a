#include "entry/Attempts.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using pool::PlacementRequest;
using statement::ErrorCode;
using statement::Statement;
using statement::StatementKind;

// An answer that does not come within this part of the latency objective is
// taken for lost if the statement can be repeated.
constexpr int LostAnswerDivisor = 2;
// However slow the members are, a statement waits for this part of its latency
// objective.
constexpr int MinWaitDivisor = 3;
constexpr Duration MinAttempt = std::chrono::milliseconds(60);

} // namespace

Duration attemptLimit(const catalog::Route &Route, bool Repeatable,
                      Duration UsualLatency, Time Deadline, Time Now) {
  const Duration Left = Deadline - Now;
  if (!Repeatable)
    return Left;
  return std::min(Left, std::max({Route.TargetLatency / LostAnswerDivisor,
                                  MinAttempt, UsualLatency}));
}

Time latestPlacing(const catalog::Route &Route, Duration UsualLatency,
                   Time Arrival) {
  return Arrival + std::max(Route.TargetLatency - UsualLatency,
                            Route.TargetLatency / MinWaitDivisor);
}

std::string_view describe(const Attempt &Result) {
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
  D.NeedsPrimary = Writes || Route.Reads == catalog::Consistency::Primary;
  D.Reads = Route.Reads;
  D.MaxStaleness = Route.MaxStaleness;
  D.Arrival = Arrival;
  D.OwnCommit = S.OwnCommit;
  D.OwnCommitEpoch = S.OwnCommitEpoch;
  return D;
}

bool isKnown(const Session &S, const Statement &St) {
  return St.Kind != StatementKind::Execute ||
         S.State.Prepared.contains(St.Name);
}

void exclude(PlacementRequest &D, const std::string &Member,
             std::size_t Members) {
  D.Excluded.push_back(Member);
  if (D.Excluded.size() >= Members)
    D.Excluded.clear();
}

} // namespace borageridge::entry
