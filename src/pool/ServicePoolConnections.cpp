#include "pool/ServicePool.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;
using statement::ErrorCode;
using statement::Reply;

// Covers the connect, the connection setup at the endpoint and queueing there.
constexpr Duration OpenLimit = std::chrono::milliseconds(700);
// Idle time after which a connection may give way to another organisation. A
// transaction or a busy organisation takes its connection again within this
// time.
constexpr Duration MinIdleToReplace = std::chrono::milliseconds(20);

} // namespace

std::uint32_t ServicePool::connectionLimit() const {
  return IsConnectionHolder ? connectionShare(Spec.MaxConnections, HolderCount)
                            : 0;
}

// A daemon that is not a connection holder may open one connection to each
// member, for sessions that started here and have not been moved yet. Its share
// is 0, so an idle connection is closed like a borrowed one.
bool ServicePool::mayOpen(const MemberState &M, Time Now) const {
  const std::uint32_t Connections = M.connections();
  return IsConnectionHolder
             ? M.Budget.mayOpen(Connections, connectionLimit(), Now)
             : Connections == 0 && M.Budget.mayOpen(Connections, 1, Now);
}

std::vector<Connection>::iterator
ServicePool::replaceable(MemberState &M, std::string_view Organisation,
                         Time Now) const {
  return std::find_if(M.Idle.begin(), M.Idle.end(), [&](const Connection &C) {
    return C->organisation() != Organisation &&
           Now - C->idleSince() >= MinIdleToReplace &&
           waitingFor(C->organisation()) == 0;
  });
}

bool ServicePool::mayOpenFor(MemberState &M, std::string_view Organisation,
                             Time Now) const {
  return mayOpen(M, Now) || (M.Budget.mayReplace(Now) &&
                             replaceable(M, Organisation, Now) != M.Idle.end());
}

std::size_t ServicePool::waitingFor(std::string_view Organisation) const {
  const auto Found = WaitersOf.find(Organisation);
  return Found == WaitersOf.end() ? 0 : Found->second;
}

Connection ServicePool::takeIdle(MemberState &M,
                                 std::string_view Organisation) {
  for (auto It = M.Idle.end(); It != M.Idle.begin();) {
    --It;
    if ((*It)->organisation() != Organisation)
      continue;
    Connection Link = std::move(*It);
    It = M.Idle.erase(It);
    if (Link->isReusable())
      return Link;
    Link->close();
  }
  return nullptr;
}

Connection ServicePool::takeAnyIdle(MemberState &M) {
  while (!M.Idle.empty()) {
    Connection Link = std::move(M.Idle.back());
    M.Idle.pop_back();
    if (Link->isReusable())
      return Link;
    Link->close();
  }
  return nullptr;
}

// Idle is ordered by the time of the last use, so that the first connection of
// another organisation is the one that was used least recently.
void ServicePool::openConnection(const std::string &Member,
                                 const std::string &Organisation, Time Now) {
  MemberState *M = find(Member);
  if (!mayOpen(*M, Now)) {
    const auto Oldest = replaceable(*M, Organisation, Now);
    if (Oldest == M->Idle.end())
      return;
    (*Oldest)->close();
    M->Idle.erase(Oldest);
  }
  ++M->Opening;
  ++M->OpeningFor[Organisation];
  runtime::spawn(Shared.Io, open(Member, Organisation));
}

Task<void> ServicePool::open(std::string Member, std::string Organisation) {
  Connection Link = co_await connect(Member, Organisation, OpenLimit);
  const Time Now = bootTime();
  MemberState *M = find(Member);
  if (M == nullptr)
    co_return;
  --M->Opening;
  if (const auto Count = M->OpeningFor.find(Organisation);
      Count != M->OpeningFor.end() && --Count->second == 0)
    M->OpeningFor.erase(Count);
  if (Link && M->Registered) {
    Link->markIdle(Now);
    M->Idle.push_back(std::move(Link));
  }
  wakeWaiters(Now);
}

