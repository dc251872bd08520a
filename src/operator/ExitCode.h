#ifndef BORAGERIDGE_OPERATOR_EXITCODE_H
#define BORAGERIDGE_OPERATOR_EXITCODE_H

#include "borageridge/Failure.h"

namespace borageridge::operators {

/// Exit codes of borageridgectl; part of its interface, see
/// docs/OPERATIONS.md.
enum class ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 2,
  /// Somebody else changed the value first; nothing was changed.
  Conflict = 3,
  InvalidInput = 4,
  /// Not reached; nothing was changed.
  Unreachable = 5,
  NotFound = 6,
  /// The request of a look-up did not run and will not run.
  NotRun = 7,
  /// The change or the request may have taken effect.
  Unknown = 8
};

ExitCode exitCodeOf(FailureKind Kind);

/// For calls that change nothing: no answer is the same as not reached.
ExitCode exitCodeOfRead(FailureKind Kind);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_EXITCODE_H
