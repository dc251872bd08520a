#ifndef BORAGERIDGE_POOL_SERVICEPOOL_H
#define BORAGERIDGE_POOL_SERVICEPOOL_H

#include "admission/AdmissionQueue.h"
#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "cluster/Records.h"
#include "cluster/UseLease.h"
#include "freshness/PrimaryPositions.h"
#include "pool/ConnectionBudget.h"
#include "pool/EndpointConnection.h"
#include "pool/LatencyEstimate.h"
#include "pool/MemberHealth.h"
#include "pool/Placement.h"
#include "runtime/Async.h"
#include "telemetry/Log.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::pool {

/// What all pools of a daemon share.
struct PoolContext {
  runtime::asio::io_context &Io;
  telemetry::Log &Log;
  const cluster::UseLease &Lease;
  std::string InstanceName;
  std::string AvailabilityZone;
  /// Daemons that run now, as far as this one knows.
  std::size_t LiveDaemons = 1;
  /// A leaving primary gets no statements later than this after it told.
  Duration LeavingPrimaryLimit = std::chrono::milliseconds(5000);
};

/// A connection that one statement or transaction may use.
struct Checkout {
  Connection Link;
  /// None on the primary.
  std::optional<Position> After;
  bool OnPrimary = false;
  /// The epoch in which the primary was chosen.
  std::uint64_t Epoch = 0;
  /// The member had a free slot, as far as known.
  bool SlotFree = false;
};

/// Why a statement was not placed.
enum class Refusal { WaitTooLong, QueueFull, NoPrimary };
std::string_view name(Refusal Why);

/// Connections of one daemon to the members of one service, and the statements
/// that wait for them.
class ServicePool {
public:
  ServicePool(PoolContext &Shared, std::string Service);

  // What the daemon believes.
  /// Whether this daemon keeps connections to the members, and how many daemons
  /// do.
  void setHolding(bool Holds, std::size_t Sharers) {
    Holding = Holds;
    SharingDaemons = Sharers;
  }
  bool isHolding() const { return Holding; }
  void setSpec(const catalog::ServiceSpec &NewSpec) { Spec = NewSpec; }
  void setMembers(std::vector<catalog::Member> Known, Time Now);
  /// Ignores records that are older than the present one.
  void setRecord(const cluster::GroupRecord &Newer, Time Now);
  /// As setRecord; if a change begins, work in flight may end first, for Limit
  /// at most.
  runtime::Task<void> followRecord(cluster::GroupRecord Newer, Duration Limit);
  const cluster::GroupRecord &record() const { return Record; }
  const catalog::ServiceSpec &spec() const { return Spec; }
  std::vector<catalog::Member> members() const;
  const catalog::Member *primary() const;
  /// The epoch in which the log in use began. Positions of different log
  /// epochs cannot be compared.
  std::uint64_t logEpoch() const { return LogEpoch; }

  /// Whether statements may be sent to the primary now.
  bool mayUsePrimary(Time Now) const;
  /// Whether what the primary answered to work of this epoch may be told to
  /// callers.
  bool mayAcknowledge(std::uint64_t Epoch, Time Now) const;

  /// Waits for a connection: until GiveUp while members could run the
  /// statement and are busy, until Deadline while none may.
  runtime::Task<Expected<Checkout, Refusal>>
  acquire(Demand D, std::string_view Database, std::uint32_t Priority,
          Time GiveUp, Time Deadline);
  /// Between the statements of a transaction its connection takes no slot.
  void rest(const Checkout &Pinned);
  void resume(const Checkout &Pinned);
  /// Gives a connection back; a closed one is replaced on demand.
  void release(const Checkout &Used);

  /// Learns how long statements on this database take at a free member.
  void addWork(std::string_view Database, Duration Took);

  /// Sends a request of a statement and learns from the answer.
  runtime::Task<Expected<statement::Reply, Loss>>
  call(const Checkout &Over, std::string Bytes, Duration Limit);

  /// Within this time nearly all answers come; later ones are taken for lost.
  Duration usualLatency() const { return Latency.limit(); }

  /// Ends the use of the primary for a change: waits up to Limit for the work
  /// in flight, then gives it up. After it nothing of the epoch is
  /// acknowledged.
  runtime::Task<void> relinquish(std::uint64_t Epoch, Duration Limit);

