#include "pool/Placement.h"

#include <algorithm>

namespace borageridge::pool {
namespace {

// Reads avoid the primary, to leave it to writes, unless a replica's load per
// slot is higher by more than this.
constexpr double PrimaryPenalty = 1.0;
// Round trip to another availability zone, relative to the execution time of
// one statement.
constexpr double OtherZonePenalty = 0.05;
// A primary is asked again only if no replica can run the statement.
constexpr double FailedBeforePenalty = 4.0;
// Cost of opening a connection, which takes about as long as a statement.
constexpr double OpeningPenalty = 0.7;
// More than one, to keep the slots busy while replies and the next statements
// are in transit.
constexpr std::uint32_t InFlightPerSlot = 2;
// Age at which an observed replica position is too old to exclude the replica,
// which may have caught up since.
constexpr Duration LagExpiry = std::chrono::milliseconds(150);

double cost(const MemberLoad &M) {
  const double Work = M.OwnInFlight + M.OthersInFlight;
  return Work / M.Slots + (M.Primary ? PrimaryPenalty : 0.0) +
         (M.SameZone ? 0.0 : OtherZonePenalty) +
         (M.Excluded ? FailedBeforePenalty : 0.0) +
         (M.HasIdleConnection ? 0.0 : OpeningPenalty);
}

bool isKnownToLag(const MemberLoad &M, Position Required, Time Now) {
  return M.Applied < Required && M.AppliedSeenAt != Time() &&
         Now - M.AppliedSeenAt < LagExpiry;
}

bool canRun(const MemberLoad &M, const PlacementRequest &D,
            std::optional<Position> Required, Time Now) {
  if (!M.Usable || (M.Excluded && !M.Primary) ||
      !(M.HasIdleConnection || M.CanOpenConnection) ||
      M.OwnInFlight >=
          concurrencyLimit(M.Slots, M.DaemonCount, M.OthersInFlight))
    return false;
  if (M.Primary)
    return true;
  return !D.NeedsPrimary && Required && !isKnownToLag(M, *Required, Now);
}

} // namespace

std::optional<Position> replicaPosition(const PlacementRequest &D,
                                        std::optional<Position> Covering,
                                        std::uint64_t Epoch) {
  if (D.NeedsPrimary || D.Reads == catalog::Consistency::Primary || !Covering)
    return std::nullopt;
  // Commits of earlier epochs are included in every position of this epoch, or
  // were lost with the former primary.
  if (D.Reads == catalog::Consistency::ReadYourWrites && D.OwnCommit &&
      D.OwnCommitEpoch == Epoch)
    return std::max(*Covering, *D.OwnCommit);
  return Covering;
}

// The figures of other daemons are outdated, so each daemon may always use its
// share of the member's capacity, regardless of what the others report.
std::uint32_t concurrencyLimit(std::uint32_t Slots, std::size_t DaemonCount,
                               std::uint32_t OthersInFlight) {
  const std::uint32_t Total =
      InFlightPerSlot * std::max<std::uint32_t>(1, Slots);
  const auto Daemons =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, DaemonCount));
  const std::uint32_t Share = (Total + Daemons - 1) / Daemons;
  return std::max(Share, Total - std::min(Total, OthersInFlight));
}

std::optional<Placement> chooseMember(std::span<const MemberLoad> Members,
                                      const PlacementRequest &D,
                                      std::optional<Position> Required,
                                      Time Now) {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    if (!canRun(Members[I], D, Required, Now))
      continue;
    if (!Best || cost(Members[I]) < cost(Members[*Best]))
      Best = I;
  }
  if (!Best)
    return std::nullopt;
  Placement Result;
  Result.Member = *Best;
  Result.NeedsConnection = !Members[*Best].HasIdleConnection;
  if (!Members[*Best].Primary)
    Result.RequiredPosition = Required;
  return Result;
}

} // namespace borageridge::pool
