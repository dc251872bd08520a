#include "dispatch/ConnectionPool.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

constexpr Duration FirstReopenDelay = std::chrono::milliseconds(50);
constexpr std::uint32_t MaxReopenDoublings = 5;

} // namespace

void ConnectionPool::configure(std::uint32_t NewMaxPerMember,
                               std::uint32_t NewMaxReadsOnPrimary) {
  MaxPerMember = std::max<std::uint32_t>(NewMaxPerMember, 1);
  MaxReadsOnPrimary = NewMaxReadsOnPrimary;
}

const ConnectionPool::MemberPool *
ConnectionPool::pool(MemberIndex Member) const {
  const auto Found = Pools.find(Member);
  return Found == Pools.end() ? nullptr : &Found->second;
}

bool ConnectionPool::canOpen(MemberIndex Member, Time Now) const {
  const MemberPool *Pool = pool(Member);
  return !Pool || (Pool->Total < MaxPerMember && Now >= Pool->NextOpenAt);
}

void ConnectionPool::addOpening(ConnectionId Id, MemberIndex Member, Time Now) {
  PooledConnection Connection;
  Connection.Id = Id;
  Connection.Member = Member;
  Connection.StateSince = Now;
  Connections.emplace(Id, Connection);
  ++Pools[Member].Total;
}

bool ConnectionPool::replyReceived(ConnectionId Id, Time Now) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return false;
  PooledConnection &Connection = Found->second;
  if (Connection.State != ConnectionState::Opening &&
      Connection.State != ConnectionState::Probing)
    return true;
  MemberPool &Pool = Pools[Connection.Member];
  Pool.ConsecutiveOpenFailures = 0;
  Connection.State = ConnectionState::Idle;
  Connection.StateSince = Now;
  Pool.Idle.push_back(Id);
  ++IdleTotal;
  return true;
}

// The limit for reads applies to the primary only: on replicas, reads do not
// compete with writes for connections.
bool ConnectionPool::hasIdle(MemberIndex Member, Purpose Use,
                             bool IsPrimary) const {
  const MemberPool *Pool = pool(Member);
  if (!Pool || Pool->Idle.empty())
    return false;
  return !IsPrimary || Use == Purpose::Write ||
         Pool->BusyReads < MaxReadsOnPrimary;
}

std::optional<ConnectionId> ConnectionPool::acquire(MemberIndex Member,
                                                    Purpose Use, bool IsPrimary,
                                                    RequestId Owner, Time Now) {
  if (!hasIdle(Member, Use, IsPrimary))
    return std::nullopt;
  MemberPool &Pool = Pools[Member];
  const ConnectionId Id = Pool.Idle.back();
  Pool.Idle.pop_back();
  --IdleTotal;
  ++Pool.Busy;
  if (Use == Purpose::Read)
    ++Pool.BusyReads;
  PooledConnection &Connection = Connections.at(Id);
  Connection.State = ConnectionState::Busy;
  Connection.Use = Use;
  Connection.Owner = Owner;
  Connection.StateSince = Now;
  return Id;
}

void ConnectionPool::release(ConnectionId Id, Time Now) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  PooledConnection &Connection = Found->second;
  if (Connection.State != ConnectionState::Busy)
    return;
  MemberPool &Pool = Pools[Connection.Member];
  --Pool.Busy;
  if (Connection.Use == Purpose::Read)
    --Pool.BusyReads;
  Connection.State = ConnectionState::Idle;
  Connection.Owner = NoRequest;
  Connection.StateSince = Now;
  Pool.Idle.push_back(Id);
  ++IdleTotal;
}

void ConnectionPool::removeFromIdle(const PooledConnection &Connection) {
  std::vector<ConnectionId> &Idle = Pools[Connection.Member].Idle;
  const auto Found = std::find(Idle.begin(), Idle.end(), Connection.Id);
  if (Found == Idle.end())
    return;
  Idle.erase(Found);
  --IdleTotal;
}

void ConnectionPool::remove(ConnectionId Id, bool Failed, Time Now) {
  const auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  const PooledConnection Connection = Found->second;
  Connections.erase(Found);
  MemberPool &Pool = Pools[Connection.Member];
  --Pool.Total;
  if (Connection.State == ConnectionState::Idle)
    removeFromIdle(Connection);
  if (Connection.State == ConnectionState::Busy) {
    --Pool.Busy;
    if (Connection.Use == Purpose::Read)
      --Pool.BusyReads;
  }
  if (!Failed)
    return;
  const Duration Delay =
      FirstReopenDelay *
      (1U << std::min(Pool.ConsecutiveOpenFailures, MaxReopenDoublings));
  // Only a failure to open delays the next attempt: the loss of an established
  // connection does not indicate that the next attempt will fail.
  if (Connection.State == ConnectionState::Opening) {
    ++Pool.ConsecutiveOpenFailures;
    Pool.NextOpenAt = Now + Delay;
  }
}

std::vector<ConnectionId> ConnectionPool::silentConnections(Time Now) const {
  std::vector<ConnectionId> Found;
  for (const auto &[Id, Connection] : Connections) {
    const bool AwaitsReply = Connection.State == ConnectionState::Opening ||
                             Connection.State == ConnectionState::Probing;
    if (AwaitsReply && Now - Connection.StateSince >= ReplyTimeout)
      Found.push_back(Id);
  }
  return Found;
}

std::vector<ConnectionId> ConnectionPool::startProbes(Time Now) {
  std::vector<ConnectionId> Due;
  for (auto &[Id, Connection] : Connections) {
    if (Connection.State != ConnectionState::Idle ||
        Now - Connection.StateSince < ProbeInterval)
      continue;
    removeFromIdle(Connection);
    Connection.State = ConnectionState::Probing;
    Connection.StateSince = Now;
    Due.push_back(Id);
  }
  return Due;
}

std::vector<ConnectionId> ConnectionPool::surplusConnections() const {
  std::vector<ConnectionId> Found;
  for (const auto &[Member, Pool] : Pools) {
    const std::size_t Excess =
        Pool.Total > MaxPerMember ? Pool.Total - MaxPerMember : 0;
    const std::size_t Count = std::min(Excess, Pool.Idle.size());
    Found.insert(Found.end(), Pool.Idle.begin(),
                 Pool.Idle.begin() + static_cast<std::ptrdiff_t>(Count));
  }
  return Found;
}

std::vector<ConnectionId>
ConnectionPool::connectionsTo(MemberIndex Member) const {
  std::vector<ConnectionId> Found;
  for (const auto &[Id, Connection] : Connections)
    if (Connection.Member == Member)
      Found.push_back(Id);
  return Found;
}

const PooledConnection *ConnectionPool::find(ConnectionId Id) const {
  const auto Found = Connections.find(Id);
  return Found == Connections.end() ? nullptr : &Found->second;
}

std::uint64_t ConnectionPool::nextSequence(ConnectionId Id) {
  return ++Connections.at(Id).LastSequence;
}

std::uint32_t ConnectionPool::openCount(MemberIndex Member) const {
  const MemberPool *Pool = pool(Member);
  return Pool ? Pool->Total : 0;
}

std::uint32_t ConnectionPool::busyCount(MemberIndex Member) const {
  const MemberPool *Pool = pool(Member);
  return Pool ? Pool->Busy : 0;
}

bool ConnectionPool::anyIdle() const { return IdleTotal > 0; }

} // namespace borageridge::dispatch
