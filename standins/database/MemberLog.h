#ifndef BORAGERIDGE_DATABASE_MEMBERLOG_H
#define BORAGERIDGE_DATABASE_MEMBERLOG_H

#include "borageridge/Types.h"
#include "database/Sqlite.h"

#include "endpoint.pb.h"

#include <span>
#include <string>
#include <vector>

namespace borageridge::database {

borageridge::Position fromProto(const endpoint::Position &Message);
endpoint::Position toProto(borageridge::Position Value);

/// What a member must remember of the terms that it has seen.
struct MemberState {
  Term Served = 0;
  Term Sealed = 0;
  endpoint::Role Role = endpoint::ROLE_REPLICA;
  std::string PrimaryAddress;
};

/// Log and state of a member in one file. Every change is durable on return,
/// also if the process is killed. Not thread-safe.
class MemberLog {
public:
  explicit MemberLog(const std::string &Path);

  const MemberState &state() const { return State; }
  void setState(const MemberState &New);

  borageridge::Position last() const { return Last; }

  /// Positions must follow the last one without a gap.
  void append(std::span<const endpoint::LogEntry> Entries);
  /// Appends one entry and sets the state in one transaction.
  void append(const endpoint::LogEntry &Entry, const MemberState &New);

  std::vector<endpoint::LogEntry> entriesAfter(LogIndex Index,
                                               std::size_t Limit);
  bool contains(borageridge::Position Wanted);
  /// The last entry whose index and term are both at most those of Bound.
  borageridge::Position lastWithin(borageridge::Position Bound);
  void truncateAfter(borageridge::Position NewLast);

private:
  void insert(const endpoint::LogEntry &Entry);
  void saveState();

  Sqlite File;
  MemberState State;
  borageridge::Position Last;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_MEMBERLOG_H
