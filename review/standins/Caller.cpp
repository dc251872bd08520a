#include "Caller.h"

namespace review {
namespace {

constexpr Milliseconds StartLimit(2000);
constexpr Milliseconds AnswerLimit(5000);

} // namespace

bool Caller::connect(const std::string &Database) {
  Connection = connectTo(Ip, Port);
  if (!Connection.isOpen() ||
      !Connection.send("START " + Database + " " + Client + "\r\n"))
    return false;
  const auto Line = Connection.readLine(StartLimit);
  if (Line && Line->starts_with("READY"))
    return true;
  Connection.close();
  return false;
}

Caller::Outcome Caller::ask(const std::string &Database,
                            const std::string &Text) {
  Outcome Result;
  Result.Error = "closed";
  if (!Connection.isOpen() && !connect(Database))
    return Result;
  Id = Client + "x" + std::to_string(++Count);
  Log.write("client sends " + Id + " " + Text);
  OnSend(Id);
  if (!Connection.send("QUERY " + Id + " " + Text + "\r\n")) {
    Connection.close();
    return Result;
  }
  while (const auto Line = Connection.readLine(AnswerLimit)) {
    if (Line->starts_with("COMPLETE"))
      Result = {true, ""};
    else if (Line->starts_with("ERROR "))
      Result = {false, Line->substr(6, Line->find(' ', 6) - 6)};
    if (!Line->starts_with("READY"))
      continue;
    Log.write("client gets " + Id + " " +
              (Result.Succeeded ? "success" : Result.Error));
    return Result;
  }
  Log.write("client gets " + Id + " no complete answer");
  Connection.close();
  return {false, "closed"};
}

} // namespace review
