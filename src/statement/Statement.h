#ifndef BORAGERIDGE_STATEMENT_STATEMENT_H
#define BORAGERIDGE_STATEMENT_STATEMENT_H

#include "borageridge/Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace borageridge::statement {

enum class StatementKind {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetVariable,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

/// A statement of a caller.
struct Statement {
  /// Chosen by the caller; passed on unchanged.
  std::string Id;
  /// Passed on unchanged for reads, writes and commits.
  std::string Text;
  StatementKind Kind = StatementKind::Malformed;
  /// Of the variable or of the prepared statement.
  std::string Name;
  /// The value of a variable, the definition of a prepared statement, or the
  /// arguments of an execution.
  std::string Arguments;
  /// Whether a prepared statement writes.
  bool Writes = false;
};

enum class ErrorCode {
  /// Not run: too much work.
  Busy,
  /// Not run: the endpoint's log lacks the position asked for.
  Lagging,
  /// Not run: the endpoint is not the primary.
  ReadOnly,
  /// Not run: not the endpoint that was meant.
  Misrouted,
  /// Not run: the endpoint has no free connection.
  TooManyConnections,
  /// Not run: no prepared statement has the name.
  UnknownStatement,
  /// Nothing of the transaction or statement is kept.
  Aborted,
  /// The endpoint ran the statement and it failed.
  Failed,
  TimedOut,
  /// Whether the statement took effect is unknown.
  InDoubt,
  Unauthenticated,
  UnknownDatabase,
  TooLarge,
  Malformed,
};

/// Whether the error says that the endpoint did not run the statement.
bool saysNotRun(ErrorCode Code);

/// Returns the lower-case name of an error, as used in logs and metrics.
std::string_view name(ErrorCode Code);

enum class TransactionState { None, Open, Failed };

/// The whole answer to one statement.
struct Reply {
  /// Encoded rows, passed on unchanged.
  std::string Rows;
  std::optional<ErrorCode> Error;
  /// The endpoint's signature or the text of the error.
  std::string Detail;
  TransactionState State = TransactionState::None;
  /// Log position of the endpoint that answered.
  std::optional<Position> At;

  bool succeeded() const { return !Error; }
};

/// An answer that no endpoint gave.
Reply localSuccess(TransactionState State);
Reply localError(ErrorCode Code, std::string_view Detail,
                 TransactionState State);

} // namespace borageridge::statement

#endif // BORAGERIDGE_STATEMENT_STATEMENT_H
