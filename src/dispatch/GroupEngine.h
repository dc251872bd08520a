#ifndef BORAGERIDGE_DISPATCH_GROUPENGINE_H
#define BORAGERIDGE_DISPATCH_GROUPENGINE_H

#include "admission/AdmissionQueue.h"
#include "admission/RetryBudget.h"
#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "dispatch/Actions.h"
#include "dispatch/ConnectionPool.h"
#include "dispatch/Request.h"
#include "failover/FailureDetector.h"
#include "failover/Promotion.h"
#include "group/GroupView.h"
#include "routing/ReadRouter.h"
#include "session/TermHistory.h"
#include "table/Table.h"

#include "admin.pb.h"
#include "caller.pb.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace borageridge::dispatch {

struct EngineSettings {
  ranking::ProxyIdentity Self;
  Duration PingInterval = std::chrono::milliseconds(100);
  failover::FailureDetectorSettings Suspicion;
  failover::PromotionSettings Promotion;
  admission::QueueLimits Queue;
  admission::RetryLimits Retries;
  /// A connection on which the endpoint does not reply to a request within the
  /// timeout counts as silent and is closed.
  Duration ReadAttemptTimeout = std::chrono::seconds(1);
  Duration WriteAttemptTimeout = std::chrono::seconds(2);
  /// Limit on writes that wait for confirmation; further writes stay queued.
  std::size_t MaxUnconfirmedWrites = 1024;
  /// The id ranges of the engines of a process must be disjoint.
  ConnectionId FirstConnectionId = 1;
  std::uint64_t Seed = 1;
};

/// Counts since the start of the engine.
struct EngineCounters {
  std::uint64_t ReplicaReads = 0;
  std::uint64_t PrimaryReads = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t SilentConnections = 0;
};

/// Executes the requests that one proxy receives for one database group.
///
/// Performs no I/O and is not thread-safe. Each event handler takes the current
/// time and appends actions to Out, which the owner of the engine carries out
/// in order. The owner calls tick() every few milliseconds.
class GroupEngine {
public:
  GroupEngine(std::string Database, EngineSettings Settings,
              failover::AttemptGenerator NextAttempt, Time Now);

  /// Applies a new configuration table.
  void configure(const table::Table &NewTable, Time Now, Actions &Out);
  /// Handles a group record received from the store or from a peer.
  void recordKnown(const failover::KnownRecord &Known, Time Now, Actions &Out);

  void execute(RequestContext Context, caller::ExecuteRequest Message, Time Now,
               Actions &Out);
  void lookUp(RequestContext Context, const caller::LookUpRequest &Message,
              Time Now, Actions &Out);
  void beginTransaction(RequestContext Context,
                        const caller::TransactBegin &Message, Time Now,
                        Actions &Out);
  /// Handles a transaction step that the caller sends after the reply to begin.
  void continueTransaction(RequestId Id, const caller::TransactRequest &Step,
                           Time Now, Actions &Out);
  /// Handles the disconnection of a request's caller. The last SendAnswer still
  /// follows, at the latest after the endpoint's reply.
  void abandon(RequestId Id, Time Now, Actions &Out);

  void connectionReplied(ConnectionId Id,
                         const endpoint::ConnectionReply &Reply, Time Now,
                         Actions &Out);
  void connectionFailed(ConnectionId Id, const Failure &Error, Time Now,
                        Actions &Out);
  void statusReceived(group::MemberIndex Member,
                      const endpoint::MemberStatus &Status, Time Now,
                      Actions &Out);
  void observationFailed(group::MemberIndex Member, const Failure &Error,
                         Time Now, Actions &Out);

