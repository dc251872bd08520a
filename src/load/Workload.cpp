#include "load/Workload.h"

namespace borageridge::load {

namespace {

/// Builds a statement from its text and parameters in order.
class StatementBuilder {
public:
  explicit StatementBuilder(const char *Text) { Built.set_text(Text); }

  StatementBuilder &with(std::string_view Text) {
    Built.add_parameters()->set_text(std::string(Text));
    return *this;
  }

  StatementBuilder &with(std::uint64_t Value) {
    Built.add_parameters()->set_integer(std::int64_t(Value));
    return *this;
  }

  const caller::Statement &statement() const { return Built; }

private:
  caller::Statement Built;
};

caller::Statement plain(const char *Text) {
  return StatementBuilder(Text).statement();
}

caller::Statement markerStatement(std::string_view Marker) {
  return StatementBuilder("SELECT ?").with(Marker).statement();
}

caller::Statement updateRegister(const Operation &Op, std::string_view Run) {
  // The bound on the present value makes the statement idempotent: a late
  // first try cannot overwrite a newer value.
  return StatementBuilder("UPDATE load_register SET value = ? "
                          "WHERE run = ? AND session = ? AND value < ?")
      .with(Op.Value)
      .with(Run)
      .with(Op.Session)
      .with(Op.Value)
      .statement();
}

caller::Statement insertJob(const Operation &Op, std::string_view Run) {
  // The table has no unique key, so that a second run would leave a second row.
  return StatementBuilder(
             "INSERT INTO load_job (run, session, number) VALUES (?, ?, ?)")
      .with(Run)
      .with(Op.Session)
      .with(Op.Value)
      .statement();
}

caller::Statement readRegisters(const Operation &Op, std::string_view Run,
                                std::string_view Marker) {
  return StatementBuilder("SELECT ?, session, value FROM load_register "
                          "WHERE run = ? AND session BETWEEN ? AND ?")
      .with(Marker)
      .with(Run)
      .with(Op.FirstKey)
      .with(std::uint64_t{Op.FirstKey} + Op.ExpectedValues - 1)
      .statement();
}

caller::Statement readJob(const Operation &Op, std::string_view Run,
                          std::string_view Marker) {
  return StatementBuilder("SELECT ?, count(*) FROM load_job "
                          "WHERE run = ? AND session = ? AND number = ?")
      .with(Marker)
      .with(Run)
      .with(Op.Session)
      .with(Op.Value)
      .statement();
}

/// The last result set carries the marker in its first column in every row.
MarkerCheck checkMarker(const caller::ExecuteReply &Reply,
                        std::string_view Marker) {
  if (Reply.results().empty() ||
      Reply.results(Reply.results_size() - 1).rows().empty())
    return MarkerCheck::Missing;
  for (const auto &Row : Reply.results(Reply.results_size() - 1).rows()) {
    if (Row.values().empty())
      return MarkerCheck::Missing;
    if (Row.values(0).text() != Marker)
      return MarkerCheck::Foreign;
  }
  return MarkerCheck::Own;
}

void readValues(const caller::ResultSet &Results, Operation &Op) {
  for (const auto &Row : Results.rows())
    if (Row.values_size() == 3)
      Op.Values.push_back({SessionId(Row.values(1).integer()),
                           std::uint64_t(Row.values(2).integer())});
}

void readCount(const caller::ResultSet &Results, Operation &Op) {
  if (Results.rows_size() == 1 && Results.rows(0).values_size() == 2)
    Op.Count = std::uint64_t(Results.rows(0).values(1).integer());
}

} // namespace

std::vector<caller::Statement> tableStatements() {
  return {plain("CREATE TABLE IF NOT EXISTS load_register "
                "(run TEXT, session INTEGER, value INTEGER, "
                "PRIMARY KEY (run, session))"),
          plain("CREATE TABLE IF NOT EXISTS load_job "
                "(run TEXT, session INTEGER, number INTEGER)"),
          plain("CREATE INDEX IF NOT EXISTS load_job_by_session "
                "ON load_job (run, session, number)")};
}

caller::Statement registerStatement(std::string_view Run,
                                    std::uint32_t Sessions) {
  return StatementBuilder("INSERT OR IGNORE INTO load_register "
                          "WITH RECURSIVE numbers(n) AS (SELECT 0 UNION ALL "
                          "SELECT n + 1 FROM numbers WHERE n + 1 < ?) "
                          "SELECT ?, n, 0 FROM numbers")
      .with(Sessions)
      .with(Run)
      .statement();
}

void addStatements(const Operation &Op, std::string_view Run,
                   std::string_view Marker, caller::ExecuteRequest &Request) {
  const auto Add = [&](const caller::Statement &S) {
    *Request.add_statements() = S;
  };
  switch (Op.Kind) {
  case OperationKind::RegisterWrite:
    Add(updateRegister(Op, Run));
    return Add(markerStatement(Marker));
  case OperationKind::JobInsert:
    Add(insertJob(Op, Run));
    return Add(markerStatement(Marker));
  case OperationKind::RegisterRead:
    return Add(readRegisters(Op, Run, Marker));
  case OperationKind::JobRead:
    return Add(readJob(Op, Run, Marker));
  }
}

void readAnswer(const caller::ExecuteReply &Reply, std::string_view Marker,
                Operation &Op) {
  Op.Replayed = Reply.replayed();
  Op.ServedTerm = Reply.served_by().term();
  Op.Marker = checkMarker(Reply, Marker);
  if (Op.Marker != MarkerCheck::Own)
    return;
  const auto &Results = Reply.results(Reply.results_size() - 1);
  if (Op.Kind == OperationKind::RegisterRead)
    readValues(Results, Op);
  if (Op.Kind == OperationKind::JobRead)
    readCount(Results, Op);
}

caller::Statement auditRegisters(std::string_view Run, SessionId First,
                                 SessionId Last) {
  return StatementBuilder("SELECT session, value FROM load_register "
                          "WHERE run = ? AND session BETWEEN ? AND ?")
      .with(Run)
      .with(First)
      .with(Last)
      .statement();
}

caller::Statement auditJobs(std::string_view Run, SessionId First,
                            SessionId Last) {
  return StatementBuilder("SELECT session, number, count(*) FROM load_job "
                          "WHERE run = ? AND session BETWEEN ? AND ? "
                          "GROUP BY session, number")
      .with(Run)
      .with(First)
      .with(Last)
      .statement();
}

bool readAudit(const caller::ExecuteReply &Reply, DatabaseId Database,
               FinalState &State) {
  if (Reply.results_size() != 2)
    return false;
  for (const auto &Row : Reply.results(0).rows()) {
    if (Row.values_size() != 2)
      return false;
    State.Registers.push_back({Database, SessionId(Row.values(0).integer()),
                               std::uint64_t(Row.values(1).integer())});
  }
  for (const auto &Row : Reply.results(1).rows()) {
    if (Row.values_size() != 3)
      return false;
    State.Jobs.push_back({Database, SessionId(Row.values(0).integer()),
                          std::uint64_t(Row.values(1).integer()),
                          std::uint64_t(Row.values(2).integer())});
  }
  return true;
}

} // namespace borageridge::load
