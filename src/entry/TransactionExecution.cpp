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

// Rolling back takes no work at the endpoint.
constexpr Duration RollbackLimit = std::chrono::milliseconds(400);

} // namespace

Reply Executor::begin(Session &S, const Statement &St, Time Arrival) {
  if (S.Tx.At != Transaction::Phase::None)
    return localError(ErrorCode::Malformed, "already in a transaction",
                      S.Tx.state());
  const catalog::Route *Found = route(S.Database);
  if (Found == nullptr)
    return localError(ErrorCode::UnknownDatabase, "no such database",
                      TransactionState::None);
  S.Tx = Transaction();
  S.Tx.At = Transaction::Phase::Begun;
  S.Tx.ReadOnly = St.Kind == StatementKind::BeginReadOnly;
  S.Tx.Arrival = Arrival;
  S.Tx.Route = *Found;
  return localSuccess(TransactionState::Open);
}

Reply Executor::rollback(Session &S) {
  if (S.Tx.At == Transaction::Phase::None)
    return localError(ErrorCode::Malformed, "no transaction",
                      TransactionState::None);
  abandon(S);
  return localSuccess(TransactionState::None);
}

void Executor::abandon(Session &S) {
  if (S.Tx.At == Transaction::Phase::Open)
    endAtEndpoint(S, false);
  S.Tx = Transaction();
}

void Executor::failTransaction(Session &S) {
  if (S.Tx.At == Transaction::Phase::Open)
    endAtEndpoint(S, false);
  S.Tx.At = Transaction::Phase::Failed;
}

// KnownEnded: the endpoint itself ended the transaction, so the connection is
// clean.
void Executor::endAtEndpoint(Session &S, bool KnownEnded) {
  if (!S.Tx.On)
    return;
  Checkout Over = std::move(*S.Tx.On);
  S.Tx.On.reset();
  ServicePool *Pool = pool(S.Tx.Route.Service);
  if (Pool == nullptr)
    Over.Link->close();
  else if (KnownEnded || !Over.Link->isOpen())
    Pool->release(Over);
  else
    runtime::spawn(Io, rollBack(*Pool, std::move(Over)));
}

Task<void> Executor::rollBack(ServicePool &Pool, Checkout Over) {
  const Attempt Result =
      co_await Pool.call(Over, platform::encodeRollback(), RollbackLimit);
  const bool Clean = Result && Result.value().succeeded() &&
                     Result.value().State == TransactionState::None;
  if (!Clean)
    Over.Link->close();
  Pool.release(Over);
}

Task<Reply> Executor::executeInTransaction(Session &S, const Statement &St,
                                           Time Arrival) {
  if (S.Tx.At == Transaction::Phase::Failed) {
    if (St.Kind != StatementKind::Commit)
      co_return localError(ErrorCode::Malformed, "transaction failed",
                           TransactionState::Failed);
    S.Tx = Transaction();
    co_return refuse(St, S.Database, ErrorCode::Aborted,
                     "transaction was rolled back", "", TransactionState::None,
                     Arrival);
  }
  if (!isKnown(S, St)) {
    failTransaction(S);
    co_return localError(ErrorCode::UnknownStatement, "no such name",
                         TransactionState::Failed);
  }
  if (S.Tx.At == Transaction::Phase::Begun)
    co_return co_await startAtEndpoint(S, St, Arrival);
  if (St.Kind == StatementKind::Commit)
    co_return co_await commit(S, St, Arrival);
  co_return co_await continueTransaction(S, St, Arrival);
}

// Begins the transaction at an endpoint and runs its first statement there. The
// caller has seen nothing of it yet, so it may be started anew elsewhere.
Task<Reply> Executor::startAtEndpoint(Session &S, const Statement &St,
                                      Time Arrival) {
  const catalog::Route Route = S.Tx.Route;
  ServicePool *Pool = pool(Route.Service);
  const bool Commits = St.Kind == StatementKind::Commit;
  const Time Deadline = Arrival + Route.Timeout;
  PlacementRequest D = demandFor(S, Route, !S.Tx.ReadOnly, S.Tx.Arrival);
  Attempt Result = CallFailure::NotSent;
  std::string_view Reason = "service has no members";
  std::string Member;
  for (unsigned Count = 1; Pool != nullptr && Count <= MaxAttempts; ++Count) {
    Expected<Checkout, pool::AcquireFailure> Place = co_await Pool->acquire(
        D, S.Database, Route.Priority,
        latestPlacing(Route, Pool->latencyBound(), Arrival), Deadline);
    if (!Place) {
      Reason = name(Place.error());
      Result = CallFailure::NotSent;
      break;
    }
    S.Tx.On = std::move(Place).value();
    const Checkout Over = *S.Tx.On;
    Member = Over.Link->member();
    const Duration Limit = attemptLimit(Route, !Commits, Pool->latencyBound(),
                                        Deadline, bootTime());
    Result = co_await beginAndRun(S, *Pool, St, Limit);
    const bool Entitled =
        !Over.OnPrimary || Pool->mayAcknowledge(Over.Epoch, bootTime());
    const Next Step = judgeInTransaction(Result, Entitled, true);
    if (Step == Next::Answer && !Result.value().Error) {
      Reply Answer = std::move(Result).value();
      const bool Ended = Answer.State == TransactionState::None;
      S.Tx.At = Transaction::Phase::Open;
      S.Tx.Wrote = writes(S, St);
      if (Commits) {
        if (!Ended)
          Over.Link->close();
        endAtEndpoint(S, true);
        S.Tx = Transaction();
        Answer.State = TransactionState::None;
      } else {
        Pool->releaseSlot(Over);
      }
      co_return Answer;
    }
    Reason = describe(Result);
    S.Tx.At = Transaction::Phase::Open;
    endAtEndpoint(S, false);
    S.Tx.At = Transaction::Phase::Begun;
    if (Step == Next::Answer)
      break;
    reportRetry(St, Member, Result, Count);
    if (bootTime() >= Deadline)
      break;
    if (!Over.OnPrimary)
      exclude(D, Member, Pool->members().size());
    if (Over.OnPrimary || D.Excluded.empty())
      co_await runtime::sleepFor(RetryPause);
  }
  const bool Passed = Result && Result.value().Error &&
                      judgeInTransaction(Result, true, true) == Next::Answer;
  const ErrorCode Code = Passed ? *Result.value().Error : refusalCode(Result);
  S.Tx.At = Commits ? Transaction::Phase::None : Transaction::Phase::Failed;
  co_return refuse(St, S.Database, Code, Reason, Member, S.Tx.state(), Arrival);
}

