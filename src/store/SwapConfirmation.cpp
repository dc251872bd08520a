#include "store/SwapConfirmation.h"

namespace borageridge::store {

void SwapConfirmation::onSwap(const Expected<std::int64_t> &Answer) {
  --SwapsLeft;
  if (Answer.has_value())
    return finish(Answer);
  const FailureKind Kind = Answer.error().Kind;
  if (Kind == FailureKind::Unknown)
    Uncertain = true;
  if (Kind == FailureKind::Conflict)
    Superseded = true;
  // The other revision may be that of an earlier, uncertain swap.
  if (Uncertain)
    Next = Step::ReadBack;
  else
    finish(Answer);
}

void SwapConfirmation::onReadBack(const Expected<StoreValue> &Answer,
                                  bool Own) {
  if (Own)
    return finish(Answer.value().Revision);
  if (!Answer.has_value() && SwapsLeft == 0)
    return finish(Failure{FailureKind::Unknown, Answer.error().Detail});
  if (!Answer.has_value() && Superseded) {
    // The swap cannot tell more; only the evidence can.
    --SwapsLeft;
    return;
  }
  if (Superseded)
    return finish(Failure{FailureKind::Conflict, "the key was changed"});
  if (SwapsLeft == 0)
    return finish(
        Failure{FailureKind::Unknown, "no answer to any of the swaps"});
  Next = Step::Swap;
}

void SwapConfirmation::finish(Expected<std::int64_t> Answer) {
  Outcome = std::move(Answer);
  Next = Step::Done;
}

} // namespace borageridge::store
