#ifndef BORAGERIDGE_POOL_SERVICEPOOL_H
#define BORAGERIDGE_POOL_SERVICEPOOL_H

#include "admission/AdmissionQueue.h"
#include "admission/RetryBudget.h"
#include "admission/StartForecast.h"
#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "cluster/Epoch.h"
#include "cluster/LocalLease.h"
#include "cluster/Records.h"
#include "freshness/PrimaryPositions.h"
#include "pool/ConnectionBudget.h"
#include "pool/EndpointConnection.h"
#include "pool/LatencyEstimate.h"
#include "pool/MemberHealth.h"
#include "pool/Placement.h"
#include "runtime/Async.h"
#include "runtime/SharedCheck.h"
#include "telemetry/Log.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::pool {

/// State shared by all pools of a daemon.
struct PoolContext {
  runtime::asio::io_context &Io;
  telemetry::Log &Log;
  const cluster::LocalLease &Lease;
  std::string InstanceName;
  std::string AvailabilityZone;
  /// Records of earlier epochs do not permit the use of a primary, because the
  /// store may have lost newer ones.
  cluster::Epoch TrustedFrom = 0;
  /// Number of live daemons known to this one.
  std::size_t LiveDaemons = 1;
  /// Time after which a primary that announced its departure receives no more
  /// statements.
  Duration LeavingPrimaryLimit = std::chrono::milliseconds(5000);
};

class ServicePool;

/// Where a statement waits for a connection; no pool if it does not wait.
struct WaitingTicket {
  ServicePool *Pool = nullptr;
  admission::TicketId Id = 0;
};

/// When the waits of statements end in a planned stop.
struct AnswerLimits {
  /// Statements that no member runs are answered by then.
  Time LatestAnswer = Time::max();
  /// The replies of members are awaited until then.
  Time LatestReply = Time::max();
};

/// A connection checked out for one statement or transaction.
struct Checkout {
  Connection Link;
  /// Position that the replica must have applied; none on the primary.
  std::optional<Position> RequiredPosition;
  bool OnPrimary = false;
  /// Epoch of the group record at checkout.
  std::uint64_t Epoch = 0;
  /// Whether the member had a free slot according to the known load.
  bool SlotFree = false;
};

/// Why no connection could be acquired.
enum class AcquireFailure {
  TimedOut,
  QueueFull,
  NoPrimary,
  Stopping,
  Abandoned
};
std::string_view name(AcquireFailure Why);

/// Pool of one daemon's connections to the members of one service, with the
/// queue of statements that wait for a connection.
class ServicePool {
public:
  ServicePool(PoolContext &Shared, std::string Service);

  // Cluster state known to the daemon.
  /// Sets whether this daemon holds connections to the members, and the number
  /// of daemons that do.
  void setConnectionHolder(bool IsHolder, std::size_t DaemonCount) {
    IsConnectionHolder = IsHolder;
    HolderCount = DaemonCount;
  }
  bool isConnectionHolder() const { return IsConnectionHolder; }
  void setSpec(const catalog::ServiceSpec &NewSpec) { Spec = NewSpec; }
  /// ChangedAfter: the last time at which the members were known to be as they
  /// were before; none if they were not known.
  void setMembers(std::vector<catalog::Member> Known, Time Now,
                  std::optional<Time> ChangedAfter = std::nullopt);
  /// Ignores a record that is not newer than the current one.
  void setRecord(const cluster::GroupRecord &Newer, Time Now);
  /// Like setRecord, but if the record starts a primary change, first waits up
  /// to Limit for the statements in flight on the primary.
  runtime::Task<void> drainAndSetRecord(cluster::GroupRecord Newer,
                                        Duration Limit);
  const cluster::GroupRecord &record() const { return Record; }
  const catalog::ServiceSpec &spec() const { return Spec; }
  std::vector<catalog::Member> members() const;
  const catalog::Member *primary() const;
  /// Epoch in which the current log began. Positions of different log epochs
  /// are not comparable.
  std::uint64_t logEpoch() const { return LogEpoch; }

