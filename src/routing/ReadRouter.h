#ifndef BORAGERIDGE_ROUTING_READROUTER_H
#define BORAGERIDGE_ROUTING_READROUTER_H

#include "borageridge/Types.h"
#include "group/GroupView.h"

#include <cstdint>
#include <span>
#include <string>

namespace borageridge::routing {

/// Requirements of a read on the member that answers it.
struct ReadRequirements {
  /// Latest position that the session has written or read. Confirmed by a
  /// majority, except after a write acknowledged by the primary alone.
  Position Session;
  /// Largest accepted age of the answer, relative to the arrival.
  Duration AcceptedAge = Duration::zero();
  Time Arrival;
  /// Whether the replica share of the request class allows this read on a
  /// replica.
  bool ReplicaAllowed = true;
};

/// Usability and load of one member, as seen by the proxy.
struct MemberLoad {
  /// Whether the member is in the record, not suspected and not leaving.
  bool Usable = false;
  bool HasIdleConnection = false;
  std::uint32_t InFlight = 0;
  /// Smoothed time from request to reply; zero if not yet measured.
  Duration Latency = Duration::zero();
};

enum class RouteKind {
  /// Send the read to the replica in Member.
  Replica,
  /// Send the read to the primary.
  Primary,
  /// Wait: a replica is expected to satisfy the requirements before Until.
  WaitForReplica,
  /// Wait: suitable replicas exist, but all their connections are in use.
  WaitForConnection,
};

struct Route {
  RouteKind Kind = RouteKind::Primary;
  group::MemberIndex Member = group::NoMember;
  Time Until;
};

/// Whether a read that sees at least log index Applied on the member satisfies
/// the requirements.
bool satisfies(const group::GroupView &View, group::MemberIndex Member,
               LogIndex Applied, const ReadRequirements &Requirements);

/// Chooses the member that answers a read. Loads has one entry for each member
/// of View. Random selects the candidates that are compared.
Route chooseRoute(const group::GroupView &View,
                  std::span<const MemberLoad> Loads,
                  const ReadRequirements &Requirements,
                  std::string_view OwnAvailabilityZone, std::uint64_t Random,
                  Time Now);

/// Distributes a share between 0 and 1 evenly over a sequence of reads.
class ShareCounter {
public:
  /// Counts the next read and returns whether it belongs to the share.
  bool take(double Share);

private:
  double Accumulated = 0;
};

} // namespace borageridge::routing

#endif // BORAGERIDGE_ROUTING_READROUTER_H
