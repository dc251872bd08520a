#include "load/RequestProgress.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageridge::load {

namespace {

using std::chrono::milliseconds;

/// Delays double from the first to the last between the tries of one request.
constexpr milliseconds FirstDelay{20};
constexpr milliseconds LastDelay{500};
constexpr std::uint32_t MaxDoublings = 5;

/// A request that is not repeatable is sent once more with the same id before
/// look-ups, so that both ways of settling are exercised.
constexpr std::uint32_t TriesBeforeLookUp = 2;

/// Bounds how often one request follows hints to move.
constexpr std::uint32_t MaxMoves = 10;

} // namespace

RequestProgress::RequestProgress(bool Writes, bool Repeats, Time Start,
                                 ClientSpec Spec)
    : Write(Writes), Repeatable(Repeats), End(Start + Spec.SettleTimeout),
      Limits(Spec) {}

NextStep RequestProgress::onTry(const TryResult &Try, Time Now) {
  ++Tries;
  switch (Try.How) {
  case TryResult::Kind::Answered:
  case TryResult::Kind::LookUpRan:
    return finish(Result::Acknowledged);
  case TryResult::Kind::LookUpNotRun:
    return finish(Result::NotRun);
  case TryResult::Kind::Transport:
    MayHaveRun = true;
    return onUncertain({}, Now);
  case TryResult::Kind::Refused:
    return onRefused(Try, Now);
  }
  return finish(Result::Unknown);
}

NextStep RequestProgress::onRefused(const TryResult &Try, Time Now) {
  const bool NotRun = Try.Execution == caller::EXECUTION_NOT_RUN;
  if (NotRun && Try.Reason == caller::REFUSAL_REASON_SETTLED)
    return finish(Result::NotRun);
  if (Try.Reason == caller::REFUSAL_REASON_REQUEST_ID_REUSED)
    return finish(Result::Unknown);
  MayHaveRun = MayHaveRun || !NotRun;
  if (MayHaveRun)
    return onUncertain(Try.RetryAfter, Now);
  ++NotRunTries;
  const bool Retry =
      Try.Move ? NotRunTries <= MaxMoves : NotRunTries <= Limits.NotRunRetries;
  if (!Retry || Now >= End)
    return finish(Result::NotRun);
  return again(NextStep::Kind::Execute, Try.RetryAfter, true);
}

NextStep RequestProgress::onUncertain(Duration AtLeast, Time Now) {
  if (Now >= End)
    return finish(outcomeAtEnd());
  if (!Write)
    return Tries >= Limits.MaxReadTries
               ? finish(outcomeAtEnd())
               : again(NextStep::Kind::Execute, AtLeast, true);
  const bool Execute = Repeatable || Tries < TriesBeforeLookUp;
  return again(Execute ? NextStep::Kind::Execute : NextStep::Kind::LookUp,
               AtLeast, true);
}

Result RequestProgress::outcomeAtEnd() const {
  return MayHaveRun ? Result::Unknown : Result::NotRun;
}

NextStep RequestProgress::finish(Result Outcome) const {
  NextStep Next;
  Next.Outcome = Outcome;
  return Next;
}

NextStep RequestProgress::again(NextStep::Kind Step, Duration AtLeast,
                                bool Elsewhere) const {
  const auto Doublings = std::min(Tries - 1, MaxDoublings);
  const Duration Delay = std::min(LastDelay, FirstDelay * (1 << Doublings));
  return {Step, Result::Unknown, std::max(Delay, AtLeast), Elsewhere};
}

} // namespace borageridge::load
