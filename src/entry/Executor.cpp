#include "entry/Executor.h"

#include "entry/Attempts.h"
#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

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

} // namespace

Executor::Executor(runtime::asio::io_context &Context, Pools &Services,
                   telemetry::Log &Output, EntryMetrics &Counters)
    : Io(Context), ByService(Services), Log(Output), Metrics(Counters) {}

const catalog::Route *Executor::route(std::string_view Database) const {
  const auto Found = Config.RoutesByDatabase.find(Database);
  return Found == Config.RoutesByDatabase.end() ? nullptr : &Found->second;
}

authority::Decision Executor::decide(std::string_view Database,
                                     std::string_view Fingerprint,
                                     Time Now) const {
  return authority::decide(Config, route(Database), Fingerprint,
                           ConfigRecency.isRecent(Now));
}

bool Executor::isRevoked(const Session &S, Time Now) const {
  return Config.HasOrganisations &&
         decide(S.Database, S.Fingerprint, Now).Result ==
             authority::Verdict::UnknownKey;
}

void Executor::noteRefusedCaller(const Session &S, authority::Verdict Why,
                                 Time Now) {
  Metrics.addRefusedCaller(authority::name(Why));
  if (!RequestLogLimiter.tryAcquire(Now))
    return;
  const std::optional<Duration> Age = ConfigRecency.config().age(Now);
  Log.write(event::CallerRefused, S.Database, S.Fingerprint,
            authority::name(Why), Config.Version,
            Age ? runtime::toMilliseconds(*Age) : 0);
}

// A transaction keeps the route with which it began, and is ended if its caller
// has lost its key or now belongs to another organisation.
std::optional<Reply> Executor::refuseWithoutAuthority(Session &S,
                                                      const Statement &St,
                                                      Time Arrival) {
  if (!Config.HasOrganisations) {
    if (S.Tx.CurrentPhase == Transaction::Phase::None)
      S.Organisation.clear();
    return std::nullopt;
  }
  if (St.Kind == StatementKind::Rollback ||
      S.Tx.CurrentPhase == Transaction::Phase::Failed)
    return std::nullopt;
  const Time Now = bootTime();
  const bool InTransaction = S.Tx.CurrentPhase != Transaction::Phase::None;
  const authority::Decision Decided =
      authority::decide(Config, InTransaction ? &S.Tx.Route : route(S.Database),
                        S.Fingerprint, ConfigRecency.isRecent(Now));
  const bool Allowed = Decided.Result == authority::Verdict::Allowed ||
                       Decided.Result == authority::Verdict::UnknownDatabase;
  if (Allowed && (!InTransaction || Decided.Organisation == S.Organisation)) {
    S.Organisation = Decided.Organisation;
    return std::nullopt;
  }
  noteRefusedCaller(S, Decided.Result, Now);
  if (InTransaction)
    failTransaction(S);
  if (St.Kind == StatementKind::Commit)
    S.Tx = Transaction();
  ErrorCode Code = InTransaction ? ErrorCode::Aborted : ErrorCode::Busy;
  if (Decided.Result == authority::Verdict::UnknownKey)
    Code = ErrorCode::Unauthenticated;
  return refuse(St, S.Database, Code, authority::name(Decided.Result), "",
                S.Tx.state(), Arrival);
}

Task<bool> Executor::isWithinLimit(const Session &S, Time Deadline) {
  if (S.Organisation.empty() || !Gate)
    co_return true;
  co_return co_await Gate(S.Organisation, Deadline);
}

bool Executor::hasAuthority(const Session &S, const Checkout &Connection,
                            Time Now) const {
  if (!Config.HasOrganisations)
    return true;
  const catalog::Route *Route = S.Tx.CurrentPhase == Transaction::Phase::None
                                    ? route(S.Database)
                                    : &S.Tx.Route;
  const authority::Decision Decided = authority::decide(
      Config, Route, S.Fingerprint, ConfigRecency.isRecent(Now));
  return Decided.Result == authority::Verdict::Allowed &&
         Decided.Organisation == Connection.Link->organisation();
}

ServicePool *Executor::findPool(std::string_view Service) {
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : Found->second.get();
}

void Executor::setAnswerLimits(const pool::AnswerLimits &Limits) {
  StopLimits = Limits;
  for (const auto &[Name, Pool] : ByService)
    Pool->setAnswerLimits(Limits);
}

void Executor::endWaits() {
  for (const auto &[Name, Pool] : ByService)
    Pool->endWaits();
}

void Executor::endCalls() {
  for (const auto &[Name, Pool] : ByService)
    Pool->endCalls();
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
  if (RequestLogLimiter.tryAcquire(Now)) {
    if (const std::uint64_t Suppressed = RequestLogLimiter.takeSuppressed())
      Log.write(event::LinesSuppressed, Suppressed);
    const catalog::Route *Found = route(Database);
    const std::string_view Service =
        Found ? std::string_view(Found->Service) : std::string_view();
    const ServicePool *Pool = findPool(Service);
    Log.write(event::RequestRefused, St.Id, Database, Service,
              statement::name(Code), Reason, Member,
              runtime::toMilliseconds(Now - Arrival), Config.Version,
              Pool ? Pool->record().Epoch : 0);
  }
  return localError(Code, Reason, State);
}

