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
  /// A peer counts as alive for this long after it was last heard.
  Duration AliveFor = std::chrono::milliseconds(1500);
  /// A listed peer that is not heard counts as a possible witness this long
  /// after it was first listed or last heard; then the list is taken to lag.
  Duration ListedFor = std::chrono::seconds(10);
  /// Peers contacted in each interval.
  std::size_t Fanout = 3;
};

/// What one exchange told about a peer.
struct PeerReport {
  std::string Instance;
  std::string AvailabilityZone;
  std::uint64_t TableVersion = 0;
  bool Draining = false;
};

/// The other proxies as one proxy knows them: from settings, from the instance
/// list, and from exchanges. What was heard goes before what is listed.
class PeerDirectory {
public:
  PeerDirectory(PeerSettings Settings, std::uint64_t Seed);

  void listReceived(const instances::ListReply &List, Time Now);
  /// A peer at Address answered or sent an exchange.
  void heard(std::string_view Address, const PeerReport &Report, Time Now);

  /// Addresses to exchange with now; empty between two intervals. Intervals
  /// are jittered by a quarter, so that a fleet does not act in step.
  std::vector<std::string> dueTargets(Time Now);
  /// Makes the next exchange due at once.
  void hurry(Time Now);

  /// This proxy and those heard of late that are not draining.
  std::vector<ranking::ProxyIdentity> alive(Time Now) const;
  /// alive() and listed proxies that may only be out of reach: their evidence
  /// is needed before a member is declared failed.
  std::vector<ranking::ProxyIdentity> witnesses(Time Now) const;
  /// Names of endpoints that the instance list marks as leaving.
  const std::vector<std::string> &leavingEndpoints() const { return Leaving; }

  void describe(admin::StatusReply &Status, Time Now) const;

private:
  struct Peer {
    PeerReport Report;
    std::optional<Time> HeardAt;
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
