#include "database/Member.h"

#include <filesystem>
#include <thread>

namespace borageridge::database {

namespace {

// Statements of one interactive transaction, so that its log entry fits into a
// message between members.
constexpr std::size_t MaxTransactionBytes = std::size_t{2} * 1024 * 1024;

constexpr const char *BeginWrite = "BEGIN IMMEDIATE";
constexpr const char *CommitWrite = "COMMIT";
constexpr const char *RollbackWrite = "ROLLBACK";

endpoint::ConnectionReply error(endpoint::EndpointError Error,
                                std::string_view Detail = {}) {
  endpoint::ConnectionReply Reply;
  Reply.set_error(Error);
  Reply.set_detail(std::string(Detail));
  return Reply;
}

endpoint::ConnectionReply wrongTerm() {
  return error(endpoint::ENDPOINT_ERROR_WRONG_TERM);
}

endpoint::ConnectionReply timeout() {
  return error(endpoint::ENDPOINT_ERROR_TIMEOUT);
}

endpoint::ConnectionReply failed(const Failure &F) {
  return error(endpoint::ENDPOINT_ERROR_STATEMENT_FAILED, F.Detail);
}

void addResults(endpoint::ConnectionReply &Reply, ResultSets Results) {
  for (auto &Result : Results)
    *Reply.add_results() = std::move(Result);
}

MemberOptions prepared(MemberOptions Options) {
  std::filesystem::create_directories(Options.Directory);
  return Options;
}

std::string dataPath(const MemberOptions &Options) {
  return Options.Directory + "/data.db";
}

} // namespace

Member::Member(MemberOptions MemberOptions, Faults &MemberFaults,
               std::function<void()> ChangeCallback)
    : Options(prepared(std::move(MemberOptions))), Switches(MemberFaults),
      OnChange(std::move(ChangeCallback)),
      Writer(dataPath(Options), Sqlite::Access::Write),
      Running(dataPath(Options), Options.Slots),
      Log(Options.Directory + "/log.db") {
  Writer.run(BeginWrite);
  createTables(Writer);
  Writer.run(CommitWrite);
  Applied = appliedPosition(Writer);
  // A primary that was killed between log and data has one entry to apply.
  if (Log.state().Role == endpoint::ROLE_PRIMARY)
    apply(Time::max());
}

Member::~Member() = default;

endpoint::ConnectionReply
Member::run(Session &Caller, const endpoint::ConnectionRequest &Request,
            Time Present) {
  const Term Wanted = Request.term();
  switch (Request.step_case()) {
  case endpoint::ConnectionRequest::kBatch:
    return Request.batch().read_only() ? read(Wanted, Request.batch())
                                       : write(Wanted, Request.batch());
  case endpoint::ConnectionRequest::kBegin:
    return begin(Caller, Wanted, Request.begin(), Present);
  case endpoint::ConnectionRequest::kStatement:
    return statement(Caller, Request.statement());
  case endpoint::ConnectionRequest::kCommit:
    return end(Caller, true);
  case endpoint::ConnectionRequest::kRollback:
    return end(Caller, false);
  case endpoint::ConnectionRequest::kSettle:
    return settle(Wanted, Request.settle().request_key());
  case endpoint::ConnectionRequest::kHello:
    return hello();
  default:
    return error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER, "no step");
  }
}

void Member::close(Session &Caller) {
  if (Caller.Transaction)
    requestEnd(Caller.Transaction, endpoint::ENDPOINT_ERROR_OUT_OF_ORDER);
  Caller.Transaction.reset();
}

void Member::expire(Time Present) {
  std::shared_ptr<OpenTransaction> Expired;
  {
    const absl::MutexLock Guard(&Mutex);
    if (Current && Current->Deadline <= Present)
      Expired = Current;
  }
  if (Expired)
    requestEnd(Expired, endpoint::ENDPOINT_ERROR_TIMEOUT);
}

Member::Reply Member::hello() const {
  const absl::MutexLock Guard(&Mutex);
  Reply Result;
  *Result.mutable_position() = toProto(Applied);
  return Result;
}

Member::Reply Member::read(Term Wanted, const endpoint::Batch &Batch) {
  {
    const absl::MutexLock Guard(&Mutex);
    if (!servesReads(Wanted))
      return wrongTerm();
  }
  Slots::Use Slot(Running);
  Sqlite &Reader = Slot.reader();
  Reader.run("BEGIN");
  // The first read of the transaction fixes the snapshot of the statements.
  const auto Seen = appliedPosition(Reader);
  auto Results = runStatements(Reader, Batch, Switches.statementDelay());
  Reader.run(CommitWrite);
  Statements += static_cast<std::uint64_t>(Batch.statements_size());
  if (!Results.has_value())
    return failed(Results.error());
  Reply Result;
  *Result.mutable_position() = toProto(Seen);
  addResults(Result, std::move(Results).value());
  return Result;
}

