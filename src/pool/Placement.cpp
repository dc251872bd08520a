#include "pool/Placement.h"

#include <algorithm>

namespace borageridge::pool {
namespace {

// Reads leave the primary to writes while a replica has up to this much more
// work for each slot.
constexpr double PrimaryPenalty = 1.0;
// The way to another availability zone and back, as a part of the work of one
// statement.
constexpr double OtherZonePenalty = 0.05;
// Opening a connection takes about as long as a statement.
constexpr double OpeningPenalty = 0.7;
// Keeps the slots busy while answers and the next statements travel.
constexpr std::uint32_t InFlightPerSlot = 2;
// A replica that lacked the position this long ago may have it by now.
constexpr Duration LagMemory = std::chrono::milliseconds(150);

double load(const MemberLoad &M) {
  const double Work = M.OwnInFlight + M.OthersInFlight;
  return Work / M.Slots + (M.Primary ? PrimaryPenalty : 0.0) +
         (M.SameZone ? 0.0 : OtherZonePenalty) +
         (M.HasIdleConnection ? 0.0 : OpeningPenalty);
}

bool isKnownToLag(const MemberLoad &M, Position Required, Time Now) {
  return M.Applied < Required && M.AppliedSeen != Time() &&
         Now - M.AppliedSeen < LagMemory;
}

bool canRun(const MemberLoad &M, const Demand &D,
            std::optional<Position> Required, Time Now) {
  if (!M.Usable || (M.Excluded && !M.Primary) ||
      !(M.HasIdleConnection || M.CanOpenConnection) ||
      M.OwnInFlight >= concurrencyLimit(M.Slots, M.Sharers, M.OthersInFlight))
    return false;
  if (M.Primary)
    return true;
  return !D.NeedsPrimary && Required && !isKnownToLag(M, *Required, Now);
}

} // namespace

std::optional<Position> replicaPosition(const Demand &D,
                                        std::optional<Position> Covering,
                                        std::uint64_t Epoch) {
  if (D.NeedsPrimary || D.Reads == catalog::Consistency::Primary || !Covering)
    return std::nullopt;
  // Commits of earlier epochs are contained in every position of this one, or
  // were lost with the former primary.
  if (D.Reads == catalog::Consistency::ReadYourWrites && D.OwnCommit &&
      D.OwnCommitEpoch == Epoch)
    return std::max(*Covering, *D.OwnCommit);
  return Covering;
}

// What others told is old: each daemon has its share of the member whatever
// they use.
std::uint32_t concurrencyLimit(std::uint32_t Slots, std::size_t Sharers,
                               std::uint32_t OthersInFlight) {
  const std::uint32_t Total =
      InFlightPerSlot * std::max<std::uint32_t>(1, Slots);
  const auto Daemons =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, Sharers));
  const std::uint32_t Share = (Total + Daemons - 1) / Daemons;
  return std::max(Share, Total - std::min(Total, OthersInFlight));
}

std::optional<Place> choosePlace(std::span<const MemberLoad> Members,
                                 const Demand &D,
                                 std::optional<Position> Required, Time Now) {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    if (!canRun(Members[I], D, Required, Now))
      continue;
    if (!Best || load(Members[I]) < load(Members[*Best]))
      Best = I;
  }
  if (!Best)
    return std::nullopt;
  Place Result;
  Result.Member = *Best;
  Result.OpenFirst = !Members[*Best].HasIdleConnection;
  if (!Members[*Best].Primary)
    Result.After = Required;
  return Result;
}

} // namespace borageridge::pool
