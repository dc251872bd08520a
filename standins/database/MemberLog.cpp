#include "database/MemberLog.h"

namespace borageridge::database {

namespace {

std::uint64_t number(const caller::Row &Row, int Column) {
  return static_cast<std::uint64_t>(Row.values(Column).integer());
}

borageridge::Position firstPosition(const caller::ResultSet &Result) {
  if (Result.rows().empty())
    return {};
  return {number(Result.rows(0), 0), number(Result.rows(0), 1)};
}

} // namespace

borageridge::Position fromProto(const endpoint::Position &Message) {
  return {Message.term(), Message.index()};
}

endpoint::Position toProto(borageridge::Position Value) {
  endpoint::Position Message;
  Message.set_term(Value.EntryTerm);
  Message.set_index(Value.Index);
  return Message;
}

MemberLog::MemberLog(const std::string &Path)
    : File(Path, Sqlite::Access::Write) {
  File.run("CREATE TABLE IF NOT EXISTS log(position INTEGER PRIMARY KEY, "
           "term INTEGER, entry BLOB)");
  File.run("CREATE TABLE IF NOT EXISTS state(id INTEGER PRIMARY KEY, "
           "served INTEGER, sealed INTEGER, role INTEGER, address TEXT)");
  const auto Saved =
      File.run("SELECT served, sealed, role, address FROM state");
  if (!Saved.rows().empty()) {
    const caller::Row &Row = Saved.rows(0);
    State = {number(Row, 0), number(Row, 1),
             static_cast<endpoint::Role>(number(Row, 2)), Row.values(3).text()};
  }
  Last = firstPosition(File.run(
      "SELECT term, position FROM log ORDER BY position DESC LIMIT 1"));
}

void MemberLog::setState(const MemberState &New) {
  State = New;
  saveState();
}

void MemberLog::append(std::span<const endpoint::LogEntry> Entries) {
  File.run("BEGIN IMMEDIATE");
  for (const auto &Entry : Entries)
    insert(Entry);
  File.run("COMMIT");
}

void MemberLog::append(const endpoint::LogEntry &Entry,
                       const MemberState &New) {
  File.run("BEGIN IMMEDIATE");
  insert(Entry);
  setState(New);
  File.run("COMMIT");
}

std::vector<endpoint::LogEntry> MemberLog::entriesAfter(LogIndex Index,
                                                        std::size_t Limit) {
  const auto Found = File.run("SELECT entry FROM log WHERE position > ? "
                              "ORDER BY position LIMIT ?",
                              {integer(Index), integer(Limit)});
  std::vector<endpoint::LogEntry> Entries(Found.rows().size());
  for (std::size_t I = 0; I < Entries.size(); ++I)
    Entries[I].ParseFromString(
        Found.rows(static_cast<int>(I)).values(0).blob());
  return Entries;
}

bool MemberLog::contains(borageridge::Position Wanted) {
  if (Wanted == borageridge::Position() || Wanted == Last)
    return true;
  const auto Found =
      File.run("SELECT 1 FROM log WHERE position = ? AND term = ?",
               {integer(Wanted.Index), integer(Wanted.EntryTerm)});
  return !Found.rows().empty();
}

borageridge::Position MemberLog::lastWithin(borageridge::Position Bound) {
  return firstPosition(
      File.run("SELECT term, position FROM log WHERE position <= ? AND "
               "term <= ? ORDER BY position DESC LIMIT 1",
               {integer(Bound.Index), integer(Bound.EntryTerm)}));
}

void MemberLog::truncateAfter(borageridge::Position NewLast) {
  File.run("DELETE FROM log WHERE position > ?", {integer(NewLast.Index)});
  Last = NewLast;
}

void MemberLog::insert(const endpoint::LogEntry &Entry) {
  Last = fromProto(Entry.position());
  File.run("INSERT INTO log VALUES(?, ?, ?)",
           {integer(Last.Index), integer(Last.EntryTerm),
            blob(Entry.SerializeAsString())});
}

void MemberLog::saveState() {
  File.run("INSERT OR REPLACE INTO state VALUES(0, ?, ?, ?, ?)",
           {integer(State.Served), integer(State.Sealed),
            integer(static_cast<std::uint64_t>(State.Role)),
            text(State.PrimaryAddress)});
}

} // namespace borageridge::database
