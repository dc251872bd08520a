#include "pool/MemberHealth.h"

#include <algorithm>

namespace borageridge::pool {

void MemberHealth::answered(Time Now) {
  LastAnswer = Now;
  SilentSince.reset();
  RefusedSince.reset();
}

// A request that was sent before the last answer says nothing new: it may wait
// behind other work.
void MemberHealth::unanswered(Time Start) {
  if (!SilentSince)
    SilentSince = std::max(Start, LastAnswer);
}

void MemberHealth::refused(Time Now) {
  if (!RefusedSince)
    RefusedSince = Now;
}

bool MemberHealth::isSuspected(Time Now) const {
  return RefusedSince || (SilentSince && Now - *SilentSince >= Suspicion);
}

std::optional<Evidence> MemberHealth::evidence(Time Now) const {
  if (RefusedSince)
    return Evidence{true, Now - *RefusedSince};
  if (SilentSince)
    return Evidence{false, Now - *SilentSince};
  return std::nullopt;
}

} // namespace borageridge::pool
