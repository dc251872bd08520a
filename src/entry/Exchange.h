#ifndef BORAGERIDGE_ENTRY_EXCHANGE_H
#define BORAGERIDGE_ENTRY_EXCHANGE_H

#include "entry/State.h"
#include "peer/Messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace borageridge::entry {

/// Exchanges state with the other daemons: group records, log positions, for
/// how long a primary has not answered, and statements in flight by member.
/// Also relays calls to the store for daemons that cannot reach it.
class Exchange {
public:
  explicit Exchange(State &Shared) : S(Shared) {}

  /// Requests a report from each peer, at intervals of up to slowestInterval(),
  /// until the event loop stops.
  runtime::Task<void> run();
  /// Handles a request of a peer and returns the answer.
  /// Returns Corrupt if the request cannot be decoded; it has no effect then.
  runtime::Task<Expected<peer::Message>> answer(peer::Message Content);

  /// Sends a call to the store through the peer that reported last among those
  /// that can reach it. Limit: for the answer. Fails if there is no such peer.
  runtime::Task<Expected<http::Response>> relay(http::Request Call,
                                                Duration Limit);
  /// Requests that a daemon stop using the primary of an epoch, and sends it
  /// the newer record. Returns whether it confirmed within Limit.
  runtime::Task<bool> requestRelinquish(std::string Daemon, std::string Service,
                                        cluster::GroupRecord Newer,
                                        std::uint64_t Epoch, Duration Limit);
  /// Sends a group record to all peers without waiting for their answers.
  void announce(const std::string &Service, const cluster::GroupRecord &Newer);

  /// Sets what answers a peer that asks for operations of an organisation.
  void setQuotaHandler(
      std::function<peer::QuotaReply(const peer::QuotaRequest &)> Handler) {
    AnswerQuota = std::move(Handler);
  }

  /// Interval at which peers are queried that are not queried at each interval.
  Duration slowestInterval() const;

private:
  std::set<std::string> urgentPeers();
  runtime::Task<void> queryPeer(std::string Name);
  void applyReport(Peer &From, const peer::StateReport &Answer,
                   Time RequestedAt, Time Now);
  void updatePeerLoad(Time Now);
  void logLostPeers();
  void addSeedPeers();
  void removeSeedPeersOnceFleetIsKnown();
  peer::StateReport report(Time Now) const;
  runtime::Task<peer::Message> relayForPeer(peer::RelayRequest Request);
  runtime::Task<peer::Message>
  relinquishForPeer(peer::RelinquishRequest Wanted);

  State &S;
  std::function<peer::QuotaReply(const peer::QuotaRequest &)> AnswerQuota;
  /// Peers lost since the last line about them, by failure.
  std::map<std::string, std::set<std::string>> LostPeers;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EXCHANGE_H