  /// Whether statements may currently be sent to the primary, provided that it
  /// answers.
  bool mayUsePrimary(Time Now) const;
  /// Whether replies of the primary to statements of this epoch may be
  /// forwarded to callers.
  bool mayAcknowledge(std::uint64_t Epoch, Time Now) const;
  /// Whether writes can be confirmed: no member whose promotion may still take
  /// effect is silent, and none is known to have taken over. Otherwise a write
  /// would remain in doubt.
  bool canConfirmLead(Time Now) const;
  /// Returns whether the primary still led when this was called, as far as the
  /// members whose promotion may still take effect show; false if they do not
  /// show it within Limit. Returns at once if there are none.
  runtime::Task<bool> confirmLead(Duration Limit);
  /// Whether another member is known to have taken over from the primary of the
  /// present record.
  bool isSuperseded() const {
    return Record.Epoch != 0 && SupersededEpoch == Record.Epoch;
  }
  bool hasContenders() const;
  /// Unsettled members of the record other than the primary.
  std::vector<std::string> contenders() const;
  /// Counts a write that was acknowledged to a caller, for the log.
  void noteAcknowledgedWrite(Time Now) {
    ++AcknowledgedWrites;
    LastAcknowledgedAt = Now;
  }

  /// Waits for a connection: until QueueDeadline if the usable members are
  /// busy, until Deadline if no member is usable; in a planned stop only as
  /// long as an answer can be expected in time. Waiting: set while it waits.
  runtime::Task<Expected<Checkout, AcquireFailure>>
  acquire(PlacementRequest D, std::string_view Database, std::uint32_t Priority,
          Time QueueDeadline, Time Deadline, WaitingTicket &Waiting);
  /// Ends the wait of a statement that nobody expects an answer to.
  void abandon(admission::TicketId Waiting);
  /// A transaction's connection occupies no slot between its statements:
  /// releaseSlot is called after each statement and reacquireSlot before the
  /// next one.
  void releaseSlot(const Checkout &Pinned);
  void reacquireSlot(const Checkout &Pinned);
  /// Returns a connection to the pool. A closed one is replaced on demand.
  void release(const Checkout &Used);

  /// Records the execution time of a statement of this database on a member
  /// with a free slot.
  void recordServiceTime(std::string_view Database, Duration Took);

  /// Sends a statement's request and updates the member's state from the reply.
  runtime::Task<Expected<statement::Reply, CallFailure>>
  call(const Checkout &Over, std::string Bytes, Duration Limit);

  /// Time within which nearly all replies of all members arrive.
  Duration latencyBound() const { return Latency.upperBound(); }
  /// Time within which nearly all replies of one member arrive.
  Duration latencyBound(std::string_view Member) const;
  /// Whether another member could run the statement now.
  bool hasAlternative(PlacementRequest D, const std::string &Member, Time Now);
  /// Counts a statement, and whether one whose answer was lost may be sent
  /// again. Such repetitions are limited to a share of the statements, since
  /// the members may still be running the first attempts.
  void noteStatement(Time Now) { Repetitions.addRequest(Now); }
  bool mayRepeat(Time Now) { return Repetitions.tryRetry(Now); }

  // A planned stop.
  /// Limits the waits of all statements, also of those that wait already.
  /// Statements that cannot be answered in time are refused.
  void setAnswerLimits(const AnswerLimits &Limits);
  /// Whether a statement that starts now cannot be expected to be answered in
  /// time.
  bool isTooLate(std::string_view Database, bool CommitsWrite, Time Now) const;
  /// Ends the waits of statements for a connection and for a confirmation. To
  /// be called from the latest answer on.
  void endWaits();
  /// Ends the waits of statements for the replies of members. To be called from
  /// the latest reply on.
  void endCalls();

  /// Ends the use of the primary before a primary change: waits up to Limit for
  /// the statements in flight, then aborts them. Afterwards nothing of the
  /// epoch is acknowledged.
  runtime::Task<void> relinquish(std::uint64_t Epoch, Duration Limit);

  /// Sends a request of the daemon itself to one member.
  runtime::Task<Expected<statement::Reply, CallFailure>>
  callMember(std::string Member, std::string Bytes, Duration Limit);
  /// Like callMember, with a reset request, which takes no execution time and
  /// clears the state of the connection.
  runtime::Task<Expected<statement::Reply, CallFailure>>
  ping(std::string Member, Duration Limit);

