#include "dispatch/testing/FakeSessions.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

namespace {

using load::OperationKind;
using load::Result;
using std::chrono::milliseconds;

constexpr Duration RetryDelay = milliseconds(30);
constexpr std::uint64_t AttemptsBeforeLookUp = 2;
constexpr const char *Database = "ledger-1";
constexpr const char *Caller = "tester";

} // namespace

std::string sessionTable() {
  return R"(
[[group]]
database = "ledger-1"
max_proxies = 4
connections_per_member = 20
primary_write_reserve = 0.5
[[class]]
name = "aged"
kind = "read"
priority = 5
[[class]]
name = "strict"
kind = "read"
priority = 3
[[class]]
name = "job"
kind = "write"
priority = 0
[[read]]
database = "*"
class = "aged"
replica_share = 1.0
accepted_age_ms = 1000
[[read]]
database = "*"
class = "strict"
replica_share = 0.0
accepted_age_ms = 0
[[caller]]
name = "tester"
database = "*"
max_connections = 20
max_in_flight = 500
)";
}

FakeSessions::FakeSessions(GroupSimulation &WithSimulation, std::uint32_t Count)
    : Simulation(WithSimulation) {
  for (std::uint32_t I = 0; I < Count; ++I) {
    Session &S = Sessions.emplace_back();
    S.Id = I;
    Simulation.after(milliseconds(300) +
                         ThinkTime * Simulation.randomBelow(100) / 100,
                     [this, &S]() { next(S); });
  }
}

std::string FakeSessions::jobKey(const Session &S, std::uint64_t Number) const {
  return absl::StrCat("job-", S.Id, "-", Number);
}

std::string FakeSessions::registerKey(load::SessionId Id) const {
  return absl::StrCat("register-", Id);
}

void FakeSessions::next(Session &S) {
  if (Stopping)
    return;
  startOperation(S);
  attempt(S);
}

void FakeSessions::startOperation(Session &S) {
  S.Busy = true;
  S.Uncertain = false;
  S.Attempts = 0;
  S.Current = {};
  S.Current.Session = S.Id;
  S.Current.FirstSent = Simulation.now();
  const std::uint64_t Draw = Simulation.randomBelow(10);
  if (Draw < 3) {
    S.Current.Kind = OperationKind::RegisterWrite;
    S.Current.Value = ++S.NextValue;
  } else if (Draw < 5) {
    S.Current.Kind = OperationKind::JobInsert;
    S.Current.Value = ++S.NextJob;
  } else if (Draw < 6 && S.NextJob > 0) {
    S.Current.Kind = OperationKind::JobRead;
    S.Current.Value = 1 + Simulation.randomBelow(S.NextJob);
  } else {
    S.Current.Kind = OperationKind::RegisterRead;
    // Half of the reads choose their register at random among all sessions.
    S.Current.FirstKey = Simulation.randomChance(50)
                             ? S.Id
                             : static_cast<load::SessionId>(
                                   Simulation.randomBelow(Sessions.size()));
    S.Current.ExpectedValues = 1;
  }
  const bool IsRead = !load::isWrite(S.Current.Kind);
  S.Current.AcceptedAge =
      IsRead && Simulation.randomChance(70) ? AcceptedAge : Duration::zero();
  S.Key = absl::StrCat("request-", S.Id, "-", static_cast<int>(S.Current.Kind),
                       "-", S.Current.Value);
  S.Marker = absl::StrCat("marker-", S.Id, "-", History.size(), "-",
                          Simulation.randomBelow(1000000));
}

