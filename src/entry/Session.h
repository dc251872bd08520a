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
    /// Begun by the caller; no endpoint knows of it yet.
    Begun,
    /// Open on the endpoint connection in On.
    Open,
    /// Rolled back; the caller has not ended it yet.
    Failed,
  };
  Phase At = Phase::None;
  bool ReadOnly = false;
  bool Wrote = false;
  /// When its first byte arrived.
  Time Arrival;
  /// The route in force when it began.
  catalog::Route Route;
  std::optional<pool::Checkout> On;

  statement::TransactionState state() const {
    switch (At) {
    case Phase::None:
      return statement::TransactionState::None;
    case Phase::Failed:
      return statement::TransactionState::Failed;
    default:
      return statement::TransactionState::Open;
    }
  }
};

/// One connection of a caller.
struct Session {
  std::string Database;
  statement::SessionState State;
  /// Its last commit, and the log epoch in which it was made.
  std::optional<Position> OwnCommit;
  std::uint64_t OwnCommitEpoch = 0;
  Transaction Tx;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_SESSION_H