  /// Periodic maintenance: probes silent members, closes surplus connections
  /// and wakes waiting statements.
  void tick(Time Now);

  // State exchanged with other daemons.
  /// Evidence that a member is unreachable; none while it responds.
  std::optional<Evidence> evidence(std::string_view Member, Time Now) const;
  /// Whether the member is suspected, and so receives no work, or is unknown.
  bool isSuspected(std::string_view Member, Time Now) const;
  std::map<std::string, std::uint32_t> inFlight() const;
  /// Members that refuse this daemon connections within its share because other
  /// daemons hold them.
  std::vector<std::string> starvedMembers(Time Now) const;
  /// Stops borrowing connections to the member, which another daemon needs.
  void stopBorrowing(std::string_view Member, Time Now);
  void setOthersInFlight(std::map<std::string, std::uint32_t> Sum);
  std::optional<freshness::PrimaryPositions::Sample> newestSample() const;
  /// Returns a position that the primary's log reached at this time or later;
  /// none if the primary has not been seen since.
  std::optional<Position> positionAfter(Time From) const {
    return Positions.covering(From);
  }
  /// Adds a position that another daemon observed in the given log epoch.
  void addSample(std::uint64_t InLogEpoch, Time AsOf, Position At);

  std::size_t waiting() const { return Queue.size(); }
  std::size_t openConnections() const;
  std::uint64_t connectionsOpened() const { return OpenedCount; }

private:
  struct MemberState {
    catalog::Member Info;
    bool Registered = true;
    std::vector<Connection> Idle;
    std::set<Connection> Busy;
    /// Subset of Busy whose transactions wait for their caller's next
    /// statement.
    std::set<Connection> IdleInTransaction;
    std::uint32_t Opening = 0;
    /// Connections that are being opened, by organisation.
    std::map<std::string, std::uint32_t, std::less<>> OpeningFor;
    std::uint32_t OthersInFlight = 0;
    Position Applied;
    Time AppliedSeenAt;
    Time LeavingSince;
    bool Probing = false;
    bool ReportedSuspected = false;
    MemberHealth Health;
    LatencyEstimate Latency;
    ConnectionBudget Budget;

    std::uint32_t inFlight() const {
      return static_cast<std::uint32_t>(Busy.size() - IdleInTransaction.size());
    }
    std::uint32_t connections() const {
      return static_cast<std::uint32_t>(Idle.size() + Busy.size() + Opening);
    }
  };
  struct Waiter;
  static constexpr std::uint32_t PrimaryLane = 0;
  static constexpr std::uint32_t ReplicaLane = 1;
  /// About one second of statements at a typical rate.
  static constexpr admission::QueueLimits WaitLimits{
      .MaxTickets = 512, .MaxBytes = std::size_t(32) << 20};
  /// One organisation must not keep the others out of the queue.
  static constexpr std::size_t MaxWaitingOfOrganisation =
      WaitLimits.MaxTickets / 4;

