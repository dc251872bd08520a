#include "pool/MemberHealth.h"

#include <algorithm>

namespace borageridge::pool {

void MemberHealth::recordReply(Time Now) {
  LastReply = Now;
  SilentSince.reset();
  RefusedSince.reset();
}

// A request sent before the last reply may still be queued behind other work at
// the member, so only the time since that reply counts.
void MemberHealth::recordTimeout(Time Start) {
  RefusedLast = false;
  if (!SilentSince)
    SilentSince = std::max(Start, LastReply);
}

void MemberHealth::recordRefusal(Time Now) {
  RefusedLast = true;
  if (!RefusedSince)
    RefusedSince = Now;
}

bool MemberHealth::isSuspected(Time Now) const {
  return RefusedSince ||
         (SilentSince && Now - *SilentSince >= SuspicionTimeout);
}

std::optional<Evidence> MemberHealth::evidence(Time Now) const {
  if (RefusedSince)
    return Evidence{true, Now - *RefusedSince};
  if (SilentSince)
    return Evidence{false, Now - *SilentSince};
  return std::nullopt;
}

} // namespace borageridge::pool