Task<Connection> ServicePool::connect(std::string Member,
                                      std::string Organisation,
                                      Duration Limit) {
  MemberState *M = find(Member);
  runtime::tcp::endpoint To;
  if (M == nullptr || runtime::parseEndpoint(M->Info.Address, To))
    co_return nullptr;
  const Time Start = bootTime();
  const auto Link =
      std::make_shared<EndpointConnection>(Shared.Io, Member, Organisation);
  const std::string &User =
      Organisation.empty() ? Shared.InstanceName : Organisation;
  Expected<Reply> Answer = co_await Link->open(
      To, platform::encodeStart(Service, User, Member), Limit);
  const Time Now = bootTime();
  M = find(Member);
  if (M == nullptr)
    co_return nullptr;
  if (!Answer) {
    M->Budget.recordFailure(Now);
    if (Answer.error().Kind == FailureKind::PermissionDenied)
      M->Health.recordRefusal(Now);
    else
      M->Health.recordTimeout(Start);
    co_return nullptr;
  }
  if (Answer.value().Error == ErrorCode::Misrouted) {
    // Another member now has this address, so the expected one no longer runs
    // there.
    M->Budget.recordFailure(Now);
    M->Health.recordRefusal(Now);
    co_return nullptr;
  }
  M->Health.recordReply(Now);
  if (Answer.value().Error) {
    M->Budget.recordRefusal(Now);
    Shared.Log.write(entry::event::ConnectionRefused, Service, Member,
                     statement::name(*Answer.value().Error));
    co_return nullptr;
  }
  ++OpenedCount;
  M->Budget.recordSuccess();
  co_return Link;
}

void ServicePool::release(const Checkout &Used) {
  const Time Now = bootTime();
  MemberState *M = find(Used.Link->member());
  if (M == nullptr || M->Busy.erase(Used.Link) == 0) {
    Used.Link->close();
    return;
  }
  M->IdleInTransaction.erase(Used.Link);
  const bool Surplus = M->Budget.isSurplus(
      M->connections() + 1, connectionLimit(), Duration::zero(), Now);
  const bool Keep = M->Registered && Used.Link->isOpen() && !Surplus &&
                    !(M->Info.Leaving && !isPrimary(*M));
  if (Keep) {
    Used.Link->markIdle(Now);
    M->Idle.push_back(Used.Link);
  } else {
    Used.Link->close();
  }
  wakeWaiters(Now);
}

void ServicePool::closePrimaryConnections() {
  MemberState *M = find(Record.Primary);
  if (M == nullptr)
    return;
  for (const Connection &Link : M->Busy)
    Link->close();
}

std::vector<std::string> ServicePool::starvedMembers(Time Now) const {
  std::vector<std::string> Result;
  for (const auto &[Id, M] : Members)
    if (IsConnectionHolder && M.Registered &&
        M.Budget.isStarved(M.connections(), connectionLimit(), Now))
      Result.push_back(Id);
  return Result;
}

void ServicePool::stopBorrowing(std::string_view Member, Time Now) {
  if (MemberState *M = find(Member))
    M->Budget.stopBorrowing(Now);
}

std::size_t ServicePool::openConnections() const {
  std::size_t Sum = 0;
  for (const auto &[Id, M] : Members)
    Sum += M.Idle.size() + M.Busy.size();
  return Sum;
}

Task<Connection> ServicePool::takeOrConnect(std::string Member,
                                            Duration Limit) {
  MemberState *M = find(Member);
  if (M == nullptr)
    co_return nullptr;
  if (Connection Link = takeAnyIdle(*M))
    co_return Link;
  co_return co_await connect(Member, {}, Limit);
}

void ServicePool::putBack(const Connection &Link, Time Now) {
  MemberState *M = find(Link->member());
  if (M == nullptr || !M->Registered || !Link->isOpen()) {
    Link->close();
    return;
  }
  Link->markIdle(Now);
  M->Idle.push_back(Link);
  wakeWaiters(Now);
}

void ServicePool::closeSurplus(MemberState &M, Time Now) {
  while (!M.Idle.empty() &&
         M.Budget.isSurplus(M.connections() - M.Opening, connectionLimit(),
                            Now - M.Idle.front()->idleSince(), Now)) {
    M.Idle.front()->close();
    M.Idle.erase(M.Idle.begin());
  }
}

} // namespace borageridge::pool
