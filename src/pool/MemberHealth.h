#ifndef BORAGERIDGE_POOL_MEMBERHEALTH_H
#define BORAGERIDGE_POOL_MEMBERHEALTH_H

#include "borageridge/Types.h"

#include <optional>

namespace borageridge::pool {

/// What one daemon has observed of a member that does not answer.
struct Evidence {
  /// Connections are refused: the process is not running.
  bool Refused = false;
  Duration Lasted{};

  friend bool operator==(const Evidence &, const Evidence &) = default;
};

/// Whether a member answers, from all traffic with it.
class MemberHealth {
public:
  /// A member without answers gets no work after this time.
  static constexpr Duration Suspicion = std::chrono::milliseconds(450);

  /// Anything came from the member.
  void answered(Time Now);
  /// A request that takes no time to answer was sent and not answered, or a
  /// connection could not be made, since Start.
  void unanswered(Time Start);
  void refused(Time Now);

  bool isSuspected(Time Now) const;
  std::optional<Evidence> evidence(Time Now) const;
  Time lastAnswer() const { return LastAnswer; }

private:
  Time LastAnswer;
  std::optional<Time> SilentSince;
  std::optional<Time> RefusedSince;
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_MEMBERHEALTH_H
