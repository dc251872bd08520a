#ifndef BORAGERIDGE_ENTRY_OUTCOME_H
#define BORAGERIDGE_ENTRY_OUTCOME_H

#include "borageridge/Failure.h"
#include "pool/EndpointConnection.h"
#include "statement/Statement.h"

namespace borageridge::entry {

using Attempt = Expected<statement::Reply, pool::CallFailure>;

/// What to do with the result of one attempt to run a statement.
enum class Next {
  /// Pass the endpoint's answer on.
  Answer,
  /// Nothing took effect; another attempt may be made.
  Retry,
  /// Nothing of it is kept, and no further attempt is possible.
  Abort,
  /// Whether it took effect is unknown.
  InDoubt,
};

/// MayAcknowledge: the endpoint was still entitled to answer; always true for
/// replicas, whose answers are safe by their position.
Next judgeRead(const Attempt &Result, bool MayAcknowledge);

/// A write outside a transaction.
Next judgeWrite(const Attempt &Result, bool MayAcknowledge);

/// A statement other than the end of a transaction that is open at the
/// endpoint. First: no earlier statement of it has been answered.
Next judgeInTransaction(const Attempt &Result, bool MayAcknowledge, bool First);

/// The commit of a transaction.
Next judgeCommit(const Attempt &Result, bool MayAcknowledge, bool Wrote);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_OUTCOME_H
