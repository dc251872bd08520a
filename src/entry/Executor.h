#ifndef BORAGERIDGE_ENTRY_EXECUTOR_H
#define BORAGERIDGE_ENTRY_EXECUTOR_H

#include "authority/Authority.h"
#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "entry/EntryMetrics.h"
#include "entry/LogRateLimiter.h"
#include "entry/Outcome.h"
#include "entry/Session.h"
#include "pool/ServicePool.h"
#include "runtime/Async.h"
#include "statement/Statement.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageridge::entry {

using Pools =
    std::map<std::string, std::unique_ptr<pool::ServicePool>, std::less<>>;

/// Returns whether an operation of the organisation may run; waits until the
/// given time at most.
using OperationGate =
    std::function<runtime::Task<bool>(std::string Organisation, Time Deadline)>;

/// Runs the statements of callers on the members of their services.
class Executor {
public:
  Executor(runtime::asio::io_context &Io, Pools &ByService, telemetry::Log &Log,
           EntryMetrics &Metrics);

  void setCatalog(catalog::Catalog Newer) {
    Config = std::move(Newer);
    ConfigRecency.config().apply(Config.Version);
  }
  const catalog::Catalog &catalog() const { return Config; }
  /// Sets what limits the operations of organisations.
  void setOperationGate(OperationGate Limits) { Gate = std::move(Limits); }
  const catalog::Route *route(std::string_view Database) const;

  /// Whether the configuration is recent enough to serve keys.
  authority::Recency &recency() { return ConfigRecency; }
  const authority::Recency &recency() const { return ConfigRecency; }
  /// Decides whether the caller with this key may use the database now.
  authority::Decision decide(std::string_view Database,
                             std::string_view Fingerprint, Time Now) const;
  /// Whether the key of the session has been revoked.
  bool isRevoked(const Session &S, Time Now) const;
  /// Records that a caller was refused at its start message.
  void noteRefusedCaller(const Session &S, authority::Verdict Why, Time Now);

  /// Runs one statement and returns its answer. A session runs one statement at
  /// a time.
  runtime::Task<statement::Reply> execute(Session &S, statement::Statement St,
                                          Time Arrival);
  /// Rolls back the open transaction, if any, and forgets it.
  void discardTransaction(Session &S);
  /// Rolls back the open transaction because a statement failed, which its
  /// answer tells the caller.
  void failTransaction(Session &S);
  /// Rolls back the open transaction while it waits for its caller, whose next
  /// statement is answered with that.
  void abortWaitingTransaction(Session &S);

  /// Limits the waits of all statements, also of those in work, whatever their
  /// route allows.
  void setAnswerLimits(const pool::AnswerLimits &Limits);
  Time latestAnswer() const { return StopLimits.LatestAnswer; }
  Time latestReply() const { return StopLimits.LatestReply; }
  /// Ends all waits of statements but for the replies of members. To be called
  /// from the latest answer on.
  void endWaits();
  /// Ends the waits for the replies of members. To be called from the latest
  /// reply on.
  void endCalls();
  /// Returns an error that the daemon itself reports, and logs it.
  statement::Reply refuse(const statement::Statement &St,
                          std::string_view Database, statement::ErrorCode Code,
                          std::string_view Reason, std::string_view Member,
                          statement::TransactionState State, Time Arrival);

private:
  runtime::Task<statement::Reply>
  executeOutsideTransaction(Session &S, const statement::Statement &St,
                            Time Arrival);
  runtime::Task<statement::Reply>
  executeInTransaction(Session &S, const statement::Statement &St,
                       Time Arrival);
  runtime::Task<statement::Reply>
  startTransaction(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<statement::Reply>
  continueTransaction(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<statement::Reply>
  commit(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<Attempt> beginAndRun(Session &S, pool::ServicePool &Pool,
                                     const statement::Statement &St,
                                     Duration Limit);
  runtime::Task<Attempt> runOnConnection(const pool::Checkout &Connection,
                                         Session &S, pool::ServicePool &Pool,
                                         const statement::Statement &St,
                                         Duration Limit,
                                         std::optional<Position> After);
  /// Returns the refusal of a statement whose caller may not use its database
  /// any more, after rolling back its transaction. Otherwise assigns the
  /// organisation to the session and returns none.
  std::optional<statement::Reply>
  refuseWithoutAuthority(Session &S, const statement::Statement &St,
                         Time Arrival);
  /// Whether the caller of the session may still use the connection.
  bool hasAuthority(const Session &S, const pool::Checkout &Connection,
                    Time Now) const;
  /// Whether the limit of the session's organisation allows an operation.
  runtime::Task<bool> isWithinLimit(const Session &S, Time Deadline);
  /// Time that one attempt waits for its answer.
  static Duration timeoutFor(const catalog::Route &Route, bool Repeatable,
                             const pool::PlacementRequest &D,
                             const pool::Checkout &Connection,
                             pool::ServicePool &Pool, Time Deadline, Time Now);
  /// Whether the statement may be sent again after this result.
  bool mayRepeat(const Attempt &Result, pool::ServicePool &Pool, unsigned Count,
                 Time Deadline, Time Now) const;
  /// Whether a successful write needs a confirmation that the primary led.
  static bool needsConfirmation(const pool::Checkout &Connection,
                                const pool::ServicePool &Pool,
                                const Attempt &Result, bool Wrote);
  /// Waits for that until Deadline or the end of all waits. Returns whether the
  /// answer may be passed on.
  static runtime::Task<bool> confirm(pool::Checkout Connection,
                                     pool::ServicePool &Pool, Time Deadline);
  runtime::Task<bool> synchroniseConnection(const pool::Checkout &Connection,
                                            Session &S, pool::ServicePool &Pool,
                                            const statement::Statement &St,
                                            Duration Limit);
  statement::Reply begin(Session &S, const statement::Statement &St,
                         Time Arrival);
  statement::Reply changeSession(Session &S, const statement::Statement &St);
  statement::Reply rollback(Session &S);
  void recordRetry(const statement::Statement &St, std::string_view Member,
                   const Attempt &Result, unsigned Count);
  void releaseConnection(Session &S, bool AlreadyEnded);
  runtime::Task<void> rollBack(pool::ServicePool &Pool,
                               pool::Checkout Connection);
  pool::ServicePool *findPool(std::string_view Service);
  /// Time by which a statement that arrived at Arrival is answered. A planned
  /// stop may shorten it while the statement is in work.
  Time deadlineOf(const catalog::Route &Route, Time Arrival) const {
    return std::min(Arrival + Route.Timeout, StopLimits.LatestReply);
  }
  static bool writes(const Session &S, const statement::Statement &St);

  runtime::asio::io_context &Io;
  Pools &ByService;
  telemetry::Log &Log;
  EntryMetrics &Metrics;
  LogRateLimiter RequestLogLimiter;
  catalog::Catalog Config;
  authority::Recency ConfigRecency;
  OperationGate Gate;
  pool::AnswerLimits StopLimits;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EXECUTOR_H
