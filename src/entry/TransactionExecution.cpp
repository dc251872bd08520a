#include "entry/Executor.h"

#include "entry/Attempts.h"
#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using pool::Checkout;
using pool::PlacementRequest;
using pool::ServicePool;
using runtime::bootTime;
using runtime::Task;
using statement::ErrorCode;
using statement::localError;
using statement::localSuccess;
using statement::Reply;
using statement::Statement;
using statement::StatementKind;
using statement::TransactionState;

// Short, because a rollback takes hardly any work at the endpoint.
constexpr Duration RollbackTimeout = std::chrono::milliseconds(400);

} // namespace

Reply Executor::begin(Session &S, const Statement &St, Time Arrival) {
  if (S.Tx.CurrentPhase != Transaction::Phase::None)
    return localError(ErrorCode::Malformed, "already in a transaction",
                      S.Tx.state());
  const catalog::Route *Found = route(S.Database);
  if (Found == nullptr)
    return localError(ErrorCode::UnknownDatabase, "no such database",
                      TransactionState::None);
  S.Tx = Transaction();
  S.Tx.CurrentPhase = Transaction::Phase::Begun;
  S.Tx.ReadOnly = St.Kind == StatementKind::BeginReadOnly;
  S.Tx.Arrival = Arrival;
  S.Tx.Route = *Found;
  return localSuccess(TransactionState::Open);
}

Reply Executor::rollback(Session &S) {
  if (S.Tx.CurrentPhase == Transaction::Phase::None)
    return localError(ErrorCode::Malformed, "no transaction",
                      TransactionState::None);
  discardTransaction(S);
  return localSuccess(TransactionState::None);
}

void Executor::discardTransaction(Session &S) {
  if (S.Tx.CurrentPhase == Transaction::Phase::Open)
    releaseConnection(S, false);
  S.Tx = Transaction();
}

void Executor::abortWaitingTransaction(Session &S) {
  if (S.Tx.CurrentPhase == Transaction::Phase::None ||
      S.Tx.CurrentPhase == Transaction::Phase::Failed)
    return;
  failTransaction(S);
  S.Tx.AbortUntold = true;
}

void Executor::failTransaction(Session &S) {
  if (S.Tx.CurrentPhase == Transaction::Phase::Open)
    releaseConnection(S, false);
  S.Tx.CurrentPhase = Transaction::Phase::Failed;
}

// AlreadyEnded: the endpoint has ended the transaction, so the connection can
// be reused without a rollback.
void Executor::releaseConnection(Session &S, bool AlreadyEnded) {
  if (!S.Tx.Connection)
    return;
  Checkout Connection = std::move(*S.Tx.Connection);
  S.Tx.Connection.reset();
  ServicePool *Pool = findPool(S.Tx.Route.Service);
  if (Pool == nullptr)
    Connection.Link->close();
  else if (AlreadyEnded || !Connection.Link->isOpen())
    Pool->release(Connection);
  else
    runtime::spawn(Io, rollBack(*Pool, std::move(Connection)));
}

Task<void> Executor::rollBack(ServicePool &Pool, Checkout Connection) {
  const Attempt Result = co_await Pool.call(
      Connection, platform::encodeRollback(), RollbackTimeout);
  const bool Clean = Result && Result.value().succeeded() &&
                     Result.value().State == TransactionState::None;
  if (!Clean)
    Connection.Link->close();
  Pool.release(Connection);
}

Task<Reply> Executor::executeInTransaction(Session &S, const Statement &St,
                                           Time Arrival) {
  if (S.Tx.CurrentPhase == Transaction::Phase::Failed) {
    if (St.Kind != StatementKind::Commit &&
        std::exchange(S.Tx.AbortUntold, false))
      co_return refuse(St, S.Database, ErrorCode::Aborted,
                       "transaction was rolled back", "",
                       TransactionState::Failed, Arrival);
    if (St.Kind != StatementKind::Commit)
      co_return localError(ErrorCode::Malformed, "transaction failed",
                           TransactionState::Failed);
    S.Tx = Transaction();
    co_return refuse(St, S.Database, ErrorCode::Aborted,
                     "transaction was rolled back", "", TransactionState::None,
                     Arrival);
  }
  if (!isStatementNameKnown(S, St)) {
    failTransaction(S);
    co_return localError(ErrorCode::UnknownStatement, "no such name",
                         TransactionState::Failed);
  }
  if (S.Tx.CurrentPhase == Transaction::Phase::Begun)
    co_return co_await startTransaction(S, St, Arrival);
  if (St.Kind == StatementKind::Commit)
    co_return co_await commit(S, St, Arrival);
  co_return co_await continueTransaction(S, St, Arrival);
}

