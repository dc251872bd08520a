#ifndef REVIEW_STANDINS2_CLIENT_H
#define REVIEW_STANDINS2_CLIENT_H

#include "Net.h"

#include <string>

namespace standins {

/// A caller's session.
class Client {
public:
  /// The outcome of a request: COMPLETE, ERROR with its code, or nothing if the
  /// connection ended first.
  struct Answer {
    bool Complete = false;
    std::string Code;
    std::size_t Rows = 0;
    bool Lost = false;
  };

  explicit Client(Stream Connected) : To(std::move(Connected)) {}

  bool start(const std::string &Database) {
    if (!To.send("START " + Database + " caller\r\n"))
      return false;
    const auto Line = To.readLine(Milliseconds(2000));
    return Line && Line->starts_with("READY");
  }

  Answer run(const std::string &Id, const std::string &Text,
             Milliseconds Limit) {
    Answer Result;
    Result.Lost = !To.send("QUERY " + Id + " " + Text + "\r\n");
    while (!Result.Lost) {
      const auto Line = To.readLine(Limit);
      if (!Line)
        Result.Lost = true;
      else if (Line->starts_with("READY"))
        break;
      else if (Line->starts_with("ROW"))
        ++Result.Rows;
      else if (Line->starts_with("COMPLETE"))
        Result.Complete = true;
      else if (Line->starts_with("ERROR "))
        Result.Code = Line->substr(6, Line->find(' ', 6) - 6);
    }
    if (Result.Lost) {
      Result.Complete = false;
      To.close();
    }
    return Result;
  }

  bool isOpen() const { return To.isOpen() && !To.isClosedByPeer(); }

private:
  Stream To;
};

} // namespace standins

#endif // REVIEW_STANDINS2_CLIENT_H
