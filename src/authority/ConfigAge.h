#ifndef BORAGERIDGE_AUTHORITY_CONFIGAGE_H
#define BORAGERIDGE_AUTHORITY_CONFIGAGE_H

#include "borageridge/Types.h"

#include <cstdint>
#include <optional>

namespace borageridge::authority {

/// The latest time at which the applied version of the configuration is known
/// to have been the newest. Every revocation that was acknowledged before that
/// time is in force here. All times must come from a clock that also advances
/// while the machine is suspended.
class ConfigAge {
public:
  /// Records the version that is applied now.
  void apply(std::uint64_t Version);

  /// Records that Version was the newest at AskedAt or later, when the question
  /// was sent whose answer showed it.
  void confirm(Time AskedAt, std::uint64_t Version);

  /// Time since the applied version is known to have been the newest; none if
  /// that was never known.
  std::optional<Duration> age(Time Now) const;

private:
  std::uint64_t Applied = 0;
  std::optional<Time> ConfirmedAt;
  /// A version that is known to be newer than the applied one, and when it was
  /// the newest.
  std::uint64_t Pending = 0;
  Time PendingAt;
};

} // namespace borageridge::authority

#endif // BORAGERIDGE_AUTHORITY_CONFIGAGE_H
