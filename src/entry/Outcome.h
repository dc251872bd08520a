#ifndef BORAGERIDGE_ENTRY_OUTCOME_H
#define BORAGERIDGE_ENTRY_OUTCOME_H

#include "borageridge/Failure.h"
#include "pool/EndpointConnection.h"
#include "statement/Statement.h"

namespace borageridge::entry {

using Attempt = Expected<statement::Reply, pool::CallFailure>;

/// What to do with the result of one attempt to run a statement.
enum class NextAction {
  /// Return the endpoint's answer to the caller.
  Answer,
  /// The attempt had no effect that must be kept; the statement may be sent
  /// again.
  Retry,
  /// The transaction has no lasting effect and cannot be tried again.
  Abort,
  /// It is unknown whether the statement took effect.
  InDoubt,
};

/// For a read outside a transaction. MayAcknowledge: the daemon may still pass
/// on answers of this endpoint; always true for replicas, whose answers are
/// validated by their log position.
NextAction actionAfterRead(const Attempt &Result, bool MayAcknowledge);

/// For a write outside a transaction.
NextAction actionAfterWrite(const Attempt &Result, bool MayAcknowledge);

/// For a statement, other than a commit, in a transaction that is open at the
/// endpoint. First: no earlier statement of it has been answered.
NextAction actionAfterTransactionStatement(const Attempt &Result,
                                           bool MayAcknowledge, bool First);

/// For the commit of a transaction. Wrote: the transaction contains a write.
NextAction actionAfterCommit(const Attempt &Result, bool MayAcknowledge,
                             bool Wrote);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_OUTCOME_H
