#ifndef BORAGERIDGE_SESSION_TERMHISTORY_H
#define BORAGERIDGE_SESSION_TERMHISTORY_H

#include "borageridge/Types.h"

#include "record.pb.h"

#include <cstddef>
#include <vector>

namespace borageridge::session {

/// Start positions of the terms of one database group, oldest first.
class TermHistory {
public:
  /// Maximum number of terms kept. A position of an older term counts as
  /// contained if its index is at most the start index of the oldest kept term.
  static constexpr std::size_t MaxTerms = 64;

  static TermHistory fromRecord(const record::GroupRecord &Record);

  /// Whether the log of the newest term contains the entry at Wanted. Position
  /// 0:0 is always contained; a position of a term newer than the history never
  /// is.
  bool contains(Position Wanted) const;

  /// Whether the entry at Wanted is in the log of a member whose log is the
  /// prefix of the newest term's log that ends at index Reached.
  bool reached(Position Wanted, LogIndex Reached) const;

  /// Returns 0 if the history is empty.
  Term newestTerm() const;

private:
  struct Start {
    Term Number = 0;
    LogIndex Index = 0;
    /// Term of the entry at Index.
    Term EntryTerm = 0;
  };
  const Start *find(Term Number) const;

  std::vector<Start> Starts;
};

} // namespace borageridge::session

#endif // BORAGERIDGE_SESSION_TERMHISTORY_H