  void recordRead(const Expected<failover::KnownRecord> &Result, Time Now,
                  Actions &Out);
  void recordSwapped(const failover::SwapRecord &Swap,
                     const Expected<std::int64_t> &Result, Time Now,
                     Actions &Out);
  void memberSealed(std::string_view Member, Term SealedFor,
                    const Expected<endpoint::SealReply> &Result, Time Now,
                    Actions &Out);
  void memberPromoted(std::string_view Member, Term PromotedFor,
                      const Expected<endpoint::PromoteReply> &Result, Time Now,
                      Actions &Out);

  void evidenceReceived(const peer::Evidence &Evidence, Time Now);
  std::vector<peer::Evidence> ownEvidence(Time Now) const;
  /// Alive: proxies among which the rank for changes of primary is determined.
  /// Witnesses: proxies whose evidence is required before a member is declared
  /// failed.
  void proxiesChanged(std::vector<ranking::ProxyIdentity> Alive,
                      std::vector<ranking::ProxyIdentity> Witnesses);
  /// Names: members that the instance list marks as leaving.
  void leavingChanged(std::span<const std::string> Names, Time Now,
                      Actions &Out);
  failover::StartResult changePrimary(std::string_view Preferred, Time Now,
                                      Actions &Out);

  void tick(Time Now, Actions &Out);

  const group::GroupView &view() const { return View; }
  const EngineCounters &counters() const { return Counters; }
  const ConnectionPool &connections() const { return Pool; }
  std::size_t inFlight() const { return Requests.size(); }
  std::size_t queued() const;
  bool isSuspected(group::MemberIndex Member, Time Now) const;
  void describe(admin::GroupStatus &Status, Time Now) const;

private:
  struct MemberRuntime {
    std::string ObservedAddress;
    bool Observing = false;
    Time NextObserveAt;
    /// Time of the last status, or of the start of the observation.
    Time LastStatusAt;
    Time NextPingAt;
    std::uint64_t LastPing = 0;
    std::map<RequestType, Duration> Latency;
  };

  // New requests (GroupEngine.cpp).
  std::unique_ptr<Request> makeRequest(RequestContext Context, RequestType Type,
                                       std::string_view Key,
                                       std::string_view Class) const;
  void admitKeyed(std::unique_ptr<Request> New, Time Now, Actions &Out);

  // Admission and routing (Admission.cpp).
  void admit(std::unique_ptr<Request> New, std::uint64_t Bytes, Time Now,
             Actions &Out);
  bool enqueue(Request &R, std::uint64_t Bytes, std::uint32_t MaxInFlight,
               Time Now, Actions &Out);
  void dispatchQueued(Time Now, Actions &Out);
  void dispatchWrites(Time Now, Actions &Out);
  void dispatchReads(Time Now, Actions &Out);
  void dispatchReplicaWaiters(Time Now, Actions &Out);
  bool canWrite(Time Now) const;
  bool isBelowConnectionLimit(const Request &R) const;
  bool tryStartRead(Request &R, Time Now, Actions &Out);
  void sendRead(Request &R, group::MemberIndex Member, ConnectionId Id,
                Time Now, Actions &Out);
  void sendWrite(Request &R, ConnectionId Id, Time Now, Actions &Out);
  void send(Request &R, endpoint::ConnectionRequest Message, Duration Timeout,
            Time Now, Actions &Out);
  void requeue(Request &R, Time Now, Actions &Out);
  void retryWithinBudget(Request &R, Time Now, Actions &Out);
  std::vector<routing::MemberLoad> memberLoads(Time Now) const;

