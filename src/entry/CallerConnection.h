#ifndef BORAGERIDGE_ENTRY_CALLERCONNECTION_H
#define BORAGERIDGE_ENTRY_CALLERCONNECTION_H

#include "entry/Forwarding.h"
#include "entry/State.h"
#include "platform/Wire.h"

#include <memory>
#include <optional>
#include <string>

namespace borageridge::entry {

class CallerLimits;

/// Serves one connection of a caller: reads statements and writes their
/// answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Forwarder: null for sessions that another daemon has forwarded. Limits:
  /// null if what the caller occupies is not limited.
  CallerConnection(State &Shared, runtime::tcp::socket Accepted,
                   Forwarding *Sessions, CallerLimits *Limits = nullptr)
      : S(Shared), Socket(std::move(Accepted)), Forwarder(Sessions),
        Occupied(Limits) {}

  /// Serves the caller until either side closes the connection.
  runtime::Task<void> run();

  /// Whether no input or statement is pending and no transaction is open.
  bool isIdle() const;
  /// Whether a statement is being processed.
  bool isWorking() const { return !AwaitingInput; }
  bool isInTransaction() const {
    return CallerSession.Tx.CurrentPhase != Transaction::Phase::None ||
           HolderState != statement::TransactionState::None;
  }
  /// Closes the connection if it is idle and its session is forwarded to the
  /// given daemon.
  void closeIfHeldBy(std::string_view Daemon);
  /// Closes the connection if it is idle and its session runs in this daemon
  /// although other daemons hold the connections of its service.
  void closeIfHeldElsewhere();
  /// Closes the connection if it is idle and the key of its caller has been
  /// revoked.
  void closeIfRevoked();
  /// Whether a transaction is open and nothing has arrived for it.
  bool waitsInTransaction() const;
  /// Rolls back the transaction, which waits for its caller, unless that has
  /// been done. The next statement is answered with that.
  void abortTransaction(Time Now);
  /// When the open transaction was aborted; none if it was not.
  std::optional<Time> abortedAt() const { return AbortedAt; }
  /// Asks the connection holder to give up the forwarded statement in work, if
  /// it waits there.
  void giveUpForwarded();
  /// Ends the wait for the connection holder, if a forwarded statement is in
  /// work.
  void endForwardedWait();
  /// Ends the wait of the statement in work for a connection, if the daemon
  /// that forwards it has given it up.
  void endAbandonedWait();
  /// For how long the connection has waited for input; 0 if it does not wait.
  Duration waited(Time Now) const;
  /// Closes the connection. A statement being processed is not answered.
  void close();
  /// Closes the connection and frees what it has received.
  void closeForMemory();
  /// Bytes that are received and not processed yet, that the session keeps, and
  /// of the statement in work with its copies.
  std::size_t heldBytes() const;

private:
  enum class ReadResult { Read, Closed, TooLong };
  runtime::Task<ReadResult> readLine(std::string &Result);
  runtime::Task<bool> write(std::string Bytes);
  runtime::Task<bool> start();
  runtime::Task<bool> serveMessage();
  runtime::Task<const catalog::Route *> waitForRoute();
  /// Identifies the caller. Returns the error that ends the connection if it
  /// may not use the database.
  std::optional<std::string> authenticate(const platform::StartMessage &Start);
  void closeIfIdle();
  bool isBetweenRequests() const;
  /// Reports heldBytes() to the limits.
  void updateOccupied();
  bool hasUnreadInput() const;
  bool endsAfter(statement::StatementKind Answered,
                 const statement::Reply &Answer) const;

  runtime::Task<statement::Reply> forward(const statement::Statement &St,
                                          std::string_view Text, Time Arrival);

  State &S;
  runtime::tcp::socket Socket;
  Forwarding *Forwarder;
  CallerLimits *Occupied;
  /// Of the values and prepared statements of the session.
  std::size_t SessionBytes = 0;
  /// Of the statement that is being processed.
  std::size_t InWorkBytes = 0;
  /// The forwarded session at a connection holder; null if the session runs in
  /// this daemon.
  pool::Connection Holder;
  statement::TransactionState HolderState = statement::TransactionState::None;
  std::optional<Time> AbortedAt;
  std::string Buffer;
  Session CallerSession;
  bool AwaitingInput = false;
  Time AwaitingSince;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_CALLERCONNECTION_H
