#include "entry/Outcome.h"

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using statement::ErrorCode;

// Includes statements that ran and failed: another endpoint may succeed.
bool isRetryable(ErrorCode Code) {
  return saysNotRun(Code) || Code == ErrorCode::Failed ||
         Code == ErrorCode::TimedOut || Code == ErrorCode::Aborted;
}

} // namespace

NextAction actionAfterRead(const Attempt &Result, bool MayAcknowledge) {
  if (!Result)
    return NextAction::Retry;
  if (Result.value().Error)
    return isRetryable(*Result.value().Error) ? NextAction::Retry
                                              : NextAction::Answer;
  return MayAcknowledge ? NextAction::Answer : NextAction::Retry;
}

NextAction actionAfterWrite(const Attempt &Result, bool MayAcknowledge) {
  if (!Result)
    return Result.error() == CallFailure::NotSent ? NextAction::Retry
                                                  : NextAction::InDoubt;
  if (Result.value().Error)
    return saysNotRun(*Result.value().Error) ? NextAction::Retry
                                             : NextAction::Answer;
  return MayAcknowledge ? NextAction::Answer : NextAction::InDoubt;
}

// Closing the connection rolls the transaction back, whether or not its last
// statement ran.
NextAction actionAfterTransactionStatement(const Attempt &Result,
                                           bool MayAcknowledge, bool First) {
  const NextAction OnFailure = First ? NextAction::Retry : NextAction::Abort;
  if (!Result)
    return OnFailure;
  if (Result.value().Error)
    return isRetryable(*Result.value().Error) ? OnFailure : NextAction::Answer;
  return MayAcknowledge ? NextAction::Answer : OnFailure;
}

NextAction actionAfterCommit(const Attempt &Result, bool MayAcknowledge,
                             bool Wrote) {
  const NextAction Unknown = Wrote ? NextAction::InDoubt : NextAction::Abort;
  if (!Result)
    return Result.error() == CallFailure::NotSent ? NextAction::Abort : Unknown;
  if (Result.value().Error) {
    if (saysNotRun(*Result.value().Error) ||
        Result.value().Error == ErrorCode::Aborted)
      return NextAction::Abort;
    return Unknown;
  }
  return MayAcknowledge || !Wrote ? NextAction::Answer : NextAction::InDoubt;
}

} // namespace borageridge::entry
