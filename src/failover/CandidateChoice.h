#ifndef BORAGERIDGE_FAILOVER_CANDIDATECHOICE_H
#define BORAGERIDGE_FAILOVER_CANDIDATECHOICE_H

#include "borageridge/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace borageridge::failover {

/// Log ends of the members that are sealed for the term of a change.
using SealedPositions = std::map<std::string, Position, std::less<>>;

struct CandidateRules {
  std::size_t Members = 0;
  /// Wins between members with equally long logs; may be empty.
  std::string_view Preferred;
  /// Chosen only if no majority exists without it: the old primary of a planned
  /// change, or a candidate that failed to become primary; may be empty.
  std::string_view Avoided;
  /// Whether Avoided may be chosen now. Until then, the choice waits for a
  /// sealed majority without it.
  bool AvoidedAllowed = false;
};

/// Returns the member with the longest log of a sealed majority, or nothing
/// while there is no majority or further seals are awaited. Every majority is
/// safe to choose from, because it shares a member with each majority that
/// confirmed a write.
std::optional<std::string> chooseCandidate(const SealedPositions &Sealed,
                                           const CandidateRules &Rules);

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_CANDIDATECHOICE_H
