#ifndef BORAGERIDGE_ENTRY_FORWARDING_H
#define BORAGERIDGE_ENTRY_FORWARDING_H

#include "entry/State.h"
#include "pool/EndpointConnection.h"

#include <optional>
#include <string>
#include <string_view>

namespace borageridge::entry {

/// Whether only other daemons hold the connections of the service, and at least
/// one of them answers.
bool isHeldElsewhere(const State &S, const std::string &Service);

/// Decides who holds the connections of each service, and opens sessions at
/// other daemons.
class Forwarding {
public:
  explicit Forwarding(State &Shared) : S(Shared) {}

  /// Tells the pools whether this daemon holds their connections and with how
  /// many others.
  void tick();

  /// Opens a session at the daemon that holds the connections of the service;
  /// none if it is this one or no other takes it.
  runtime::Task<pool::Connection> openSession(std::string Service,
                                              std::string Database);

private:
  struct Choice {
    /// One daemon for each availability zone.
    std::vector<std::string> Holders;
    /// The holder of the own availability zone comes first.
    std::vector<std::string> Order;
  };
  const Choice &choice(const std::string &Service);

  State &S;
  /// Choices by service, among the daemons of ChosenFrom.
  std::map<std::string, Choice> Choices;
  std::uint64_t ChosenFrom = 0;
  /// Daemons that took no session lately.
  std::map<std::string, Time> AvoidUntil;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_FORWARDING_H