  MemberState *find(std::string_view Member);
  const MemberState *find(std::string_view Member) const;
  bool isPrimary(const MemberState &M) const;
  bool isUsable(const MemberState &M, Time Now) const;
  std::uint32_t connectionLimit() const;
  bool mayOpen(const MemberState &M, Time Now) const;
  /// Whether a connection of the organisation may be opened, if need be in
  /// place of an idle one of another organisation.
  bool mayOpenFor(MemberState &M, std::string_view Organisation,
                  Time Now) const;
  std::size_t waitingFor(std::string_view Organisation) const;
  MemberLoad loadOf(MemberState &M, const PlacementRequest &D, Time Now) const;
  /// The load of each member, in the order of Members.
  std::vector<MemberLoad> loads(const PlacementRequest &D, Time Now);
  std::optional<Position> requiredPosition(const PlacementRequest &D) const;
  std::optional<Checkout> tryPlace(const PlacementRequest &D, Time Now);
  bool hasUsableMember(const PlacementRequest &D, Time Now) const;
  std::optional<Checkout> checkOut(MemberState &M, const Placement &Chosen,
                                   std::string_view Organisation);
  /// Returns the idle connection of the organisation that was used last;
  /// nullptr if there is none.
  static Connection takeIdle(MemberState &M, std::string_view Organisation);
  /// Returns any idle connection, for requests of the daemon itself.
  static Connection takeAnyIdle(MemberState &M);
  /// The idle connection of another organisation, none of whose statements
  /// wait, that may give way to a new one, if any.
  std::vector<Connection>::iterator
  replaceable(MemberState &M, std::string_view Organisation, Time Now) const;
  void openConnection(const std::string &Member,
                      const std::string &Organisation, Time Now);
  runtime::Task<void> open(std::string Member, std::string Organisation);
  runtime::Task<Connection> connect(std::string Member,
                                    std::string Organisation, Duration Limit);
  runtime::Task<void> probe(std::string Member);
  runtime::Task<Connection> takeOrConnect(std::string Member, Duration Limit);
  void putBack(const Connection &Link, Time Now);
  void recordReply(MemberState &M, const statement::Reply &Answer, Time SentAt,
                   std::uint64_t Epoch, Time Now);
  void wakeWaiters(Time Now);
  runtime::Task<void> waitForConnection(Waiter &Self, admission::TicketId Id,
                                        Time Until);
  /// Time from the assignment of a connection to the answer.
  Duration expectedTime(std::string_view Database, bool CommitsWrite) const;
  /// Time until which a statement may be assigned a connection.
  Time latestStart(Duration ExpectedTime, bool CommitsWrite) const;
  void withdraw(const std::vector<admission::Ticket> &Tickets,
                AcquireFailure Why);
  /// Withdraws statements that cannot start before the process ends.
  void withdrawHopeless(Time Now);
  bool worksOnLane(std::uint32_t Lane, Time Now) const;
  void closePrimaryConnections();
  void logEndOfUse(Time Now);
  runtime::Task<std::optional<bool>> askContenders();
  /// Returns false, the result of the check.
  bool recordSuperseded(const std::string &ShownBy);
  enum class LeadAnswer { NotLeading, Superseded, NotRunning, None };
  runtime::Task<LeadAnswer> askForLead(std::string Member);
  void closeSurplus(MemberState &M, Time Now);
  void reportHealth(MemberState &M, Time Now);

  PoolContext &Shared;
  std::string Service;
  catalog::ServiceSpec Spec;
  cluster::GroupRecord Record;
  std::uint64_t LogEpoch = 0;
  std::string LogPrimary;
  Term LogTerm = 0;
  /// Highest epoch whose primary this daemon has confirmed it no longer uses.
  std::uint64_t RelinquishedEpoch = 0;
  /// Highest epoch whose primary receives no new statements.
  std::uint64_t NoNewWorkEpoch = 0;
  /// First epoch of the present use of the primary, which later records have
  /// confirmed.
  std::uint64_t UseBegan = 0;
  /// Epoch of a record whose primary another member has taken over from.
  std::uint64_t SupersededEpoch = 0;
  runtime::SharedCheck LeadCheck;
  /// Writes acknowledged in the present use of the primary.
  std::uint64_t AcknowledgedWrites = 0;
  Time LastAcknowledgedAt;
  std::map<std::string, MemberState, std::less<>> Members;
  freshness::PrimaryPositions Positions;
  LatencyEstimate Latency;
  admission::RetryBudget Repetitions;
  std::map<std::string, LatencyEstimate, std::less<>> ServiceTimeByDatabase;
  admission::AdmissionQueue Queue;
  std::map<admission::TicketId, Waiter *> Waiters;
  /// Number of Waiters by organisation.
  std::map<std::string, std::size_t, std::less<>> WaitersOf;
  admission::TicketId LastTicket = 0;
  AnswerLimits StopLimits;
  /// Number of statements that waited and were assigned a connection, by lane.
  std::array<std::uint64_t, admission::AdmissionQueue::Lanes> Started{};
  std::array<admission::StartForecast, admission::AdmissionQueue::Lanes>
      Forecasts;
  bool WakingWaiters = false;
  bool IsConnectionHolder = true;
  std::size_t HolderCount = 1;
  std::uint64_t OpenedCount = 0;
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_SERVICEPOOL_H