Member::Reply Member::write(Term Wanted, const endpoint::Batch &Batch) {
  return inWriteTransaction(Wanted, [&](Term ServedTerm) {
    if (Batch.has_request_key())
      if (auto Earlier = recorded(Batch.request_key()))
        return *std::move(Earlier);
    return runKeyed(ServedTerm, Batch);
  });
}

Member::Reply Member::runKeyed(Term ServedTerm, const endpoint::Batch &Batch) {
  const Slots::Use Slot(Running);
  auto Results = runStatements(Writer, Batch, Switches.statementDelay());
  Statements += static_cast<std::uint64_t>(Batch.statements_size());
  if (!Results.has_value())
    return failed(Results.error());
  Reply Result = commit(ServedTerm, Batch, endpoint::RECORDED_OUTCOME_RAN,
                        Results.value());
  if (Result.error() == endpoint::ENDPOINT_ERROR_NONE)
    addResults(Result, std::move(Results).value());
  return Result;
}

Member::Reply Member::settle(Term Wanted, const endpoint::RequestKey &Key) {
  return inWriteTransaction(Wanted, [&](Term ServedTerm) {
    if (auto Earlier = recorded(Key)) {
      // A refused record is the answer here, not an error.
      Earlier->clear_error();
      return *std::move(Earlier);
    }
    endpoint::Batch Refused;
    *Refused.mutable_request_key() = Key;
    return commit(ServedTerm, Refused, endpoint::RECORDED_OUTCOME_REFUSED, {});
  });
}

template <typename F>
Member::Reply Member::inWriteTransaction(Term Wanted, F Body) {
  Term ServedTerm = 0;
  {
    const absl::MutexLock Guard(&Mutex);
    if (!servesWrites(Wanted))
      return wrongTerm();
    ServedTerm = Log.state().Served;
  }
  if (!Lock.lock(Options.LockTimeout))
    return timeout();
  Writer.run(BeginWrite);
  Reply Result = Body(ServedTerm);
  if (Writer.inTransaction())
    Writer.run(RollbackWrite);
  Lock.unlock();
  return Result;
}

std::optional<Member::Reply> Member::recorded(const endpoint::RequestKey &Key) {
  auto Record = findRecord(Writer, Key);
  if (!Record)
    return std::nullopt;
  Reply Result;
  Result.set_outcome(Record->Outcome);
  Result.set_replayed(true);
  *Result.mutable_position() = toProto(Record->Position);
  if (Record->Outcome == endpoint::RECORDED_OUTCOME_REFUSED)
    Result.set_error(endpoint::ENDPOINT_ERROR_SETTLED);
  addResults(Result, std::move(Record->Results));
  return Result;
}

Member::Reply Member::commit(Term ServedTerm, const endpoint::Batch &Batch,
                             endpoint::RecordedOutcome Outcome,
                             const ResultSets &Results) {
  endpoint::LogEntry Entry;
  {
    const absl::MutexLock Guard(&Mutex);
    if (!servesWrites(ServedTerm))
      return wrongTerm();
    const borageridge::Position Next{ServedTerm, Log.last().Index + 1};
    *Entry.mutable_position() = toProto(Next);
    *Entry.mutable_batch() = Batch;
    Entry.set_outcome(Outcome);
    if (Batch.has_request_key())
      insertRecord(Writer, Batch.request_key(), {Outcome, Next, Results},
                   Options.RequestRetention);
    setAppliedPosition(Writer, Next);
    Log.append(std::span(&Entry, 1));
    Writer.run(CommitWrite);
    Applied = Next;
  }
  ++Commits;
  OnChange();
  Reply Result;
  *Result.mutable_position() = Entry.position();
  Result.set_outcome(Outcome);
  return Result;
}

