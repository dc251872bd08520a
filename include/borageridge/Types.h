#ifndef BORAGERIDGE_TYPES_H
#define BORAGERIDGE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <ostream>

namespace borageridge {

/// Monotonic time; values of different processes are not comparable.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Number of a primary's term. Starts at 1; 0 means none.
using Term = std::uint64_t;

/// Index of an entry in the log of a database group. Starts at 1; 0 means an
/// empty log.
using LogIndex = std::uint64_t;

/// Identifies a log prefix by the term and the index of its last entry. A
/// promotion prefers the log whose last position is the greatest.
struct Position {
  Term EntryTerm = 0;
  LogIndex Index = 0;

  friend bool operator==(const Position &, const Position &) = default;
  friend std::strong_ordering operator<=>(const Position &A,
                                          const Position &B) {
    if (A.EntryTerm != B.EntryTerm)
      return A.EntryTerm <=> B.EntryTerm;
    return A.Index <=> B.Index;
  }
};

inline std::ostream &operator<<(std::ostream &Out, const Position &P) {
  return Out << P.EntryTerm << ':' << P.Index;
}

} // namespace borageridge

#endif // BORAGERIDGE_TYPES_H
