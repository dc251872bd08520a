#ifndef BORAGERIDGE_LOAD_WORKLOAD_H
#define BORAGERIDGE_LOAD_WORKLOAD_H

#include "caller.pb.h"
#include "load/History.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::load {

/// Statements that create the tables of the load tool. They may be repeated.
std::vector<caller::Statement> tableStatements();

/// Statement that creates the registers 0 to Sessions - 1 of a run with value
/// 0. It may be repeated.
caller::Statement registerStatement(std::string_view Run,
                                    std::uint32_t Sessions);

/// Adds the statements of an operation to a request. Each batch returns the
/// marker, so that an answer of another request can be told apart.
void addStatements(const Operation &Op, std::string_view Run,
                   std::string_view Marker, caller::ExecuteRequest &Request);

/// Reads marker, values and counts of an answer into an operation.
void readAnswer(const caller::ExecuteReply &Reply, std::string_view Marker,
                Operation &Op);

/// Statements for the final audit of the sessions First to Last of a run.
caller::Statement auditRegisters(std::string_view Run, SessionId First,
                                 SessionId Last);
caller::Statement auditJobs(std::string_view Run, SessionId First,
                            SessionId Last);

/// Adds the rows of the two audit statements to a final state. Returns false if
/// the results do not have the expected form.
bool readAudit(const caller::ExecuteReply &Reply, DatabaseId Database,
               FinalState &State);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_WORKLOAD_H
