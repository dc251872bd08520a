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

/// Requirements of a statement or transaction on the member that executes it.
struct PlacementRequest {
  /// The organisation whose connections are used; empty if there is none.
  std::string Organisation;
  /// Must be executed on the primary.
  bool NeedsPrimary = false;
  /// Takes effect by itself, so that its caller is in doubt if it is cut off.
  bool CommitsWrite = false;
  catalog::Consistency Reads = catalog::Consistency::Primary;
  Duration MaxStaleness{};
  /// Arrival time of the first byte of the statement or its transaction.
  Time Arrival;
  /// Position of the session's last commit, and the epoch of that commit.
  std::optional<Position> OwnCommit;
  std::uint64_t OwnCommitEpoch = 0;
  /// Members on which this statement has already failed.
  std::vector<std::string> Excluded;
};

/// State and load of one member as known to this daemon.
struct MemberLoad {
  bool Primary = false;
  /// Registered, not leaving and not suspected. For the primary, also whether
  /// this daemon may currently use it.
  bool Usable = false;
  bool Excluded = false;
  bool SameZone = false;
  bool HasIdleConnection = false;
  bool CanOpenConnection = false;
  std::uint32_t Slots = 1;
  /// Number of daemons that send statements to the member.
  std::size_t DaemonCount = 1;
  /// Statements in flight from this daemon, and from the other daemons
  /// according to their last reports.
  std::uint32_t OwnInFlight = 0;
  std::uint32_t OthersInFlight = 0;
  /// Last known applied log position and when it was observed.
  Position Applied;
  Time AppliedSeenAt;
};

/// The member chosen for a statement.
struct Placement {
  std::size_t Member = 0;
  /// Position that the replica must have applied; none on the primary.
  std::optional<Position> RequiredPosition;
  /// There is no idle connection, but one may be opened.
  bool NeedsConnection = false;
};

/// Returns the position that a replica must have applied to execute the read;
/// none if only the primary can. Covering is the oldest known position that
/// includes every commit older than the accepted staleness.
std::optional<Position> replicaPosition(const PlacementRequest &D,
                                        std::optional<Position> Covering,
                                        std::uint64_t Epoch);

/// Returns the maximum number of statements that one daemon may have in flight
/// at a member. Further statements would queue at the member in order of
/// arrival, ahead of statements of higher priority.
std::uint32_t concurrencyLimit(std::uint32_t Slots, std::size_t DaemonCount,
                               std::uint32_t OthersInFlight);

/// Chooses a member, or none if the statement must wait. Required is the result
/// of replicaPosition.
std::optional<Placement> chooseMember(std::span<const MemberLoad> Members,
                                      const PlacementRequest &D,
                                      std::optional<Position> Required,
                                      Time Now);

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_PLACEMENT_H