void Executor::recordRetry(const Statement &St, std::string_view Member,
                           const Attempt &Result, unsigned Count) {
  Metrics.addRetry();
  if (RequestLogLimiter.tryAcquire(bootTime()))
    Log.write(event::RequestRetried, St.Id, Member, describeFailure(Result),
              Count);
}

Task<Reply> Executor::execute(Session &S, Statement St, Time Arrival) {
  if (std::optional<Reply> Refused = refuseWithoutAuthority(S, St, Arrival))
    co_return std::move(*Refused);
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
  if (S.Tx.CurrentPhase == Transaction::Phase::None)
    Answer = co_await executeOutsideTransaction(S, St, Arrival);
  else
    Answer = co_await executeInTransaction(S, St, Arrival);
  Metrics.addStatement(S.Database, bootTime() - Arrival, Answer.Error);
  co_return Answer;
}

Reply Executor::changeSession(Session &S, const Statement &St) {
  if (S.Tx.CurrentPhase == Transaction::Phase::Failed)
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

// Brings the variables and the prepared statement of the session to the
// connection, which other sessions may have used before.
Task<bool> Executor::synchroniseConnection(const Checkout &Connection,
                                           Session &S, ServicePool &Pool,
                                           const Statement &St,
                                           Duration Limit) {
  statement::ConnectionState &Current = Connection.Link->state();
  const statement::SyncPlan Plan = planSync(Current, S.State.Values);
  if (Plan.Reset) {
    const Attempt Done =
        co_await Pool.call(Connection, platform::encodeReset(), Limit);
    if (!Done || !Done.value().succeeded())
      co_return false;
    Current = {};
  }
  for (const auto &[Name, Value] : Plan.Set) {
    const Attempt Done =
        co_await Pool.call(Connection, platform::encodeSet(Name, Value), Limit);
    if (!Done || !Done.value().succeeded())
      co_return false;
    Current.Values[Name] = Value;
  }
  if (St.Kind != StatementKind::Execute)
    co_return true;
  const std::string &Definition =
      S.State.Prepared.find(St.Name)->second.Definition;
  if (Current.Prepared.contains(Definition))
    co_return true;
  const Attempt Done = co_await Pool.call(
      Connection,
      platform::encodePrepare(statement::sharedName(Definition), Definition),
      Limit);
  if (!Done || !Done.value().succeeded())
    co_return false;
  Current.Prepared.insert(Definition);
  co_return true;
}

Task<Attempt> Executor::runOnConnection(const Checkout &Connection, Session &S,
                                        ServicePool &Pool, const Statement &St,
                                        Duration Limit,
                                        std::optional<Position> After) {
  const Time Start = bootTime();
  if (!co_await synchroniseConnection(Connection, S, Pool, St, Limit)) {
    Connection.Link->close();
    co_return CallFailure::NotSent;
  }
  const Time Now = bootTime();
  const Duration Left = Limit - (Now - Start);
  const bool MayAcknowledge =
      !Connection.OnPrimary || Pool.mayAcknowledge(Connection.Epoch, Now);
  if (!MayAcknowledge || Left <= Duration::zero() ||
      !hasAuthority(S, Connection, Now))
    co_return CallFailure::NotSent;
  std::string Bytes;
  if (St.Kind == StatementKind::Execute) {
    const std::string &Definition =
        S.State.Prepared.find(St.Name)->second.Definition;
    Bytes =
        platform::encodeExecute(St, statement::sharedName(Definition), After);
  } else {
    Bytes = platform::encodeStatement(St, After);
  }
  Attempt Result = co_await Pool.call(Connection, std::move(Bytes), Left);
  if (Result && Result.value().Error == ErrorCode::UnknownStatement)
    Connection.Link->close();
  co_return Result;
}

Duration Executor::timeoutFor(const catalog::Route &Route, bool Repeatable,
                              const PlacementRequest &D,
                              const Checkout &Connection, ServicePool &Pool,
                              Time Deadline, Time Now) {
  const std::string &Member = Connection.Link->member();
  Repetition Allowed = Repetition::None;
  if (Repeatable)
    Allowed = Pool.hasAlternative(D, Member, Now) ? Repetition::OtherMember
                                                  : Repetition::SameMember;
  return attemptTimeout(Route, Allowed, Pool.latencyBound(Member), Deadline,
                        Now);
}

bool Executor::mayRepeat(const Attempt &Result, ServicePool &Pool,
                         unsigned Count, Time Deadline, Time Now) const {
  if (Count >= MaxAttempts || Now >= std::min(Deadline, latestAnswer()))
    return false;
  const bool WasLost = !Result && Result.error() == CallFailure::MayHaveRun;
  return !WasLost || Pool.mayRepeat(Now);
}

bool Executor::needsConfirmation(const Checkout &Connection,
                                 const ServicePool &Pool, const Attempt &Result,
                                 bool Wrote) {
  return Wrote && Connection.OnPrimary && Result &&
         Result.value().succeeded() && Pool.hasContenders();
}

// The connection is still checked out meanwhile, so that the end of the use of
// the primary waits for it.
Task<bool> Executor::confirm(Checkout Connection, ServicePool &Pool,
                             Time Deadline) {
  co_return co_await Pool.confirmLead(Deadline - bootTime()) &&
      Pool.mayAcknowledge(Connection.Epoch, bootTime());
}

Task<Reply> Executor::executeOutsideTransaction(Session &S, const Statement &St,
                                                Time Arrival) {
  const auto None = TransactionState::None;
  const catalog::Route *Found = route(S.Database);
  if (Found == nullptr)
    co_return refuse(St, S.Database, ErrorCode::UnknownDatabase,
                     "no such database", "", None, Arrival);
  if (St.Kind == StatementKind::Commit)
    co_return localError(ErrorCode::Malformed, "no transaction", None);
  if (!isStatementNameKnown(S, St))
    co_return localError(ErrorCode::UnknownStatement, "no such name", None);
  const catalog::Route Route = *Found;
  ServicePool *Pool = findPool(Route.Service);
  if (Pool == nullptr)
    co_return refuse(St, S.Database, ErrorCode::Busy, "service has no members",
                     "", None, Arrival);
  const bool Writes = writes(S, St);
  const auto Deadline = [&] { return deadlineOf(Route, Arrival); };
  if (!co_await isWithinLimit(S, Deadline()))
    co_return refuse(St, S.Database, ErrorCode::Busy,
                     "organisation is beyond its limit", "", None, Arrival);
  PlacementRequest D = demandFor(S, Route, Writes, Arrival);
  D.CommitsWrite = Writes;
  Pool->noteStatement(bootTime());
  for (unsigned Count = 1;; ++Count) {
    const auto CannotConfirm = [&] {
      return Writes && Pool->mayUsePrimary(bootTime()) &&
             !Pool->canConfirmLead(bootTime());
    };
    if (CannotConfirm())
      co_return refuse(St, S.Database, ErrorCode::Busy,
                       "primary cannot be confirmed", "", None, Arrival);
    if (std::optional<Reply> Refused = refuseWithoutAuthority(S, St, Arrival))
      co_return std::move(*Refused);
    D.Organisation = S.Organisation;
    Expected<Checkout, pool::AcquireFailure> Acquired = co_await Pool->acquire(
        D, S.Database, Route.Priority,
        latestDispatch(Route, Pool->latencyBound(), Arrival), Deadline(),
        S.Waiting);
    if (!Acquired)
      co_return refuse(St, S.Database, ErrorCode::Busy, name(Acquired.error()),
                       "", None, Arrival);
    const Checkout Connection = std::move(Acquired).value();
    if (CannotConfirm()) {
      Pool->release(Connection);
      co_return refuse(St, S.Database, ErrorCode::Busy,
                       "primary cannot be confirmed", "", None, Arrival);
    }
    const Duration Limit = timeoutFor(Route, !Writes, D, Connection, *Pool,
                                      Deadline(), bootTime());
    const Time SentAt = bootTime();
    Attempt Result = co_await runOnConnection(Connection, S, *Pool, St, Limit,
                                              Connection.RequiredPosition);
    if (Connection.SlotFree && Result && Result.value().succeeded())
      Pool->recordServiceTime(S.Database, bootTime() - SentAt);
    bool MayAcknowledge = !Connection.OnPrimary ||
                          Pool->mayAcknowledge(Connection.Epoch, bootTime());
    if (MayAcknowledge && needsConfirmation(Connection, *Pool, Result, Writes))
      MayAcknowledge = co_await confirm(Connection, *Pool, Deadline());
    if (Result && Result.value().State != None)
      Connection.Link->close();
    const std::uint64_t LogEpoch = Pool->logEpoch();
    Pool->release(Connection);
    const NextAction Step = Writes ? actionAfterWrite(Result, MayAcknowledge)
                                   : actionAfterRead(Result, MayAcknowledge);
    if (Step == NextAction::Answer) {
      Reply Answer = std::move(Result).value();
      if (Writes && Answer.succeeded()) {
        S.LastCommit = Answer.At;
        S.LastCommitEpoch = LogEpoch;
        Pool->noteAcknowledgedWrite(bootTime());
      }
      if (!Writes)
        Metrics.addRead(Connection.OnPrimary);
      Answer.State = None;
      co_return Answer;
    }
    if (Step == NextAction::InDoubt)
      co_return refuse(St, S.Database, ErrorCode::InDoubt,
                       describeFailure(Result), Connection.Link->member(), None,
                       Arrival);
    recordRetry(St, Connection.Link->member(), Result, Count);
    if (!mayRepeat(Result, *Pool, Count, Deadline(), bootTime()))
      co_return refuse(St, S.Database, refusalCode(Result),
                       describeFailure(Result), Connection.Link->member(), None,
                       Arrival);
    excludeMember(D, Connection.Link->member(), Pool->members().size());
    if (Connection.OnPrimary || D.Excluded.empty())
      co_await runtime::sleepFor(RetryPause);
  }
}

} // namespace borageridge::entry