// Begins the transaction at an endpoint and runs its first statement there. The
// caller has not seen any result yet, so the transaction may be retried at
// another member.
Task<Reply> Executor::startTransaction(Session &S, const Statement &St,
                                       Time Arrival) {
  const catalog::Route Route = S.Tx.Route;
  ServicePool *Pool = findPool(Route.Service);
  const bool Commits = St.Kind == StatementKind::Commit;
  const auto Deadline = [&] { return deadlineOf(Route, Arrival); };
  if (!co_await isWithinLimit(S, Deadline())) {
    S.Tx.CurrentPhase =
        Commits ? Transaction::Phase::None : Transaction::Phase::Failed;
    co_return refuse(St, S.Database, ErrorCode::Busy,
                     "organisation is beyond its limit", "", S.Tx.state(),
                     Arrival);
  }
  PlacementRequest D = demandFor(S, Route, !S.Tx.ReadOnly, S.Tx.Arrival);
  Attempt Result = CallFailure::NotSent;
  std::string_view Reason = "service has no members";
  std::string Member;
  if (Pool != nullptr)
    Pool->noteStatement(bootTime());
  for (unsigned Count = 1; Pool != nullptr; ++Count) {
    if (std::optional<Reply> Refused = refuseWithoutAuthority(S, St, Arrival))
      co_return std::move(*Refused);
    Expected<Checkout, pool::AcquireFailure> Acquired = co_await Pool->acquire(
        D, S.Database, Route.Priority,
        latestDispatch(Route, Pool->latencyBound(), Arrival), Deadline(),
        S.Waiting);
    if (!Acquired) {
      Reason = name(Acquired.error());
      Result = CallFailure::NotSent;
      break;
    }
    S.Tx.Connection = std::move(Acquired).value();
    const Checkout Connection = *S.Tx.Connection;
    Member = Connection.Link->member();
    const Duration Limit = timeoutFor(Route, !Commits, D, Connection, *Pool,
                                      Deadline(), bootTime());
    Result = co_await beginAndRun(S, *Pool, St, Limit);
    const bool MayAcknowledge =
        !Connection.OnPrimary ||
        Pool->mayAcknowledge(Connection.Epoch, bootTime());
    const NextAction Step =
        actionAfterTransactionStatement(Result, MayAcknowledge, true);
    if (Step == NextAction::Answer && !Result.value().Error) {
      Reply Answer = std::move(Result).value();
      const bool Ended = Answer.State == TransactionState::None;
      S.Tx.CurrentPhase = Transaction::Phase::Open;
      S.Tx.Wrote = writes(S, St);
      if (Commits) {
        if (!Ended)
          Connection.Link->close();
        releaseConnection(S, true);
        S.Tx = Transaction();
        Answer.State = TransactionState::None;
      } else {
        Pool->releaseSlot(Connection);
      }
      co_return Answer;
    }
    Reason = describeFailure(Result);
    S.Tx.CurrentPhase = Transaction::Phase::Open;
    releaseConnection(S, false);
    S.Tx.CurrentPhase = Transaction::Phase::Begun;
    if (Step == NextAction::Answer)
      break;
    recordRetry(St, Member, Result, Count);
    if (!mayRepeat(Result, *Pool, Count, Deadline(), bootTime()))
      break;
    excludeMember(D, Member, Pool->members().size());
    if (Connection.OnPrimary || D.Excluded.empty())
      co_await runtime::sleepFor(RetryPause);
  }
  const bool IsFinal =
      Result && Result.value().Error &&
      actionAfterTransactionStatement(Result, true, true) == NextAction::Answer;
  const ErrorCode Code = IsFinal ? *Result.value().Error : refusalCode(Result);
  S.Tx.CurrentPhase =
      Commits ? Transaction::Phase::None : Transaction::Phase::Failed;
  co_return refuse(St, S.Database, Code, Reason, Member, S.Tx.state(), Arrival);
}

Task<Attempt> Executor::beginAndRun(Session &S, ServicePool &Pool,
                                    const Statement &St, Duration Limit) {
  const Checkout Connection = *S.Tx.Connection;
  const Time Start = bootTime();
  // Variables are set before the transaction begins, because a reset within it
  // could end it.
  if (!co_await synchroniseConnection(Connection, S, Pool, St, Limit)) {
    Connection.Link->close();
    co_return CallFailure::NotSent;
  }
  const Time Now = bootTime();
  if (Connection.OnPrimary && !Pool.mayAcknowledge(Connection.Epoch, Now))
    co_return CallFailure::NotSent;
  if (Limit <= Now - Start)
    co_return CallFailure::NotSent;
  Attempt Begun = co_await Pool.call(
      Connection,
      platform::encodeBegin(S.Tx.ReadOnly, Connection.RequiredPosition),
      Limit - (Now - Start));
  if (!Begun || Begun.value().Error)
    co_return Begun;
  if (Begun.value().State != TransactionState::Open) {
    Connection.Link->close();
    co_return CallFailure::NotSent;
  }
  co_return co_await runOnConnection(
      Connection, S, Pool, St, Limit - (bootTime() - Start), std::nullopt);
}

