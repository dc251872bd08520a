#include "load/Audit.h"

#include "load/Workload.h"

#include <algorithm>
#include <chrono>

namespace borageridge::load {

namespace {

/// Covers a failover that is still going on when the audit starts.
constexpr std::chrono::seconds RequestTimeout{30};

/// Sessions in one audit request; keeps an answer far below 1 MB, the usual
/// limit of a message.
constexpr SessionId SessionsPerPage = 20;

Failure failureOf(const std::string &Database, const grpc::Status &Status) {
  return {FailureKind::Unavailable, Database + ": " + Status.error_message()};
}

Expected<void> readPage(CallerClient &Client, const std::string &Database,
                        DatabaseId Id, const std::string &Run, SessionId First,
                        SessionId Last, FinalState &State) {
  caller::ExecuteRequest Request;
  Request.set_database(Database);
  Request.set_kind(caller::STATEMENT_KIND_READ);
  Request.set_accepted_age_ms(0);
  *Request.add_statements() = auditRegisters(Run, First, Last);
  *Request.add_statements() = auditJobs(Run, First, Last);
  caller::ExecuteReply Reply;
  const auto Status = Client.executeAnywhere(Request, Reply, RequestTimeout);
  if (!Status.ok())
    return failureOf(Database, Status);
  if (Reply.served_by().replica())
    return Failure{FailureKind::Internal,
                   Database + ": a replica answered a read without an age"};
  if (!readAudit(Reply, Id, State))
    return Failure{FailureKind::Corrupt, Database + ": unexpected results"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

Expected<std::string> prepareDatabases(CallerClient &Client, const Scenario &S,
                                       const std::string &Run) {
  std::string Token;
  for (const std::string &Database : S.Databases) {
    caller::ExecuteRequest Request;
    Request.set_database(Database);
    Request.set_kind(caller::STATEMENT_KIND_WRITE);
    Request.set_idempotent(true);
    Request.set_session_token(Token);
    for (const auto &Statement : tableStatements())
      *Request.add_statements() = Statement;
    *Request.add_statements() = registerStatement(Run, S.Sessions);
    caller::ExecuteReply Reply;
    const auto Status = Client.executeAnywhere(Request, Reply, RequestTimeout);
    if (!Status.ok())
      return failureOf(Database, Status);
    Token = Reply.session_token();
  }
  return Token;
}

Expected<FinalState> readFinalState(CallerClient &Client, const Scenario &S,
                                    const std::string &Run) {
  FinalState State;
  for (DatabaseId Id = 0; Id < S.Databases.size(); ++Id)
    for (SessionId First = 0; First < S.Sessions; First += SessionsPerPage) {
      const SessionId Last = std::min(First + SessionsPerPage, S.Sessions) - 1;
      const auto Page =
          readPage(Client, S.Databases[Id], Id, Run, First, Last, State);
      if (!Page.has_value())
        return Page.error();
    }
  return State;
}

} // namespace borageridge::load
