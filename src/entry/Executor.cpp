#include "entry/Executor.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::entry {
namespace {

using pool::Checkout;
using pool::Demand;
using pool::Loss;
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

// Attempts at one statement; each further one needs a member that has not
// failed it yet, or a pause.
constexpr unsigned MaxAttempts = 6;
// Pause before a member that shed the statement is asked again.
constexpr Duration RetryPause = std::chrono::milliseconds(15);
// An answer that does not come within this part of the latency objective is
// taken for lost if the statement can be repeated.
constexpr int LostAnswerDivisor = 2;
// However slow the members are, a statement waits for this part of its latency
// objective.
constexpr int MinWaitDivisor = 3;
constexpr Duration MinAttempt = std::chrono::milliseconds(60);
// Rolling back takes no work at the endpoint.
constexpr Duration RollbackLimit = std::chrono::milliseconds(400);

Duration attemptLimit(const catalog::Route &Route, bool Repeatable,
                      Duration UsualLatency, Time Deadline, Time Now) {
  const Duration Left = Deadline - Now;
  if (!Repeatable)
    return Left;
  return std::min(Left, std::max({Route.TargetLatency / LostAnswerDivisor,
                                  MinAttempt, UsualLatency}));
}

// A statement that is not placed by then cannot be answered within the latency
// objective any more.
Time latestPlacing(const catalog::Route &Route, Duration UsualLatency,
                   Time Arrival) {
  return Arrival + std::max(Route.TargetLatency - UsualLatency,
                            Route.TargetLatency / MinWaitDivisor);
}

std::string_view describe(const Attempt &Result) {
  if (!Result)
    return Result.error() == Loss::NotSent ? "connection closed"
                                           : "answer lost";
  if (Result.value().Error)
    return statement::name(*Result.value().Error);
  return "primary given up";
}

ErrorCode refusalCode(const Attempt &Result) {
  if (Result && Result.value().Error && saysNotRun(*Result.value().Error) &&
      *Result.value().Error != ErrorCode::UnknownStatement)
    return *Result.value().Error;
  return ErrorCode::Aborted;
}

} // namespace

Executor::Executor(runtime::asio::io_context &Context, Pools &Services,
                   telemetry::Log &Output, EntryMetrics &Counters)
    : Io(Context), ByService(Services), Log(Output), Metrics(Counters) {}

const catalog::Route *Executor::route(std::string_view Database) const {
  const auto Found = Config.RoutesByDatabase.find(Database);
  return Found == Config.RoutesByDatabase.end() ? nullptr : &Found->second;
}

ServicePool *Executor::pool(std::string_view Service) {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : Found->second.get();
}

bool Executor::writes(const Session &S, const Statement &St) {
  if (St.Kind == StatementKind::Write)
    return true;
  if (St.Kind != StatementKind::Execute)
    return false;
  const auto Prepared = S.State.Prepared.find(St.Name);
  return Prepared != S.State.Prepared.end() && Prepared->second.Writes;
}

Reply Executor::refuse(const Statement &St, std::string_view Database,
                       ErrorCode Code, std::string_view Reason,
                       std::string_view Member, TransactionState State,
                       Time Arrival) {
  const Time Now = bootTime();
  if (Lines.take(Now)) {
    if (const std::uint64_t Left = Lines.takeSuppressed())
      Log.write(event::LinesSuppressed, Left);
    const catalog::Route *Found = route(Database);
    const std::string_view Service =
        Found ? std::string_view(Found->Service) : std::string_view();
    const ServicePool *Pool = pool(Service);
    Log.write(event::RequestRefused, St.Id, Database, Service,
              statement::name(Code), Reason, Member,
              runtime::toMilliseconds(Now - Arrival), Config.Version,
              Pool ? Pool->record().Epoch : 0);
  }
  return localError(Code, Reason, State);
}

void Executor::reportRetry(const Statement &St, std::string_view Member,
                           const Attempt &Result, unsigned Count) {
  Metrics.addRetry();
  if (Lines.take(bootTime()))
    Log.write(event::RequestRetried, St.Id, Member, describe(Result), Count);
}

Task<Reply> Executor::execute(Session &S, Statement St, Time Arrival) {
  switch (St.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    co_return begin(S, St, Arrival);
  case StatementKind::Rollback:
    co_return rollback(S);
  case StatementKind::SetVariable:
  case StatementKind::Prepare:
  case StatementKind::Deallocate:
    co_return changeSession(S, St);
  case StatementKind::Malformed:
    co_return localError(ErrorCode::Malformed, "unknown statement",
                         S.Tx.state());
  default:
    break;
  }
  Reply Answer;
  if (S.Tx.At == Transaction::Phase::None)
    Answer = co_await executeAlone(S, St, Arrival);
  else
    Answer = co_await executeInTransaction(S, St, Arrival);
  Metrics.addStatement(S.Database, bootTime() - Arrival, Answer.Error);
  co_return Answer;
}

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

