#ifndef BORAGERIDGE_ENTRY_CALLERCONNECTION_H
#define BORAGERIDGE_ENTRY_CALLERCONNECTION_H

#include "entry/Forwarding.h"
#include "entry/State.h"

#include <memory>
#include <optional>
#include <string>

namespace borageridge::entry {

/// One connection of a caller: reads statements and writes their answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Forwarder: none for sessions that another daemon has forwarded.
  CallerConnection(State &Shared, runtime::tcp::socket Accepted,
                   Forwarding *Sessions)
      : S(Shared), Socket(std::move(Accepted)), Forwarder(Sessions) {}

  /// Serves until the caller leaves or the connection is closed.
  runtime::Task<void> run();

  /// Whether it waits for a statement outside a transaction.
  bool isIdle() const;
  /// Whether a statement is in work.
  bool isWorking() const { return !Waiting; }
  bool isInTransaction() const {
    return Own.Tx.CurrentPhase != Transaction::Phase::None ||
           HolderState != statement::TransactionState::None;
  }
  /// Closes it if it is idle and its holder is the daemon.
  void leaveHolder(std::string_view Daemon);
  /// Closes it if it is idle and runs here although other daemons hold the
  /// connections of its service.
  void leaveIfHeldElsewhere();
  /// Closes it; a statement in work is not answered.
  void close();

private:
  enum class Line { Read, Closed, TooLong };
  runtime::Task<Line> readLine(std::string &Result);
  runtime::Task<bool> write(std::string Bytes);
  runtime::Task<bool> start();
  runtime::Task<bool> serveOne();
  runtime::Task<const catalog::Route *> waitForRoute();
  void endWithHolder();

  runtime::Task<statement::Reply> forward(const statement::Statement &St,
                                          std::string_view Text, Time Arrival);

  State &S;
  runtime::tcp::socket Socket;
  Forwarding *Forwarder;
  /// The session at the daemon that holds the connections; none if this one
  /// does.
  pool::Connection Holder;
  statement::TransactionState HolderState = statement::TransactionState::None;
  std::string Buffer;
  Session Own;
  bool Waiting = false;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_CALLERCONNECTION_H