Member::Reply Member::begin(Session &Caller, Term Wanted,
                            const endpoint::Begin &Begin, Time Present) {
  if (Caller.Transaction)
    return error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER, "transaction is open");
  {
    const absl::MutexLock Guard(&Mutex);
    if (!servesWrites(Wanted))
      return wrongTerm();
  }
  if (!Lock.lock(Options.LockTimeout))
    return timeout();
  auto Transaction = std::make_shared<OpenTransaction>();
  Transaction->Deadline = Present + Options.TransactionTimeout;
  Reply Result;
  {
    const absl::MutexLock Step(&Transaction->Mutex);
    {
      const absl::MutexLock Guard(&Mutex);
      if (!servesWrites(Wanted)) {
        Lock.unlock();
        return wrongTerm();
      }
      Transaction->ServedTerm = Log.state().Served;
      Current = Transaction;
    }
    Writer.run(BeginWrite);
    if (Begin.has_request_key()) {
      *Transaction->Logged.mutable_request_key() = Begin.request_key();
      if (auto Earlier = recorded(Begin.request_key())) {
        finish(*Transaction);
        return *std::move(Earlier);
      }
    }
  }
  finishIfEnding(*Transaction);
  Caller.Transaction = std::move(Transaction);
  return Result;
}

Member::Reply Member::statement(Session &Caller,
                                const caller::Statement &Statement) {
  const auto Transaction = Caller.Transaction;
  if (!Transaction)
    return error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER, "no transaction");
  Reply Result;
  {
    const absl::MutexLock Step(&Transaction->Mutex);
    if (!Transaction->Finished) {
      const Slots::Use Slot(Running);
      std::this_thread::sleep_for(Switches.statementDelay());
      ++Statements;
      *Transaction->Logged.add_statements() = Statement;
      auto Rows = Writer.execute(Statement, &Transaction->Ending);
      if (!Rows.has_value()) {
        Result = failed(Rows.error());
      } else if (Transaction->Logged.ByteSizeLong() > MaxTransactionBytes) {
        Result = failed({FailureKind::ResourceExhausted, "too large"});
      } else {
        if (Transaction->Logged.has_request_key())
          Transaction->Results.push_back(Rows.value());
        *Result.add_results() = std::move(Rows).value();
      }
    }
    if (const int Reason = Transaction->Ending)
      Result = error(static_cast<endpoint::EndpointError>(Reason));
    if (Result.error() != endpoint::ENDPOINT_ERROR_NONE)
      finish(*Transaction);
  }
  finishIfEnding(*Transaction);
  // A failed statement rolls the whole transaction back.
  if (Result.error() != endpoint::ENDPOINT_ERROR_NONE)
    Caller.Transaction.reset();
  return Result;
}

Member::Reply Member::end(Session &Caller, bool Commit) {
  const auto Transaction = std::move(Caller.Transaction);
  Caller.Transaction.reset();
  if (!Transaction)
    return error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER, "no transaction");
  const absl::MutexLock Step(&Transaction->Mutex);
  Reply Result;
  if (const int Reason = Transaction->Ending)
    Result = error(static_cast<endpoint::EndpointError>(Reason));
  else if (Commit)
    Result = commit(Transaction->ServedTerm, Transaction->Logged,
                    endpoint::RECORDED_OUTCOME_RAN, Transaction->Results);
  finish(*Transaction);
  return Result;
}

void Member::finish(OpenTransaction &Transaction) {
  if (Transaction.Finished)
    return;
  Transaction.Finished = true;
  if (Writer.inTransaction())
    Writer.run(RollbackWrite);
  {
    const absl::MutexLock Guard(&Mutex);
    Current.reset();
  }
  Lock.unlock();
}

void Member::requestEnd(const std::shared_ptr<OpenTransaction> &Transaction,
                        endpoint::EndpointError Reason) {
  int None = endpoint::ENDPOINT_ERROR_NONE;
  Transaction->Ending.compare_exchange_strong(None, Reason);
  finishIfEnding(*Transaction);
}

// Whoever holds the transaction's lock calls this after unlocking, so that a
// request to end it is not missed.
void Member::finishIfEnding(OpenTransaction &Transaction) {
  if (Transaction.Ending == endpoint::ENDPOINT_ERROR_NONE)
    return;
  if (!Transaction.Mutex.TryLock())
    return;
  finish(Transaction);
  Transaction.Mutex.Unlock();
}

bool Member::servesWrites(Term Wanted) const {
  return Log.state().Role == endpoint::ROLE_PRIMARY && serving() != 0 &&
         (Wanted == 0 || Wanted == serving());
}

bool Member::servesReads(Term Wanted) const {
  return Wanted == 0 || Wanted == serving();
}

Term Member::serving() const {
  const MemberState &State = Log.state();
  return State.Sealed > State.Served ? 0 : State.Served;
}

} // namespace borageridge::database