Reply Executor::changeSession(Session &S, const Statement &St) {
  if (S.Tx.At == Transaction::Phase::Failed)
    return localError(ErrorCode::Malformed, "transaction failed",
                      TransactionState::Failed);
  if (St.Kind == StatementKind::SetVariable)
    S.State.Values[St.Name] = St.Arguments;
  else if (St.Kind == StatementKind::Prepare)
    S.State.Prepared[St.Name] = {St.Arguments, St.Writes};
  else if (S.State.Prepared.erase(St.Name) == 0)
    return localError(ErrorCode::UnknownStatement, "no such name",
                      S.Tx.state());
  return localSuccess(S.Tx.state());
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

// Puts the session's variables and the prepared statement on the connection.
Task<bool> Executor::synchronise(const Checkout &Over, Session &S,
                                 ServicePool &Pool, const Statement &St,
                                 Duration Limit) {
  statement::ConnectionState &Held = Over.Link->state();
  const statement::SyncPlan Plan = planSync(Held, S.State.Values);
  if (Plan.Reset) {
    const Attempt Done =
        co_await Pool.call(Over, platform::encodeReset(), Limit);
    if (!Done || !Done.value().succeeded())
      co_return false;
    Held = {};
  }
  for (const auto &[Name, Value] : Plan.Set) {
    const Attempt Done =
        co_await Pool.call(Over, platform::encodeSet(Name, Value), Limit);
    if (!Done || !Done.value().succeeded())
      co_return false;
    Held.Values[Name] = Value;
  }
  if (St.Kind != StatementKind::Execute)
    co_return true;
  const std::string &Definition =
      S.State.Prepared.find(St.Name)->second.Definition;
  if (Held.Prepared.contains(Definition))
    co_return true;
  const Attempt Done = co_await Pool.call(
      Over,
      platform::encodePrepare(statement::sharedName(Definition), Definition),
      Limit);
  if (!Done || !Done.value().succeeded())
    co_return false;
  Held.Prepared.insert(Definition);
  co_return true;
}

Task<Attempt> Executor::runOn(const Checkout &Over, Session &S,
                              ServicePool &Pool, const Statement &St,
                              Duration Limit, std::optional<Position> After) {
  const Time Start = bootTime();
  if (!co_await synchronise(Over, S, Pool, St, Limit)) {
    Over.Link->close();
    co_return Loss::NotSent;
  }
  const Time Now = bootTime();
  const Duration Left = Limit - (Now - Start);
  const bool Entitled = !Over.OnPrimary || Pool.mayAcknowledge(Over.Epoch, Now);
  if (!Entitled || Left <= Duration::zero())
    co_return Loss::NotSent;
  std::string Bytes;
  if (St.Kind == StatementKind::Execute) {
    const std::string &Definition =
        S.State.Prepared.find(St.Name)->second.Definition;
    Bytes =
        platform::encodeExecute(St, statement::sharedName(Definition), After);
  } else {
    Bytes = platform::encodeStatement(St, After);
  }
  Attempt Result = co_await Pool.call(Over, std::move(Bytes), Left);
  if (Result && Result.value().Error == ErrorCode::UnknownStatement)
    Over.Link->close();
  co_return Result;
}

namespace {

Demand demandFor(const Session &S, const catalog::Route &Route, bool Writes,
                 Time Arrival) {
  Demand D;
  D.NeedsPrimary = Writes || Route.Reads == catalog::Consistency::Primary;
  D.Reads = Route.Reads;
  D.MaxStaleness = Route.MaxStaleness;
  D.Arrival = Arrival;
  D.OwnCommit = S.OwnCommit;
  D.OwnCommitEpoch = S.OwnCommitEpoch;
  return D;
}

bool isKnown(const Session &S, const Statement &St) {
  return St.Kind != StatementKind::Execute ||
         S.State.Prepared.contains(St.Name);
}

// The member is left out of further attempts; once every member has failed,
// all may be asked again after a pause.
void exclude(Demand &D, const std::string &Member, std::size_t Members) {
  D.Excluded.push_back(Member);
  if (D.Excluded.size() >= Members)
    D.Excluded.clear();
}

} // namespace

Task<Reply> Executor::executeAlone(Session &S, const Statement &St,
                                   Time Arrival) {
  const auto None = TransactionState::None;
  const catalog::Route *Found = route(S.Database);
  if (Found == nullptr)
    co_return refuse(St, S.Database, ErrorCode::UnknownDatabase,
                     "no such database", "", None, Arrival);
  if (St.Kind == StatementKind::Commit)
    co_return localError(ErrorCode::Malformed, "no transaction", None);
  if (!isKnown(S, St))
    co_return localError(ErrorCode::UnknownStatement, "no such name", None);
  const catalog::Route Route = *Found;
  ServicePool *Pool = pool(Route.Service);
  if (Pool == nullptr)
    co_return refuse(St, S.Database, ErrorCode::Busy, "service has no members",
                     "", None, Arrival);
  const bool Writes = writes(S, St);
  const Time Deadline = Arrival + Route.Timeout;
  Demand D = demandFor(S, Route, Writes, Arrival);
  for (unsigned Count = 1;; ++Count) {
    Expected<Checkout, pool::Refusal> Place = co_await Pool->acquire(
        D, S.Database, Route.Priority,
        latestPlacing(Route, Pool->usualLatency(), Arrival), Deadline);
    if (!Place)
      co_return refuse(St, S.Database, ErrorCode::Busy, name(Place.error()), "",
                       None, Arrival);
    const Checkout Over = std::move(Place).value();
    const Duration Limit = attemptLimit(Route, !Writes, Pool->usualLatency(),
                                        Deadline, bootTime());
    const Time SentAt = bootTime();
    Attempt Result = co_await runOn(Over, S, *Pool, St, Limit, Over.After);
    if (Over.SlotFree && Result && Result.value().succeeded())
      Pool->addWork(S.Database, bootTime() - SentAt);
    const bool Entitled =
        !Over.OnPrimary || Pool->mayAcknowledge(Over.Epoch, bootTime());
    if (Result && Result.value().State != None)
      Over.Link->close();
    const std::uint64_t LogEpoch = Pool->logEpoch();
    Pool->release(Over);
    const Next Step =
        Writes ? judgeWrite(Result, Entitled) : judgeRead(Result, Entitled);
    if (Step == Next::Answer) {
      Reply Answer = std::move(Result).value();
      if (Writes && Answer.succeeded()) {
        S.OwnCommit = Answer.At;
        S.OwnCommitEpoch = LogEpoch;
      }
      if (!Writes)
        Metrics.addRead(Over.OnPrimary);
      Answer.State = None;
      co_return Answer;
    }
    if (Step == Next::InDoubt)
      co_return refuse(St, S.Database, ErrorCode::InDoubt, describe(Result),
                       Over.Link->member(), None, Arrival);
    reportRetry(St, Over.Link->member(), Result, Count);
    if (Count >= MaxAttempts || bootTime() >= Deadline)
      co_return refuse(St, S.Database, refusalCode(Result), describe(Result),
                       Over.Link->member(), None, Arrival);
    if (!Over.OnPrimary)
      exclude(D, Over.Link->member(), Pool->members().size());
    if (Over.OnPrimary || D.Excluded.empty())
      co_await runtime::sleepFor(RetryPause);
  }
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
  Demand D = demandFor(S, Route, !S.Tx.ReadOnly, S.Tx.Arrival);
  Attempt Result = Loss::NotSent;
  std::string_view Reason = "service has no members";
  std::string Member;
  for (unsigned Count = 1; Pool != nullptr && Count <= MaxAttempts; ++Count) {
    Expected<Checkout, pool::Refusal> Place = co_await Pool->acquire(
        D, S.Database, Route.Priority,
        latestPlacing(Route, Pool->usualLatency(), Arrival), Deadline);
    if (!Place) {
      Reason = name(Place.error());
      Result = Loss::NotSent;
      break;
    }
    S.Tx.On = std::move(Place).value();
    const Checkout Over = *S.Tx.On;
    Member = Over.Link->member();
    const Duration Limit = attemptLimit(Route, !Commits, Pool->usualLatency(),
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
        Pool->rest(Over);
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
    co_return Loss::NotSent;
  }
  const Time Now = bootTime();
  if (Over.OnPrimary && !Pool.mayAcknowledge(Over.Epoch, Now))
    co_return Loss::NotSent;
  if (Limit <= Now - Start)
    co_return Loss::NotSent;
  Attempt Begun =
      co_await Pool.call(Over, platform::encodeBegin(S.Tx.ReadOnly, Over.After),
                         Limit - (Now - Start));
  if (!Begun || Begun.value().Error)
    co_return Begun;
  if (Begun.value().State != TransactionState::Open) {
    Over.Link->close();
    co_return Loss::NotSent;
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
  Pool->resume(Over);
  Attempt Result = co_await runOn(Over, S, *Pool, St, Limit, std::nullopt);
  const bool Entitled =
      !Over.OnPrimary || Pool->mayAcknowledge(Over.Epoch, bootTime());
  const Next Step = judgeInTransaction(Result, Entitled, false);
  if (Step == Next::Answer && !Result.value().Error) {
    if (Result.value().State == TransactionState::Open) {
      if (!Writes)
        Metrics.addRead(Over.OnPrimary);
      Pool->rest(Over);
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
  Pool->resume(Over);
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
