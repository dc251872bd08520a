#ifndef BORAGERIDGE_DISPATCH_CONNECTIONPOOL_H
#define BORAGERIDGE_DISPATCH_CONNECTIONPOOL_H

#include "borageridge/Types.h"
#include "group/GroupView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace borageridge::dispatch {

/// Unique within the process.
using ConnectionId = std::uint64_t;
/// Unique within the process.
using RequestId = std::uint64_t;

inline constexpr RequestId NoRequest = 0;

enum class Purpose { Read, Write };

enum class ConnectionState {
  /// The endpoint has not replied to the hello message yet.
  Opening,
  Idle,
  Busy,
  /// An idle connection on which a liveness probe is outstanding.
  Probing,
};

struct PooledConnection {
  ConnectionId Id = 0;
  group::MemberIndex Member = group::NoMember;
  ConnectionState State = ConnectionState::Opening;
  Purpose Use = Purpose::Read;
  RequestId Owner = NoRequest;
  /// Time at which the connection entered State.
  Time StateSince;
  std::uint64_t LastSequence = 0;
};

/// Tracks the connections of one proxy to the members of one database group.
/// Performs no I/O: the caller opens and closes the connections. A connection
/// has a single owner between acquire() and release(), so replies of different
/// requests cannot be mixed up on it.
class ConnectionPool {
public:
  /// A connection whose endpoint does not reply to the hello message or to a
  /// probe within this time counts as silent.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(500);
  /// Idle time after which a connection is probed.
  static constexpr Duration ProbeInterval = std::chrono::seconds(2);

  /// MaxPerMember: connections to each member.
  /// MaxReadsOnPrimary: connections to the primary that reads may use at once.
  void configure(std::uint32_t MaxPerMember, std::uint32_t MaxReadsOnPrimary);

  /// Returns true if the member has fewer than MaxPerMember connections and the
  /// delay after the last failure has passed.
  bool canOpen(group::MemberIndex Member, Time Now) const;
  void addOpening(ConnectionId Id, group::MemberIndex Member, Time Now);

  /// Marks an opening or probed connection as idle. Returns false if the
  /// connection is unknown.
  bool replyReceived(ConnectionId Id, Time Now);

  bool hasIdle(group::MemberIndex Member, Purpose Use, bool IsPrimary) const;
  /// Assigns the most recently used idle connection to Owner.
  std::optional<ConnectionId> acquire(group::MemberIndex Member, Purpose Use,
                                      bool IsPrimary, RequestId Owner,
                                      Time Now);
  /// Returns a connection to the pool. No request or transaction may be open on
  /// it.
  void release(ConnectionId Id, Time Now);
  /// Removes a closed connection. If it Failed while opening, the next attempt
  /// to open a connection to the member is delayed.
  void remove(ConnectionId Id, bool Failed, Time Now);

  /// Connections that have been Opening or Probing for ReplyTimeout.
  std::vector<ConnectionId> silentConnections(Time Now) const;
  /// Moves the idle connections that are due for a probe to Probing and returns
  /// them.
  std::vector<ConnectionId> startProbes(Time Now);
  /// Idle connections in excess of MaxPerMember.
  std::vector<ConnectionId> surplusConnections() const;
  std::vector<ConnectionId> connectionsTo(group::MemberIndex Member) const;

  const PooledConnection *find(ConnectionId Id) const;
  /// Returns the sequence number of the next message on the connection.
  std::uint64_t nextSequence(ConnectionId Id);

  std::uint32_t openCount(group::MemberIndex Member) const;
  std::uint32_t busyCount(group::MemberIndex Member) const;
  bool anyIdle() const;

private:
  struct MemberPool {
    std::vector<ConnectionId> Idle;
    std::uint32_t Total = 0;
    std::uint32_t Busy = 0;
    std::uint32_t BusyReads = 0;
    std::uint32_t ConsecutiveOpenFailures = 0;
    Time NextOpenAt;
  };

  const MemberPool *pool(group::MemberIndex Member) const;
  void removeFromIdle(const PooledConnection &Connection);

  std::uint32_t MaxPerMember = 1;
  std::uint32_t MaxReadsOnPrimary = 1;
  std::map<group::MemberIndex, MemberPool> Pools;
  std::unordered_map<ConnectionId, PooledConnection> Connections;
  std::size_t IdleTotal = 0;
};

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_CONNECTIONPOOL_H
