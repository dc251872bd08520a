#ifndef BORAGERIDGE_MEMBERSHIP_PEERDIRECTORY_H
#define BORAGERIDGE_MEMBERSHIP_PEERDIRECTORY_H

#include "borageridge/Types.h"
#include "ranking/Rank.h"

#include "admin.pb.h"
#include "instances.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::membership {

struct PeerSettings {
  ranking::ProxyIdentity Self;
  std::string OwnAddress;
  std::vector<std::string> Seeds;
  Duration ExchangeInterval = std::chrono::milliseconds(200);
  /// A peer counts as alive for this long after its last exchange.
  Duration AliveTimeout = std::chrono::milliseconds(1500);
  /// A listed peer without exchanges counts as a witness for this long after it
  /// was first listed or last exchanged. After that, the list is assumed to be
  /// out of date.
  Duration WitnessTimeout = std::chrono::seconds(10);
  /// Number of peers contacted in each interval.
  std::size_t Fanout = 3;
};

/// State of a peer as reported in an exchange.
struct PeerReport {
  std::string Instance;
  std::string AvailabilityZone;
  std::uint64_t TableVersion = 0;
  bool Draining = false;
};

/// The other proxies known to this proxy: from its settings, from the instance
/// list and from exchanges. Data from exchanges takes precedence over the list.
class PeerDirectory {
public:
  PeerDirectory(PeerSettings Settings, std::uint64_t Seed);

  /// Applies a new instance list and forgets peers that are no longer known.
  void updateFromList(const instances::ListReply &List, Time Now);
  /// Records an exchange that the peer at Address sent or answered.
  void recordExchange(std::string_view Address, const PeerReport &Report,
                      Time Now);

  /// Returns the addresses to exchange with now; empty while the next interval
  /// has not begun. Intervals are jittered by a quarter so that the proxies of
  /// a fleet do not synchronise.
  std::vector<std::string> dueTargets(Time Now);
  /// Makes the next exchange due immediately.
  void exchangeNow(Time Now);

  /// Returns this proxy and all peers that exchanged within AliveTimeout and
  /// are not draining.
  std::vector<ranking::ProxyIdentity> alive(Time Now) const;
  /// Returns alive() and those listed proxies that may be running but
  /// unreachable. Their evidence is required before a member is declared
  /// failed.
  std::vector<ranking::ProxyIdentity> witnesses(Time Now) const;
  /// Returns the names of endpoints that the instance list marks as leaving.
  const std::vector<std::string> &leavingEndpoints() const { return Leaving; }

  void describe(admin::StatusReply &Status, Time Now) const;

private:
  struct Peer {
    PeerReport Report;
    std::optional<Time> LastExchange;
    std::optional<Time> ListedSince;
    bool Seed = false;
  };

  bool isAlive(const Peer &P, Time Now) const;

  PeerSettings Settings;
  std::mt19937_64 Random;
  /// By address.
  std::map<std::string, Peer, std::less<>> Peers;
  std::vector<std::string> Leaving;
  Time NextExchange;
};

} // namespace borageridge::membership

#endif // BORAGERIDGE_MEMBERSHIP_PEERDIRECTORY_H
