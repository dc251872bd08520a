#ifndef BORAGERIDGE_ENTRY_CALLERCONNECTION_H
#define BORAGERIDGE_ENTRY_CALLERCONNECTION_H

#include "entry/State.h"

#include <memory>
#include <optional>
#include <string>

namespace borageridge::entry {

/// One connection of a caller: reads statements and writes their answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(State &Shared, runtime::tcp::socket Accepted)
      : S(Shared), Socket(std::move(Accepted)) {}

  /// Serves until the caller leaves or the connection is closed.
  runtime::Task<void> run();

  /// Whether it waits for a statement outside a transaction.
  bool isIdle() const;
  /// Whether a statement is in work.
  bool isWorking() const { return !Waiting; }
  bool isInTransaction() const { return Own.Tx.At != Transaction::Phase::None; }
  /// Closes it; a statement in work is not answered.
  void close();

private:
  enum class Line { Read, Closed, TooLong };
  runtime::Task<Line> readLine(std::string &Result);
  runtime::Task<bool> write(std::string Bytes);
  runtime::Task<bool> start();
  runtime::Task<bool> serveOne();
  runtime::Task<const catalog::Route *> waitForRoute();

  State &S;
  runtime::tcp::socket Socket;
  std::string Buffer;
  Session Own;
  bool Waiting = false;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_CALLERCONNECTION_H
