#include "database/DataFile.h"

#include "database/MemberLog.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace borageridge::database {

namespace {

std::string serialize(const ResultSets &Results) {
  endpoint::ConnectionReply Holder;
  for (const auto &Result : Results)
    *Holder.add_results() = Result;
  if (Holder.ByteSizeLong() > MaxRecordedBytes)
    return {};
  return Holder.SerializeAsString();
}

ResultSets parse(const std::string &Bytes) {
  endpoint::ConnectionReply Holder;
  Holder.ParseFromString(Bytes);
  return {Holder.results().begin(), Holder.results().end()};
}

} // namespace

void createTables(Sqlite &File) {
  File.run("CREATE TABLE IF NOT EXISTS borageridge_applied("
           "id INTEGER PRIMARY KEY, term INTEGER, position INTEGER)");
  File.run("INSERT OR IGNORE INTO borageridge_applied VALUES(0, 0, 0)");
  File.run("CREATE TABLE IF NOT EXISTS borageridge_request("
           "number INTEGER PRIMARY KEY AUTOINCREMENT, caller TEXT, "
           "request_id TEXT, outcome INTEGER, term INTEGER, position INTEGER, "
           "results BLOB, UNIQUE(caller, request_id))");
}

borageridge::Position appliedPosition(Sqlite &File) {
  const auto Found = File.run("SELECT term, position FROM borageridge_applied");
  const caller::Row &Row = Found.rows(0);
  return {static_cast<Term>(Row.values(0).integer()),
          static_cast<LogIndex>(Row.values(1).integer())};
}

void setAppliedPosition(Sqlite &File, borageridge::Position Applied) {
  File.run("UPDATE borageridge_applied SET term = ?, position = ?",
           {integer(Applied.EntryTerm), integer(Applied.Index)});
}

std::optional<RequestRecord> findRecord(Sqlite &File,
                                        const endpoint::RequestKey &Key) {
  const auto Found =
      File.run("SELECT outcome, term, position, results FROM "
               "borageridge_request WHERE caller = ? AND request_id = ?",
               {text(Key.caller()), text(Key.request_id())});
  if (Found.rows().empty())
    return std::nullopt;
  const caller::Row &Row = Found.rows(0);
  return RequestRecord{
      static_cast<endpoint::RecordedOutcome>(Row.values(0).integer()),
      {static_cast<Term>(Row.values(1).integer()),
       static_cast<LogIndex>(Row.values(2).integer())},
      parse(Row.values(3).blob())};
}

void insertRecord(Sqlite &File, const endpoint::RequestKey &Key,
                  const RequestRecord &Record, std::uint64_t Retention) {
  const auto Inserted = File.run(
      "INSERT INTO borageridge_request(caller, request_id, outcome, term, "
      "position, results) VALUES(?, ?, ?, ?, ?, ?) RETURNING number",
      {text(Key.caller()), text(Key.request_id()), integer(Record.Outcome),
       integer(Record.Position.EntryTerm), integer(Record.Position.Index),
       blob(serialize(Record.Results))});
  const auto Number =
      static_cast<std::uint64_t>(Inserted.rows(0).values(0).integer());
  if (Number > Retention)
    File.run("DELETE FROM borageridge_request WHERE number <= ?",
             {integer(Number - Retention)});
}

Expected<ResultSets> runStatements(Sqlite &File, const endpoint::Batch &Batch,
                                   Duration Delay) {
  ResultSets Results;
  std::size_t Bytes = 0;
  for (const auto &Statement : Batch.statements()) {
    if (Delay > Duration::zero())
      std::this_thread::sleep_for(Delay);
    auto Result = File.execute(Statement);
    if (!Result.has_value())
      return Result.error();
    Results.push_back(std::move(Result).value());
    Bytes += Results.back().ByteSizeLong();
    if (Bytes > MaxResultBytes)
      return Failure{FailureKind::ResourceExhausted, "results too large"};
  }
  return Results;
}

void applyEntry(Sqlite &File, const endpoint::LogEntry &Entry,
                std::uint64_t Retention) {
  RequestRecord Record{Entry.outcome(), fromProto(Entry.position()), {}};
  if (Entry.outcome() == endpoint::RECORDED_OUTCOME_RAN) {
    auto Results = runStatements(File, Entry.batch(), Duration::zero());
    if (!Results.has_value()) {
      std::cerr << "log entry " << Record.Position
                << " cannot be applied: " << Results.error() << '\n';
      std::abort();
    }
    Record.Results = std::move(Results).value();
  }
  if (Entry.batch().has_request_key())
    insertRecord(File, Entry.batch().request_key(), Record, Retention);
  setAppliedPosition(File, Record.Position);
}

void resetTables(Sqlite &File) {
  const auto Objects = File.run(
      "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view') "
      "AND name NOT LIKE 'sqlite_%' ORDER BY type DESC");
  for (const auto &Row : Objects.rows())
    File.run("DROP " + Row.values(0).text() + " \"" + Row.values(1).text() +
             "\"");
  createTables(File);
}

} // namespace borageridge::database
