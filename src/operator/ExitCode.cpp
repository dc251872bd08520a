#include "operator/ExitCode.h"

namespace borageridge::operators {

ExitCode exitCodeOf(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::InvalidArgument:
    return ExitCode::InvalidInput;
  case FailureKind::NotFound:
    return ExitCode::NotFound;
  case FailureKind::Conflict:
    return ExitCode::Conflict;
  case FailureKind::Unavailable:
    return ExitCode::Unreachable;
  case FailureKind::Unknown:
    return ExitCode::Unknown;
  default:
    return ExitCode::Failure;
  }
}

ExitCode exitCodeOfRead(FailureKind Kind) {
  return Kind == FailureKind::Unknown ? ExitCode::Unreachable
                                      : exitCodeOf(Kind);
}

} // namespace borageridge::operators
