#ifndef BORAGERIDGE_ENTRY_EXCHANGE_H
#define BORAGERIDGE_ENTRY_EXCHANGE_H

#include "entry/State.h"

namespace borageridge::entry {

/// Exchanges state with the other daemons: group records, log positions,
/// evidence about members, and load. Also relays calls to the store for daemons
/// that cannot reach it.
class Exchange {
public:
  explicit Exchange(State &Shared) : S(Shared) {}

  /// Requests a report from every peer at regular intervals, until the loop
  /// ends.
  runtime::Task<void> run();
  /// Handles a request of a peer and returns the answer.
  runtime::Task<peer::Message> answer(peer::Message Request);

  /// Sends a call to the store through a peer that can reach it.
  runtime::Task<Expected<http::Response>> relay(http::Request Call,
                                                Duration Limit);
  /// Requests that a daemon stop using the primary of an epoch. Returns whether
  /// it confirmed.
  runtime::Task<bool> requestRelinquish(std::string Daemon, std::string Service,
                                        cluster::GroupRecord Newer,
                                        std::uint64_t Epoch, Duration Limit);
  /// Sends a record to all peers without waiting for their answers.
  void announce(const std::string &Service, const cluster::GroupRecord &Newer);

  /// Interval at which peers outside the full-rate set are queried.
  Duration slowestInterval() const;

private:
  bool needsFullRate(const std::string &Name) const;
  runtime::Task<void> queryPeer(std::string Name);
  void applyReport(Peer &From, const peer::Message &Answer, Time RequestedAt,
                   Time Now);
  void updatePeerLoad(Time Now);
  void addSeedPeers();
  peer::Message report(Time Now) const;
  runtime::Task<peer::Message> relayForPeer(peer::Message Request);

  State &S;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EXCHANGE_H
