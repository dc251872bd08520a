#include "pool/ServicePool.h"

#include <algorithm>
#include <utility>

// Which member runs a statement, and on which connection.
namespace borageridge::pool {

MemberLoad ServicePool::loadOf(MemberState &M, const PlacementRequest &D,
                               Time Now) const {
  std::erase_if(M.Idle, [](const Connection &C) { return !C->isOpen(); });
  MemberLoad L;
  L.Primary = isPrimary(M);
  L.Usable = isUsable(M, Now);
  L.Excluded = std::find(D.Excluded.begin(), D.Excluded.end(), M.Info.Id) !=
               D.Excluded.end();
  L.SameZone = M.Info.AvailabilityZone == Shared.AvailabilityZone;
  L.HasIdleConnection =
      std::any_of(M.Idle.begin(), M.Idle.end(), [&](const Connection &C) {
        return C->organisation() == D.Organisation;
      });
  L.CanOpenConnection = mayOpenFor(M, D.Organisation, Now);
  L.Slots = M.Info.Slots;
  L.DaemonCount = HolderCount;
  L.OwnInFlight = M.inFlight();
  L.OthersInFlight = M.OthersInFlight;
  L.Applied = M.Applied;
  L.AppliedSeenAt = M.AppliedSeenAt;
  return L;
}

std::vector<MemberLoad> ServicePool::loads(const PlacementRequest &D,
                                           Time Now) {
  std::vector<MemberLoad> Result;
  Result.reserve(Members.size());
  for (auto &[Id, M] : Members)
    Result.push_back(loadOf(M, D, Now));
  return Result;
}

std::optional<Position>
ServicePool::requiredPosition(const PlacementRequest &D) const {
  return replicaPosition(D, Positions.covering(D.Arrival - D.MaxStaleness),
                         LogEpoch);
}

Duration ServicePool::latencyBound(std::string_view Member) const {
  const MemberState *M = find(Member);
  return M == nullptr ? Latency.upperBound() : M->Latency.upperBound();
}

// A primary without a free slot is no alternative: it must stay free for
// writes.
bool ServicePool::hasAlternative(PlacementRequest D, const std::string &Member,
                                 Time Now) {
  std::vector<MemberLoad> Others = loads(D, Now);
  std::size_t Index = 0;
  for (const auto &[Id, M] : Members) {
    MemberLoad &L = Others[Index++];
    if (Id == Member || L.Excluded ||
        (L.Primary && L.OwnInFlight + L.OthersInFlight >= L.Slots))
      L.Usable = false;
  }
  return chooseMember(Others, D, requiredPosition(D), Now).has_value();
}

// If the best member has no idle connection, opens one for later use and places
// the statement on the best member that has an idle connection.
std::optional<Checkout> ServicePool::tryPlace(const PlacementRequest &D,
                                              Time Now) {
  const std::optional<Position> Required = requiredPosition(D);
  std::vector<MemberLoad> Loads = loads(D, Now);
  std::vector<MemberState *> States;
  States.reserve(Members.size());
  for (auto &[Id, M] : Members)
    States.push_back(&M);
  std::optional<Placement> Chosen = chooseMember(Loads, D, Required, Now);
  if (Chosen && Chosen->NeedsConnection) {
    MemberState &Wanted = *States[Chosen->Member];
    const auto Opening = Wanted.OpeningFor.find(D.Organisation);
    const std::size_t Begun =
        Opening == Wanted.OpeningFor.end() ? 0 : Opening->second;
    // One free slot must not make every waiting organisation open a connection.
    const bool HasRoom = D.Organisation.empty() ||
                         Wanted.inFlight() + Wanted.Opening <
                             concurrencyLimit(Wanted.Info.Slots, HolderCount,
                                              Wanted.OthersInFlight);
    if (HasRoom && (Begun == 0 || Begun < waitingFor(D.Organisation)))
      openConnection(Wanted.Info.Id, D.Organisation, Now);
    for (MemberLoad &L : Loads)
      L.CanOpenConnection = false;
    Chosen = chooseMember(Loads, D, Required, Now);
  }
  if (!Chosen)
    return std::nullopt;
  return checkOut(*States[Chosen->Member], *Chosen, D.Organisation);
}

std::optional<Checkout> ServicePool::checkOut(MemberState &M,
                                              const Placement &Chosen,
                                              std::string_view Organisation) {
  Connection Link = takeIdle(M, Organisation);
  if (!Link)
    return std::nullopt;
  const bool SlotFree = M.inFlight() + M.OthersInFlight < M.Info.Slots;
  M.Busy.insert(Link);
  return Checkout{std::move(Link), Chosen.RequiredPosition, isPrimary(M),
                  Record.Epoch, SlotFree};
}

} // namespace borageridge::pool
