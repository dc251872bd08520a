#include "statement/Statement.h"

namespace borageridge::statement {

bool saysNotRun(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Busy:
  case ErrorCode::Lagging:
  case ErrorCode::ReadOnly:
  case ErrorCode::Misrouted:
  case ErrorCode::TooManyConnections:
  case ErrorCode::UnknownStatement:
    return true;
  default:
    return false;
  }
}

std::string_view name(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Busy:
    return "busy";
  case ErrorCode::Lagging:
    return "lagging";
  case ErrorCode::ReadOnly:
    return "read_only";
  case ErrorCode::Misrouted:
    return "misrouted";
  case ErrorCode::TooManyConnections:
    return "too_many_connections";
  case ErrorCode::UnknownStatement:
    return "unknown_statement";
  case ErrorCode::Aborted:
    return "aborted";
  case ErrorCode::Failed:
    return "failed";
  case ErrorCode::TimedOut:
    return "timed_out";
  case ErrorCode::InDoubt:
    return "in_doubt";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::UnknownDatabase:
    return "unknown_database";
  case ErrorCode::TooLarge:
    return "too_large";
  case ErrorCode::Malformed:
    return "malformed";
  }
  return "unknown";
}

Reply localSuccess(TransactionState State) {
  Reply Result;
  Result.Detail.push_back('-');
  Result.State = State;
  return Result;
}

Reply localError(ErrorCode Code, std::string_view Detail,
                 TransactionState State) {
  Reply Result;
  Result.Error = Code;
  Result.Detail = Detail;
  Result.State = State;
  return Result;
}

} // namespace borageridge::statement