  // Replies of endpoints and confirmation (Replies.cpp).
  void readReplied(Request &R, const endpoint::ConnectionReply &Reply, Time Now,
                   Actions &Out);
  void writeReplied(Request &R, const endpoint::ConnectionReply &Reply,
                    Time Now, Actions &Out);
  void lookUpReplied(Request &R, const endpoint::ConnectionReply &Reply,
                     Time Now, Actions &Out);
  void endpointRefused(Request &R, const endpoint::ConnectionReply &Reply,
                       Time Now, Actions &Out);
  void releaseConnection(Request &R, Time Now);
  void discardConnection(Request &R, Time Now, Actions &Out);
  void awaitConfirmation(Request &R, const endpoint::ConnectionReply &Reply,
                         Time Now, Actions &Out);
  bool isConfirmed(const Request &R) const;
  void checkConfirmations(Time Now, Actions &Out);
  void abortConfirmations(Time Now, Actions &Out);
  void failRequestsToReplacedPrimary(Time Now, Actions &Out);
  void restartInNewTerm(Request &R, Time Now, Actions &Out);
  void requestTermConfirmation(Time Now, Actions &Out);
  void connectionLost(ConnectionId Id, Time Now, Actions &Out);

  // Replies to callers (Answers.cpp).
  void answer(Request &R, Time Now, Actions &Out);
  void refuse(Request &R, caller::RefusalReason Reason, std::string Detail,
              Time Now, Actions &Out);
  void finish(Request &R, ReplyMessage Reply, Actions &Out);
  void removeRequest(Request &R);

  // Transactions (Transactions.cpp).
  void transactionReplied(Request &R, const endpoint::ConnectionReply &Reply,
                          Time Now, Actions &Out);
  void transactionLost(Request &R, Time Now, Actions &Out);

  // Timers and maintenance (Maintenance.cpp).
  void setTimer(Request &R, Time At);
  void fireTimers(Time Now, Actions &Out);
  void timerExpired(Request &R, Time Now, Actions &Out);
  void deadlineExpired(Request &R, Time Now, Actions &Out);
  void maintainConnections(Time Now, Actions &Out);
  void maintainObservations(Time Now, Actions &Out);
  void sendPings(Time Now, Actions &Out);
  void ping(group::MemberIndex Member, Time Now, Actions &Out);
  void runFailover(Time Now, Actions &Out);
  void startChangeIfNeeded(Time Now);
  void adoptRecord(Time Now, Actions &Out);
  void refreshRecord(Time Now, Actions &Out);

  std::string Database;
  EngineSettings Settings;
  group::GroupView View;
  ConnectionPool Pool;
  failover::FailureDetector Suspicion;
  failover::Promotion Promotion;
  /// Generates identifiers that are unique across all proxies.
  failover::AttemptGenerator NextUniqueId;
  session::TermHistory History;
  table::Table CurrentTable;
  std::vector<ranking::ProxyIdentity> Witnesses;
  unsigned Rank = 0;
  std::vector<MemberRuntime> MemberRuntimes;

  std::unordered_map<RequestId, std::unique_ptr<Request>> Requests;
  admission::AdmissionQueue Reads;
  admission::AdmissionQueue Writes;
  admission::RetryBudget Retries;
  std::map<std::string, routing::ShareCounter, std::less<>> Shares;
  std::unordered_map<std::string, std::uint32_t> CallerConnections;
  std::set<RequestId> ReplicaWaiters;
  std::set<std::pair<LogIndex, RequestId>> Confirming;
  std::set<std::pair<Time, RequestId>> Timers;
  std::size_t UnconfirmedWrites = 0;
  /// Highest active term to which requests have been moved.
  Term AdoptedTerm = 0;
  /// Term that the primary refused; 0 if none. Requests to the primary wait for
  /// a newer term, or until a status or a timeout clears this.
  Term RefusedTerm = 0;
  Time RefusedAt;
  /// Time at which the last round of pings for term confirmation was sent.
  std::optional<Time> ConfirmationRoundSentAt;
  std::uint64_t ConfirmationRoundFirstPing = 1;
  bool ConfirmationRoundAnswered = false;
  Time NextMaintenanceAt;
  ConnectionId NextConnection;
  std::uint64_t NextPingSequence = 0;
  /// Highest term that any session has observed.
  Term NewestSessionTerm = 0;
  Time NextRecordRefreshAt;
  std::mt19937_64 Random;
  EngineCounters Counters;
};

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_GROUPENGINE_H