Task<Reply> Executor::continueTransaction(Session &S, const Statement &St,
                                          Time Arrival) {
  ServicePool *Pool = findPool(S.Tx.Route.Service);
  const Checkout Connection = *S.Tx.Connection;
  const Time Now = bootTime();
  if (Pool->isTooLate(S.Database, false, Now)) {
    failTransaction(S);
    co_return refuse(St, S.Database, ErrorCode::Aborted,
                     name(pool::AcquireFailure::Stopping),
                     Connection.Link->member(), TransactionState::Failed,
                     Arrival);
  }
  const Duration Limit = deadlineOf(S.Tx.Route, Arrival) - Now;
  const bool Writes = writes(S, St);
  // Set before the statement is sent, because it may run even if its answer is
  // lost.
  S.Tx.Wrote = S.Tx.Wrote || Writes;
  Pool->reacquireSlot(Connection);
  Attempt Result =
      co_await runOnConnection(Connection, S, *Pool, St, Limit, std::nullopt);
  const bool MayAcknowledge =
      !Connection.OnPrimary ||
      Pool->mayAcknowledge(Connection.Epoch, bootTime());
  const NextAction Step =
      actionAfterTransactionStatement(Result, MayAcknowledge, false);
  if (Step == NextAction::Answer && !Result.value().Error) {
    if (Result.value().State == TransactionState::Open) {
      if (!Writes)
        Metrics.addRead(Connection.OnPrimary);
      Pool->releaseSlot(Connection);
      co_return std::move(Result).value();
    }
    // The transaction is no longer open at the endpoint.
    Connection.Link->close();
  }
  failTransaction(S);
  const ErrorCode Code =
      Result && Result.value().Error && Step == NextAction::Answer
          ? *Result.value().Error
          : refusalCode(Result);
  co_return refuse(St, S.Database, Code, describeFailure(Result),
                   Connection.Link->member(), TransactionState::Failed,
                   Arrival);
}

Task<Reply> Executor::commit(Session &S, const Statement &St, Time Arrival) {
  ServicePool *Pool = findPool(S.Tx.Route.Service);
  const Checkout Connection = *S.Tx.Connection;
  const bool Wrote = S.Tx.Wrote;
  std::string_view Obstacle;
  if (Wrote && Pool->isTooLate(S.Database, true, bootTime()))
    Obstacle = name(pool::AcquireFailure::Stopping);
  else if (Wrote && Pool->mayUsePrimary(bootTime()) &&
           !Pool->canConfirmLead(bootTime()))
    Obstacle = "primary cannot be confirmed";
  if (!Obstacle.empty()) {
    releaseConnection(S, false);
    S.Tx = Transaction();
    co_return refuse(St, S.Database, ErrorCode::Aborted, Obstacle,
                     Connection.Link->member(), TransactionState::None,
                     Arrival);
  }
  const Duration Limit = deadlineOf(S.Tx.Route, Arrival) - bootTime();
  Pool->reacquireSlot(Connection);
  Attempt Result =
      co_await runOnConnection(Connection, S, *Pool, St, Limit, std::nullopt);
  bool MayAcknowledge = !Connection.OnPrimary ||
                        Pool->mayAcknowledge(Connection.Epoch, bootTime());
  if (MayAcknowledge && needsConfirmation(Connection, *Pool, Result, Wrote))
    MayAcknowledge =
        co_await confirm(Connection, *Pool, deadlineOf(S.Tx.Route, Arrival));
  const NextAction Step = actionAfterCommit(Result, MayAcknowledge, Wrote);
  const bool Ended = Result && Result.value().State == TransactionState::None;
  const std::uint64_t LogEpoch = Pool->logEpoch();
  releaseConnection(S, Ended);
  S.Tx = Transaction();
  if (Step == NextAction::Answer) {
    Reply Answer = std::move(Result).value();
    if (Wrote) {
      S.LastCommit = Answer.At;
      S.LastCommitEpoch = LogEpoch;
      Pool->noteAcknowledgedWrite(bootTime());
    }
    Answer.State = TransactionState::None;
    co_return Answer;
  }
  const ErrorCode Code =
      Step == NextAction::InDoubt ? ErrorCode::InDoubt : ErrorCode::Aborted;
  co_return refuse(St, S.Database, Code, describeFailure(Result),
                   Connection.Link->member(), TransactionState::None, Arrival);
}

} // namespace borageridge::entry
