#ifndef BORAGERIDGE_DISPATCH_GROUPENGINE_H
#define BORAGERIDGE_DISPATCH_GROUPENGINE_H

#include "admission/AdmissionQueue.h"
#include "admission/RetryBudget.h"
#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "dispatch/Actions.h"
#include "dispatch/ConnectionPool.h"
#include "dispatch/Request.h"
#include "failover/Promotion.h"
#include "failover/FailureDetector.h"
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
  /// An endpoint that has not replied in this time is treated as silent on
  /// the connection.
  Duration ReadTryTimeout = std::chrono::seconds(1);
  Duration WriteTryTimeout = std::chrono::seconds(2);
  /// Writes that wait for confirmation; above this, writes stay queued.
  std::size_t MaxUnconfirmedWrites = 1024;
  /// First connection id; the ids of all engines of a process are disjoint.
  ConnectionId FirstConnection = 1;
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

/// Serves the requests of one proxy to one database group.
///
/// Sans-I/O and not thread-safe: each event takes the present time and appends
/// the actions that the caller has to carry out, in order. tick() is called at
/// least every few milliseconds.
class GroupEngine {
public:
  GroupEngine(std::string Database, EngineSettings Settings,
              failover::AttemptGenerator NextAttempt, Time Now);

  /// A table came into force.
  void configure(const table::Table &InForce, Time Now, Actions &Out);
  /// A record was read from the store or passed on by a peer.
  void recordKnown(const failover::KnownRecord &Known, Time Now, Actions &Out);

  void execute(Submission From, caller::ExecuteRequest Message, Time Now,
               Actions &Out);
  void lookUp(Submission From, const caller::LookUpRequest &Message, Time Now,
              Actions &Out);
  void beginTransaction(Submission From, const caller::TransactBegin &Message,
                        Time Now, Actions &Out);
  /// A step after the begin of a transaction was answered.
  void continueTransaction(RequestId Id, const caller::TransactRequest &Step,
                           Time Now, Actions &Out);
  /// The caller of a request is gone. The last answer still follows, at the
  /// latest when the endpoint has replied.
  void abandon(RequestId Id, Time Now, Actions &Out);

  void connectionReplied(ConnectionId Id,
                         const endpoint::ConnectionReply &Reply, Time Now,
                         Actions &Out);
  void connectionFailed(ConnectionId Id, const Failure &Why, Time Now,
                        Actions &Out);
  void statusReceived(group::MemberIndex Member,
                      const endpoint::MemberStatus &Status, Time Now,
                      Actions &Out);
  void observationFailed(group::MemberIndex Member, const Failure &Why,
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
  /// Alive: the proxies that share the work. Witnesses: those whose evidence
  /// is needed before a member is declared failed.
  void proxiesChanged(std::vector<ranking::ProxyIdentity> Alive,
                      std::vector<ranking::ProxyIdentity> Witnesses);
  /// Members that the instance list marks as leaving.
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
    Time ObserveAgainAt;
    /// Last status, or the opening of the observation.
    Time LastHeard;
    Time NextPing;
    std::uint64_t LastPing = 0;
    std::map<RequestType, Duration> Latency;
  };

  // New requests (GroupEngine.cpp).
  std::unique_ptr<Request> makeRequest(Submission From, RequestType Type,
                                       std::string_view Key,
                                       std::string_view Class) const;
  void admitKeyed(std::unique_ptr<Request> New, Time Now, Actions &Out);

  // Admission and routing (Admission.cpp).
  void admit(std::unique_ptr<Request> New, std::uint64_t Bytes, Time Now,
             Actions &Out);
  bool enqueue(Request &R, std::uint64_t Bytes, std::uint32_t MaxInFlight,
               Time Now, Actions &Out);
  void pump(Time Now, Actions &Out);
  void pumpWrites(Time Now, Actions &Out);
  void pumpReads(Time Now, Actions &Out);
  void pumpParked(Time Now, Actions &Out);
  bool mayWrite(Time Now) const;
  bool hasConnectionLeft(const Request &R) const;
  bool placeRead(Request &R, Time Now, Actions &Out);
  void startRead(Request &R, group::MemberIndex Member, ConnectionId Id,
                 Time Now, Actions &Out);
  void startWrite(Request &R, ConnectionId Id, Time Now, Actions &Out);
  void send(Request &R, endpoint::ConnectionRequest Message, Duration Timeout,
            Time Now, Actions &Out);
  void requeue(Request &R, Time Now, Actions &Out);
  void retryLater(Request &R, Time Now, Actions &Out);
  std::vector<routing::MemberLoad> loads(Time Now) const;

