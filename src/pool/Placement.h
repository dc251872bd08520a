#ifndef BORAGERIDGE_POOL_PLACEMENT_H
#define BORAGERIDGE_POOL_PLACEMENT_H

#include "borageridge/Types.h"
#include "catalog/Catalog.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace borageridge::pool {

/// What a statement or a transaction asks of the member that runs it.
struct Demand {
  /// Only the primary may run it.
  bool NeedsPrimary = false;
  catalog::Consistency Reads = catalog::Consistency::Primary;
  Duration MaxStaleness{};
  /// When the first byte of the statement or its transaction arrived.
  Time Arrival;
  /// The session's last commit and the epoch in which it was made.
  std::optional<Position> OwnCommit;
  std::uint64_t OwnCommitEpoch = 0;
  /// Members that already failed this statement.
  std::vector<std::string> Excluded;
};

/// How a daemon sees one member.
struct MemberLoad {
  bool Primary = false;
  /// Registered, not leaving, not suspected, and, for the primary, in use.
  bool Usable = false;
  bool Excluded = false;
  bool SameZone = false;
  bool HasIdleConnection = false;
  bool CanOpenConnection = false;
  std::uint32_t Slots = 1;
  /// Daemons that place statements at the member.
  std::size_t Sharers = 1;
  /// Statements in work of this daemon, and as others last told.
  std::uint32_t OwnInFlight = 0;
  std::uint32_t OthersInFlight = 0;
  /// Last known end of the applied log and when it was seen.
  Position Applied;
  Time AppliedSeen;
};

/// Where a statement goes.
struct Place {
  std::size_t Member = 0;
  /// Position that a replica must have applied; none on the primary.
  std::optional<Position> After;
  /// No connection is idle; one may be opened.
  bool OpenFirst = false;
};

/// Position that a replica must have applied to answer; none if only the
/// primary can. Covering: the oldest position known to contain everything
/// committed before the accepted age.
std::optional<Position> replicaPosition(const Demand &D,
                                        std::optional<Position> Covering,
                                        std::uint64_t Epoch);

/// Statements that one daemon may have in work at a member. More would wait at
/// the member in the order of their arrival, ahead of what is urgent.
std::uint32_t concurrencyLimit(std::uint32_t Slots, std::size_t Sharers,
                               std::uint32_t OthersInFlight);

/// Chooses a member, or none if the statement must wait. Required: the result
/// of replicaPosition.
std::optional<Place> choosePlace(std::span<const MemberLoad> Members,
                                 const Demand &D,
                                 std::optional<Position> Required, Time Now);

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_PLACEMENT_H