  /// A request of the daemon itself to one member.
  runtime::Task<Expected<statement::Reply, Loss>>
  callMember(std::string Member, std::string Bytes, Duration Limit);
  /// As callMember, with a request that takes no time and clears what the
  /// connection holds.
  runtime::Task<Expected<statement::Reply, Loss>> ping(std::string Member,
                                                       Duration Limit);

  /// Regular work: probes, surplus connections, expired waits.
  void tick(Time Now);

  // Exchange with other daemons.
  /// Evidence about a member: unreachable since; none while it answers.
  std::optional<Evidence> evidence(std::string_view Member, Time Now) const;
  /// Whether the member gets no work; also if it is not known.
  bool isSuspected(std::string_view Member, Time Now) const;
  std::map<std::string, std::uint32_t> inFlight() const;
  /// Members at which others hold connections of this daemon's share.
  std::vector<std::string> starvedMembers(Time Now) const;
  /// Another daemon lacks connections to the member.
  void yieldConnections(std::string_view Member, Time Now);
  void setOthersInFlight(std::map<std::string, std::uint32_t> Sum);
  std::optional<freshness::PrimaryPositions::Sample> newestSample() const;
  /// A position that another daemon saw in the log epoch.
  void addSample(std::uint64_t SeenIn, Time AsOf, Position At);

  std::size_t waiting() const { return Queue.size(); }
  std::size_t openConnections() const;
  std::uint64_t connectionsOpened() const { return Opened; }

private:
  struct MemberState {
    catalog::Member Info;
    bool Registered = true;
    std::vector<Connection> Idle;
    std::set<Connection> Busy;
    /// Those of Busy whose transaction waits for its caller.
    std::set<Connection> Resting;
    std::uint32_t Opening = 0;
    std::uint32_t OthersInFlight = 0;
    Position Applied;
    Time AppliedSeen;
    Time LeavingSince;
    bool Probing = false;
    bool ReportedSuspected = false;
    MemberHealth Health;
    ConnectionBudget Budget;

    std::uint32_t inFlight() const {
      return static_cast<std::uint32_t>(Busy.size() - Resting.size());
    }
    std::uint32_t connections() const {
      return static_cast<std::uint32_t>(Idle.size() + Busy.size() + Opening);
    }
  };
  struct Waiter;

  MemberState *find(std::string_view Member);
  const MemberState *find(std::string_view Member) const;
  bool isPrimary(const MemberState &M) const;
  bool isUsable(const MemberState &M, Time Now) const;
  std::uint32_t connectionLimit() const;
  bool mayOpen(const MemberState &M, Time Now) const;
  MemberLoad loadOf(MemberState &M, const Demand &D, Time Now) const;
  std::optional<Checkout> tryPlace(const Demand &D, Time Now);
  bool hasUsableMember(const Demand &D, Time Now) const;
  std::optional<Checkout> checkOut(MemberState &M, const Place &Chosen);
  Connection takeIdle(MemberState &M);
  void openConnection(const std::string &Member);
  runtime::Task<void> open(std::string Member);
  runtime::Task<Connection> connect(std::string Member, Duration Limit);
  runtime::Task<void> probe(std::string Member);
  runtime::Task<Connection> takeOrConnect(std::string Member, Duration Limit);
  void putBack(const Connection &Link, Time Now);
  void learn(MemberState &M, const statement::Reply &Answer, Time SentAt,
             std::uint64_t Epoch, Time Now);
  void wake(Time Now);
  void closePrimaryConnections();
  void closeSurplus(MemberState &M, Time Now);
  void reportHealth(MemberState &M, Time Now);

  PoolContext &Shared;
  std::string Service;
  catalog::ServiceSpec Spec;
  cluster::GroupRecord Record;
  std::uint64_t LogEpoch = 0;
  std::string LogPrimary;
  Term LogTerm = 0;
  /// The epoch whose primary this daemon has promised not to use any more.
  std::uint64_t Relinquished = 0;
  /// The epoch whose primary gets no new work.
  std::uint64_t Held = 0;
  std::map<std::string, MemberState, std::less<>> Members;
  freshness::PrimaryPositions Positions;
  LatencyEstimate Latency;
  std::map<std::string, LatencyEstimate, std::less<>> WorkByDatabase;
  admission::AdmissionQueue Queue;
  std::map<admission::TicketId, Waiter *> Waiters;
  admission::TicketId LastTicket = 0;
  bool Waking = false;
  bool Holding = true;
  std::size_t SharingDaemons = 1;
  std::uint64_t Opened = 0;
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_SERVICEPOOL_H
