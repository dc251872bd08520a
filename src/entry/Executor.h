#ifndef BORAGERIDGE_ENTRY_EXECUTOR_H
#define BORAGERIDGE_ENTRY_EXECUTOR_H

#include "borageridge/Types.h"
#include "catalog/Catalog.h"
#include "entry/EntryMetrics.h"
#include "entry/LogBudget.h"
#include "entry/Outcome.h"
#include "entry/Session.h"
#include "pool/ServicePool.h"
#include "runtime/Async.h"
#include "statement/Statement.h"
#include "telemetry/Log.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageridge::entry {

using Pools =
    std::map<std::string, std::unique_ptr<pool::ServicePool>, std::less<>>;

/// Runs the statements of callers.
class Executor {
public:
  Executor(runtime::asio::io_context &Io, Pools &ByService, telemetry::Log &Log,
           EntryMetrics &Metrics);

  void setCatalog(catalog::Catalog Newer) { Config = std::move(Newer); }
  const catalog::Catalog &catalog() const { return Config; }
  const catalog::Route *route(std::string_view Database) const;

  /// Answers one statement. A session runs one statement at a time.
  runtime::Task<statement::Reply> execute(Session &S, statement::Statement St,
                                          Time Arrival);
  /// Rolls an open transaction back: the caller left or was idle too long.
  void abandon(Session &S);
  /// As abandon; the caller is told with its next statement.
  void failTransaction(Session &S);
  /// Answers with an error of the daemon itself, and logs it.
  statement::Reply refuse(const statement::Statement &St,
                          std::string_view Database, statement::ErrorCode Code,
                          std::string_view Reason, std::string_view Member,
                          statement::TransactionState State, Time Arrival);

private:
  runtime::Task<statement::Reply>
  executeAlone(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<statement::Reply>
  executeInTransaction(Session &S, const statement::Statement &St,
                       Time Arrival);
  runtime::Task<statement::Reply>
  startAtEndpoint(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<statement::Reply>
  continueTransaction(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<statement::Reply>
  commit(Session &S, const statement::Statement &St, Time Arrival);
  runtime::Task<Attempt> beginAndRun(Session &S, pool::ServicePool &Pool,
                                     const statement::Statement &St,
                                     Duration Limit);
  runtime::Task<Attempt> runOn(const pool::Checkout &Over, Session &S,
                               pool::ServicePool &Pool,
                               const statement::Statement &St, Duration Limit,
                               std::optional<Position> After);
  runtime::Task<bool> synchronise(const pool::Checkout &Over, Session &S,
                                  pool::ServicePool &Pool,
                                  const statement::Statement &St,
                                  Duration Limit);
  statement::Reply begin(Session &S, const statement::Statement &St,
                         Time Arrival);
  statement::Reply changeSession(Session &S, const statement::Statement &St);
  statement::Reply rollback(Session &S);
  void reportRetry(const statement::Statement &St, std::string_view Member,
                   const Attempt &Result, unsigned Count);
  void endAtEndpoint(Session &S, bool KnownEnded);
  runtime::Task<void> rollBack(pool::ServicePool &Pool, pool::Checkout Over);
  pool::ServicePool *pool(std::string_view Service);
  static bool writes(const Session &S, const statement::Statement &St);

  runtime::asio::io_context &Io;
  Pools &ByService;
  telemetry::Log &Log;
  EntryMetrics &Metrics;
  LogBudget Lines;
  catalog::Catalog Config;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_EXECUTOR_H