void FakeSessions::attempt(Session &S) {
  ++S.Attempts;
  S.Current.Sent = Simulation.now();
  const int Proxy = Simulation.randomLiveProxy();
  const bool IsWrite = load::isWrite(S.Current.Kind);
  if (S.Current.Kind == OperationKind::JobInsert && S.Current.Value % 3 == 0)
    return attemptTransaction(S, Proxy);
  caller::ExecuteRequest Message;
  Message.set_database(Database);
  Message.set_kind(IsWrite ? caller::STATEMENT_KIND_WRITE
                           : caller::STATEMENT_KIND_READ);
  std::string Text;
  switch (S.Current.Kind) {
  case OperationKind::RegisterWrite:
    Text = absl::StrCat("put ", registerKey(S.Id), " ", S.Current.Value);
    Message.set_idempotent(true);
    break;
  case OperationKind::JobInsert:
    Text = absl::StrCat("add ", jobKey(S, S.Current.Value));
    break;
  case OperationKind::RegisterRead:
    Text = absl::StrCat("get ", registerKey(S.Current.FirstKey), " ", S.Marker);
    break;
  case OperationKind::JobRead:
    Text = absl::StrCat("get ", jobKey(S, S.Current.Value), " ", S.Marker);
    break;
  }
  Message.add_statements()->set_text(Text);
  if (IsWrite)
    Message.set_request_id(S.Key);
  Message.set_request_class(IsWrite ? "job"
                            : S.Current.AcceptedAge == Duration::zero()
                                ? "strict"
                                : "aged");
  Simulation.execute(Proxy,
                     {Simulation.nextRequestId(), Caller, S.Positions,
                      Simulation.now() + Deadline},
                     std::move(Message), [this, &S](const SendAnswer *Answer) {
                       executed(S, Answer);
                     });
}

void FakeSessions::attemptTransaction(Session &S, int Proxy) {
  caller::TransactBegin Begin;
  Begin.set_database(Database);
  Begin.set_request_id(S.Key);
  Begin.set_request_class("job");
  S.OpenTransaction = Simulation.nextRequestId();
  S.TransactionProxy = Proxy;
  Simulation.begin(
      Proxy,
      {S.OpenTransaction, Caller, S.Positions, Simulation.now() + Deadline},
      Begin, [this, &S](const SendAnswer *Answer) { transacted(S, Answer); });
}

void FakeSessions::transacted(Session &S, const SendAnswer *Answer) {
  if (!Answer) {
    // Without a reply the outcome of a commit is unknown.
    S.Uncertain = true;
    return retryOrLookUp(S);
  }
  const auto &Reply = std::get<caller::TransactReply>(Answer->Reply);
  caller::TransactRequest Step;
  switch (Reply.step_case()) {
  case caller::TransactReply::kBegun:
    Step.mutable_statement()->set_text(
        absl::StrCat("add ", jobKey(S, S.Current.Value)));
    return Simulation.step(S.TransactionProxy, S.OpenTransaction, Step);
  case caller::TransactReply::kResult:
    Step.set_commit(true);
    return Simulation.step(S.TransactionProxy, S.OpenTransaction, Step);
  case caller::TransactReply::kEnd:
    S.Positions = Answer->Positions;
    return complete(S, Result::Acknowledged);
  default:
    return refused(S, Reply.refusal());
  }
}

void FakeSessions::executed(Session &S, const SendAnswer *Answer) {
  if (!Answer) {
    S.Uncertain = true;
    return retryOrLookUp(S);
  }
  const auto &Reply = std::get<caller::ExecuteReply>(Answer->Reply);
  if (Reply.has_refusal())
    return refused(S, Reply.refusal());
  S.Positions = Answer->Positions;
  S.Current.Replayed = Reply.replayed();
  S.Current.ServedTerm = Reply.served_by().term();
  if (!load::isWrite(S.Current.Kind))
    readResults(S, Reply);
  complete(S, Result::Acknowledged);
}

void FakeSessions::readResults(Session &S, const caller::ExecuteReply &Reply) {
  if (Reply.served_by().replica())
    ++ReplicaReads;
  if (Reply.results_size() != 1 || Reply.results(0).rows_size() != 1) {
    S.Current.Marker = load::MarkerCheck::Missing;
    return;
  }
  const caller::Row &Row = Reply.results(0).rows(0);
  if (Row.values(1).text() != S.Marker)
    S.Current.Marker = load::MarkerCheck::Foreign;
  const auto Value = static_cast<std::uint64_t>(Row.values(0).integer());
  if (S.Current.Kind == OperationKind::JobRead)
    S.Current.Count = Value;
  else
    S.Current.Values.push_back({S.Current.FirstKey, Value});
}

