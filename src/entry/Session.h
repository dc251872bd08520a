#ifndef BORAGERIDGE_ENTRY_SESSION_H
#define BORAGERIDGE_ENTRY_SESSION_H

#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "pool/ServicePool.h"
#include "statement/ConnectionState.h"
#include "statement/Statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace borageridge::entry {

/// The transaction of a session.
struct Transaction {
  enum class Phase {
    None,
    /// Begun by the caller, not yet at an endpoint.
    Begun,
    /// Open at the endpoint of Connection.
    Open,
    /// Rolled back by the daemon; the caller has not ended it yet.
    Failed,
  };
  Phase CurrentPhase = Phase::None;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The daemon has rolled it back while it waited for its caller, who does not
  /// know that yet.
  bool AbortUntold = false;
  /// When the statement that began it arrived.
  Time Arrival;
  /// The route in force when it began.
  catalog::Route Route;
  std::optional<pool::Checkout> Connection;

  statement::TransactionState state() const {
    switch (CurrentPhase) {
    case Phase::None:
      return statement::TransactionState::None;
    case Phase::Failed:
      return statement::TransactionState::Failed;
    default:
      return statement::TransactionState::Open;
    }
  }
};

/// The state of one connection of a caller.
struct Session {
  std::string Database;
  /// Of the caller's key.
  std::string Fingerprint;
  /// The organisation of the caller; empty if there is none.
  std::string Organisation;
  statement::SessionState State;
  /// The position of the last commit of this session, and the log epoch in
  /// which it was made.
  std::optional<Position> LastCommit;
  std::uint64_t LastCommitEpoch = 0;
  Transaction Tx;
  /// Where its statement waits for a connection.
  pool::WaitingTicket Waiting;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_SESSION_H
