#ifndef BORAGERIDGE_ENTRY_FORWARDING_H
#define BORAGERIDGE_ENTRY_FORWARDING_H

#include "entry/State.h"
#include "pool/EndpointConnection.h"

#include <optional>
#include <string>
#include <string_view>

namespace borageridge::entry {

/// Whether this daemon is not a connection holder of the service and at least
/// one holder is reachable.
bool isHeldElsewhere(const State &S, const std::string &Service);

/// Selects the connection holders of each service, and opens sessions at other
/// daemons.
class Forwarding {
public:
  explicit Forwarding(State &Shared) : S(Shared) {}

  /// Updates in each pool whether this daemon is a connection holder of its
  /// service, and the number of holders. Until FleetKnownFrom it is a holder of
  /// no service.
  void tick();

  /// Opens a session at a connection holder of the service. Tries the reachable
  /// holders by preference, at most MaxTries of them. Returns nullptr if no
  /// holders are selected for the service, or if no holder that is preferred to
  /// this daemon accepts the session.
  /// Fingerprint: of the caller's key.
  runtime::Task<pool::Connection> openSession(std::string Service,
                                              std::string Database,
                                              std::string Fingerprint);

private:
  State &S;
  /// By name, until when daemons that did not accept a session are skipped.
  std::map<std::string, Time> AvoidUntil;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_FORWARDING_H