Task<Attempt> Executor::beginAndRun(Session &S, ServicePool &Pool,
                                    const Statement &St, Duration Limit) {
  const Checkout Over = *S.Tx.On;
  const Time Start = bootTime();
  // Variables are set before the transaction begins: a reset inside it could
  // end it.
  if (!co_await synchronise(Over, S, Pool, St, Limit)) {
    Over.Link->close();
    co_return CallFailure::NotSent;
  }
  const Time Now = bootTime();
  if (Over.OnPrimary && !Pool.mayAcknowledge(Over.Epoch, Now))
    co_return CallFailure::NotSent;
  if (Limit <= Now - Start)
    co_return CallFailure::NotSent;
  Attempt Begun = co_await Pool.call(
      Over, platform::encodeBegin(S.Tx.ReadOnly, Over.RequiredPosition),
      Limit - (Now - Start));
  if (!Begun || Begun.value().Error)
    co_return Begun;
  if (Begun.value().State != TransactionState::Open) {
    Over.Link->close();
    co_return CallFailure::NotSent;
  }
  co_return co_await runOn(Over, S, Pool, St, Limit - (bootTime() - Start),
                           std::nullopt);
}

Task<Reply> Executor::continueTransaction(Session &S, const Statement &St,
                                          Time Arrival) {
  ServicePool *Pool = pool(S.Tx.Route.Service);
  const Checkout Over = *S.Tx.On;
  const Duration Limit = Arrival + S.Tx.Route.Timeout - bootTime();
  const bool Writes = writes(S, St);
  // Set before it is sent: what may have run counts as written.
  S.Tx.Wrote = S.Tx.Wrote || Writes;
  Pool->reacquireSlot(Over);
  Attempt Result = co_await runOn(Over, S, *Pool, St, Limit, std::nullopt);
  const bool Entitled =
      !Over.OnPrimary || Pool->mayAcknowledge(Over.Epoch, bootTime());
  const Next Step = judgeInTransaction(Result, Entitled, false);
  if (Step == Next::Answer && !Result.value().Error) {
    if (Result.value().State == TransactionState::Open) {
      if (!Writes)
        Metrics.addRead(Over.OnPrimary);
      Pool->releaseSlot(Over);
      co_return std::move(Result).value();
    }
    // The endpoint no longer holds the transaction.
    Over.Link->close();
  }
  failTransaction(S);
  const ErrorCode Code = Result && Result.value().Error && Step == Next::Answer
                             ? *Result.value().Error
                             : refusalCode(Result);
  co_return refuse(St, S.Database, Code, describe(Result), Over.Link->member(),
                   TransactionState::Failed, Arrival);
}

Task<Reply> Executor::commit(Session &S, const Statement &St, Time Arrival) {
  ServicePool *Pool = pool(S.Tx.Route.Service);
  const Checkout Over = *S.Tx.On;
  const bool Wrote = S.Tx.Wrote;
  const Duration Limit = Arrival + S.Tx.Route.Timeout - bootTime();
  Pool->reacquireSlot(Over);
  Attempt Result = co_await runOn(Over, S, *Pool, St, Limit, std::nullopt);
  const bool Entitled =
      !Over.OnPrimary || Pool->mayAcknowledge(Over.Epoch, bootTime());
  const Next Step = judgeCommit(Result, Entitled, Wrote);
  const bool Ended = Result && Result.value().State == TransactionState::None;
  const std::uint64_t LogEpoch = Pool->logEpoch();
  endAtEndpoint(S, Ended);
  S.Tx = Transaction();
  if (Step == Next::Answer) {
    Reply Answer = std::move(Result).value();
    if (Wrote) {
      S.OwnCommit = Answer.At;
      S.OwnCommitEpoch = LogEpoch;
    }
    Answer.State = TransactionState::None;
    co_return Answer;
  }
  const ErrorCode Code =
      Step == Next::InDoubt ? ErrorCode::InDoubt : ErrorCode::Aborted;
  co_return refuse(St, S.Database, Code, describe(Result), Over.Link->member(),
                   TransactionState::None, Arrival);
}

} // namespace borageridge::entry