void FakeSessions::refused(Session &S, const caller::Refusal &Refusal) {
  const bool IsRead = !load::isWrite(S.Current.Kind);
  if (IsRead ||
      (Refusal.execution() == caller::EXECUTION_NOT_RUN &&
       (!S.Uncertain || Refusal.reason() == caller::REFUSAL_REASON_SETTLED)))
    return complete(S, Result::NotRun);
  if (Refusal.execution() == caller::EXECUTION_UNKNOWN) {
    S.Uncertain = true;
    ++UnknownAnswers;
  }
  retryOrLookUp(S);
}

// Half of the uncertain requests are retried first; the others, and those that
// remain uncertain, are settled by a look-up.
void FakeSessions::retryOrLookUp(Session &S) {
  Simulation.after(RetryDelay, [this, &S]() {
    if (!load::isWrite(S.Current.Kind) ||
        (S.Attempts < AttemptsBeforeLookUp && Simulation.randomChance(50)))
      attempt(S);
    else
      lookUp(S);
  });
}

void FakeSessions::lookUp(Session &S) {
  caller::LookUpRequest Message;
  Message.set_database(Database);
  Message.set_request_id(S.Key);
  Simulation.lookUp(
      Simulation.randomLiveProxy(),
      {Simulation.nextRequestId(), Caller, S.Positions,
       Simulation.now() + Deadline},
      Message, [this, &S](const SendAnswer *Answer) { lookedUp(S, Answer); });
}

void FakeSessions::lookedUp(Session &S, const SendAnswer *Answer) {
  if (!Answer)
    return retryOrLookUp(S);
  const auto &Reply = std::get<caller::LookUpReply>(Answer->Reply);
  if (Reply.has_refusal())
    return retryOrLookUp(S);
  S.Positions = Answer->Positions;
  complete(S, Reply.outcome() == caller::OUTCOME_RAN ? Result::Acknowledged
                                                     : Result::NotRun);
}

void FakeSessions::complete(Session &S, Result Outcome) {
  S.Current.Outcome = Outcome;
  S.Current.Completed = Simulation.now();
  History.push_back(S.Current);
  S.Busy = false;
  Simulation.after(ThinkTime / 2 +
                       ThinkTime * Simulation.randomBelow(100) / 100,
                   [this, &S]() { next(S); });
}

load::FinalState FakeSessions::finalState() const {
  load::FinalState Final;
  const int Primary = Simulation.currentPrimary();
  if (Primary < 0)
    return Final;
  const FakeMember &Member = Simulation.member(Primary);
  for (const Session &S : Sessions) {
    Final.Registers.push_back(
        {0, S.Id, static_cast<std::uint64_t>(Member.value(registerKey(S.Id)))});
    for (std::uint64_t Job = 1; Job <= S.NextJob; ++Job)
      Final.Jobs.push_back(
          {0, S.Id, Job,
           static_cast<std::uint64_t>(Member.value(jobKey(S, Job)))});
  }
  return Final;
}

SessionReport FakeSessions::report() {
  SessionReport Report;
  for (const Session &S : Sessions) {
    if (!S.Busy)
      continue;
    ++Report.Unfinished;
    History.push_back(S.Current);
    History.back().Completed = Simulation.now();
  }
  for (const load::Operation &Op : History) {
    if (!load::isWrite(Op.Kind)) {
      ++Report.Reads;
      continue;
    }
    if (Op.Outcome == Result::Acknowledged)
      ++Report.Acknowledged;
    if (Op.Outcome == Result::NotRun)
      ++Report.NotRun;
  }
  Report.NoPrimary = Simulation.currentPrimary() < 0;
  Report.Unknown = UnknownAnswers;
  Report.ReplicaReads = ReplicaReads;
  load::HistoryChecker Checker(History);
  Report.Violations = Checker.check(finalState());
  return Report;
}

} // namespace borageridge::dispatch::testing