  // Replies and confirmation (Replies.cpp).
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
  void abandonReplacedPrimary(Time Now, Actions &Out);
  void restartInNewTerm(Request &R, Time Now, Actions &Out);
  void requestTermConfirmation(Time Now, Actions &Out);
  void connectionLost(ConnectionId Id, Time Now, Actions &Out);

  // Answers (Answers.cpp).
  void answer(Request &R, Time Now, Actions &Out);
  void refuse(Request &R, caller::RefusalReason Reason, std::string Detail,
              Time Now, Actions &Out);
  void finish(Request &R, ReplyMessage Reply, Actions &Out);
  void forget(Request &R);

  // Transactions (Transactions.cpp).
  void transactionReplied(Request &R, const endpoint::ConnectionReply &Reply,
                          Time Now, Actions &Out);
  void transactionLost(Request &R, Time Now, Actions &Out);

  // Timers and upkeep (Upkeep.cpp).
  void wakeAt(Request &R, Time At);
  void fireTimers(Time Now, Actions &Out);
  void requestDue(Request &R, Time Now, Actions &Out);
  void deadlinePassed(Request &R, Time Now, Actions &Out);
  void maintainConnections(Time Now, Actions &Out);
  void maintainObservations(Time Now, Actions &Out);
  void sendPings(Time Now, Actions &Out);
  void ping(group::MemberIndex Member, Time Now, Actions &Out);
  void runFailover(Time Now, Actions &Out);
  void considerChange(Time Now);
  void adoptRecord(Time Now, Actions &Out);
  void refreshRecord(Time Now, Actions &Out);

  std::string Database;
  EngineSettings Settings;
  group::GroupView View;
  ConnectionPool Pool;
  failover::FailureDetector Suspicion;
  failover::Promotion Promotion;
  /// Makes identifiers that are unique in the fleet.
  failover::AttemptGenerator UniqueId;
  session::TermHistory History;
  table::Table InForce;
  std::vector<ranking::ProxyIdentity> Witnesses;
  unsigned Rank = 0;
  std::vector<MemberRuntime> MemberRuntimes;

  std::unordered_map<RequestId, std::unique_ptr<Request>> Requests;
  admission::AdmissionQueue Reads;
  admission::AdmissionQueue Writes;
  admission::RetryBudget Retries;
  std::map<std::string, routing::ShareCounter, std::less<>> Shares;
  std::unordered_map<std::string, std::uint32_t> CallerConnections;
  std::set<RequestId> Parked;
  std::set<std::pair<LogIndex, RequestId>> Confirming;
  std::set<std::pair<Time, RequestId>> Timers;
  std::size_t UnconfirmedWrites = 0;
  /// Highest active term that requests were brought up to.
  Term AdoptedActive = 0;
  /// The primary refused this term; writes wait for news about it.
  Term RefusedTerm = 0;
  Time RefusedAt;
  /// A round of pings for term confirmation was sent at this time.
  std::optional<Time> RoundSentAt;
  std::uint64_t RoundFirstPing = 1;
  bool RoundAnswered = false;
  Time NextMaintenance;
  ConnectionId NextConnection;
  std::uint64_t NextPingSequence = 0;
  /// Highest term that a session has seen.
  Term WantedTerm = 0;
  Time NextRefresh;
  std::mt19937_64 Random;
  EngineCounters Counters;
};

} // namespace borageridge::dispatch

#endif // BORAGERIDGE_DISPATCH_GROUPENGINE_H
