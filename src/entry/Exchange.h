#ifndef BORAGERIDGE_ENTRY_EXCHANGE_H
#define BORAGERIDGE_ENTRY_EXCHANGE_H

#include "entry/State.h"

namespace borageridge::entry {

/// Talks to the other daemons: records, positions, evidence, load, and calls of
/// the store for daemons that it does not serve.
class Exchange {
public:
  explicit Exchange(State &Shared) : S(Shared) {}

  /// Asks every peer for its news at regular times, until the loop ends.
  runtime::Task<void> run();
  /// Answers a message of a peer.
  runtime::Task<peer::Message> answer(peer::Message Request);

  /// Sends a call of the store through a peer that reaches it.
  runtime::Task<Expected<http::Response>> relay(http::Request Call,
                                                Duration Limit);
  /// Asks a daemon to end its use of a primary. Returns whether it has.
  runtime::Task<bool> askToRelinquish(std::string Daemon, std::string Service,
                                      cluster::GroupRecord Newer,
                                      std::uint64_t Epoch, Duration Limit);
  /// Tells all peers about a record, without waiting.
  void announce(const std::string &Service, const cluster::GroupRecord &Newer);

  /// How often the least close peer is asked.
  Duration slowestInterval() const;

private:
  bool isClose(const std::string &Name) const;
  runtime::Task<void> askPeer(std::string Name);
  void learn(Peer &From, const peer::Message &News, Time AskedAt, Time Now);
  void shareLoad(Time Now);
  void findSeeds();
  peer::Message news(Time Now) const;
  runtime::Task<peer::Message> relayForPeer(peer::Message Request);

  State &S;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EXCHANGE_H
