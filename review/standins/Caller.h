#ifndef BORAGERIDGE_REVIEW_CALLER_H
#define BORAGERIDGE_REVIEW_CALLER_H

#include "Record.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review {

/// What was acknowledged to the clients, by statement id.
class Ledger {
public:
  void acknowledge(const std::string &Id) {
    const std::lock_guard Guard(Lock);
    Acknowledged.emplace(Id, Clock::now());
  }
  std::map<std::string, Clock::time_point> acknowledged() {
    const std::lock_guard Guard(Lock);
    return Acknowledged;
  }

private:
  std::mutex Lock;
  std::map<std::string, Clock::time_point> Acknowledged;
};

/// A client's session at one daemon.
class Caller {
public:
  Caller(std::string Name, std::string DaemonIp, std::uint16_t DaemonPort,
         Record &Output)
      : Client(std::move(Name)), Ip(std::move(DaemonIp)), Port(DaemonPort),
        Log(Output) {}

  struct Outcome {
    bool Succeeded = false;
    /// The error code, or "closed" if the connection ended.
    std::string Error;
  };
  /// Sends one statement outside a transaction under a new id.
  Outcome ask(const std::string &Database, const std::string &Text);
  /// Called with the id of a statement right before its first byte is sent.
  std::function<void(const std::string &)> OnSend = [](const std::string &) {};
  const std::string &lastId() const { return Id; }

private:
  bool connect(const std::string &Database);

  std::string Client;
  std::string Ip;
  std::uint16_t Port;
  Record &Log;
  Socket Connection;
  std::string Id;
  unsigned Count = 0;
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_CALLER_H
