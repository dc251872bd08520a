#include "entry/CallerLimits.h"

#include "entry/CallerConnection.h"
#include "entry/Events.h"

namespace borageridge::entry {
namespace {

// Part of the memory limit that callers may occupy. The rest is for the
// program, the state of the fleet, and what the allocator has not returned.
constexpr std::size_t MemoryDivisor = 4;
// Part of the sockets that callers may occupy. The rest is for connections to
// members, to the store and between daemons.
constexpr std::size_t SocketShareNumerator = 3;
constexpr std::size_t SocketShareDenominator = 4;

} // namespace

CallerLimits::CallerLimits(State &Shared)
    : S(Shared), Memory(Shared.Settings.MemoryLimitBytes / MemoryDivisor),
      MaxConnections(Shared.Settings.MaxSockets * SocketShareNumerator /
                     SocketShareDenominator) {}

admission::MemoryBudget::HolderId
CallerLimits::idOf(const CallerConnection &Caller) {
  return reinterpret_cast<std::uintptr_t>(&Caller);
}

void CallerLimits::report(std::string_view Reason, std::size_t Held, Time Now) {
  S.Metrics.addClosedCaller(Reason);
  if (ClosedLog.tryAcquire(Now))
    S.Log.write(event::CallerClosed, Reason, Held, Memory.total());
}

bool CallerLimits::mayAccept(std::size_t Open, Time Now) {
  if (Open < MaxConnections)
    return true;
  report("connections", 0, Now);
  return false;
}

void CallerLimits::update(CallerConnection &Caller, std::size_t Bytes,
                          Time Now) {
  const auto Id = idOf(Caller);
  Memory.set(Id, Bytes, Now);
  if (Bytes >= admission::MemoryBudget::MinCounted)
    Holders.try_emplace(Id, Caller.weak_from_this());
  else
    Holders.erase(Id);
  while (const auto Victim = Memory.victim()) {
    Memory.remove(*Victim);
    const auto Found = Holders.find(*Victim);
    const auto Chosen = Found == Holders.end() ? nullptr : Found->second.lock();
    if (Found != Holders.end())
      Holders.erase(Found);
    if (!Chosen)
      continue;
    report("memory", Chosen->heldBytes(), Now);
    Chosen->closeForMemory();
  }
}

void CallerLimits::remove(CallerConnection &Caller) {
  Memory.remove(idOf(Caller));
  Holders.erase(idOf(Caller));
}

} // namespace borageridge::entry
