#ifndef BORAGERIDGE_DATABASE_DATAFILE_H
#define BORAGERIDGE_DATABASE_DATAFILE_H

#include "borageridge/Types.h"
#include "database/Sqlite.h"

#include "endpoint.pb.h"

#include <optional>
#include <vector>

namespace borageridge::database {

using ResultSets = std::vector<caller::ResultSet>;

/// Recorded results above this size are dropped; the outcome is kept.
inline constexpr std::size_t MaxRecordedBytes = std::size_t{64} * 1024;

struct RequestRecord {
  endpoint::RecordedOutcome Outcome = endpoint::RECORDED_OUTCOME_NONE;
  borageridge::Position Position;
  ResultSets Results;
};

/// Operations on the file that holds the callers' tables, the applied position
/// and the request records. Each works on a connection inside its transaction.
void createTables(Sqlite &File);

borageridge::Position appliedPosition(Sqlite &File);
void setAppliedPosition(Sqlite &File, borageridge::Position Applied);

std::optional<RequestRecord> findRecord(Sqlite &File,
                                        const endpoint::RequestKey &Key);
/// Inserts a record and deletes those older than the last Retention ones.
void insertRecord(Sqlite &File, const endpoint::RequestKey &Key,
                  const RequestRecord &Record, std::uint64_t Retention);

/// Runs the statements in order and stops at the first failure. Each takes
/// Delay more.
Expected<ResultSets> runStatements(Sqlite &File, const endpoint::Batch &Batch,
                                   Duration Delay);

/// Applies a log entry. Ends the process if a statement fails: it succeeded on
/// the primary, so the files differ.
void applyEntry(Sqlite &File, const endpoint::LogEntry &Entry,
                std::uint64_t Retention);

/// Removes all tables, so that the log can be applied from its start.
void resetTables(Sqlite &File);

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_DATAFILE_H
