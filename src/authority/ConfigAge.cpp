#include "authority/ConfigAge.h"

#include <algorithm>

namespace borageridge::authority {

// An earlier confirmation stays valid: it states that all revocations up to its
// time are known, and the newer version contains them too.
void ConfigAge::apply(std::uint64_t Version) {
  Applied = Version;
  if (Pending == Version && Version != 0)
    confirm(PendingAt, Version);
}

// An older version says nothing: the store may have been restored from a copy,
// or the peer that reports it is late. The same holds for the applied version
// once a newer one is known.
void ConfigAge::confirm(Time AskedAt, std::uint64_t Version) {
  if (Version == Applied && Version != 0 && Pending <= Applied) {
    ConfirmedAt = std::max(ConfirmedAt.value_or(AskedAt), AskedAt);
  } else if (Version > Applied && Version >= Pending) {
    PendingAt = Version == Pending ? std::max(PendingAt, AskedAt) : AskedAt;
    Pending = Version;
  }
}

std::optional<Duration> ConfigAge::age(Time Now) const {
  if (!ConfirmedAt)
    return std::nullopt;
  return Now - *ConfirmedAt;
}

} // namespace borageridge::authority
