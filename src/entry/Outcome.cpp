#include "entry/Outcome.h"

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using statement::ErrorCode;

// The statement ran and failed; another endpoint may do better.
bool isWorthRepeating(ErrorCode Code) {
  return saysNotRun(Code) || Code == ErrorCode::Failed ||
         Code == ErrorCode::TimedOut || Code == ErrorCode::Aborted;
}

} // namespace

Next judgeRead(const Attempt &Result, bool MayAcknowledge) {
  if (!Result)
    return Next::Retry;
  if (Result.value().Error)
    return isWorthRepeating(*Result.value().Error) ? Next::Retry : Next::Answer;
  return MayAcknowledge ? Next::Answer : Next::Retry;
}

Next judgeWrite(const Attempt &Result, bool MayAcknowledge) {
  if (!Result)
    return Result.error() == CallFailure::NotSent ? Next::Retry : Next::InDoubt;
  if (Result.value().Error)
    return saysNotRun(*Result.value().Error) ? Next::Retry : Next::Answer;
  return MayAcknowledge ? Next::Answer : Next::InDoubt;
}

// Ending the connection rolls the transaction back, whatever its last
// statement did.
Next judgeInTransaction(const Attempt &Result, bool MayAcknowledge,
                        bool First) {
  const Next GivenUp = First ? Next::Retry : Next::Abort;
  if (!Result)
    return GivenUp;
  if (Result.value().Error)
    return isWorthRepeating(*Result.value().Error) ? GivenUp : Next::Answer;
  return MayAcknowledge ? Next::Answer : GivenUp;
}

Next judgeCommit(const Attempt &Result, bool MayAcknowledge, bool Wrote) {
  const Next Unknown = Wrote ? Next::InDoubt : Next::Abort;
  if (!Result)
    return Result.error() == CallFailure::NotSent ? Next::Abort : Unknown;
  if (Result.value().Error) {
    if (saysNotRun(*Result.value().Error) ||
        Result.value().Error == ErrorCode::Aborted)
      return Next::Abort;
    return Unknown;
  }
  return MayAcknowledge || !Wrote ? Next::Answer : Next::InDoubt;
}

} // namespace borageridge::entry
