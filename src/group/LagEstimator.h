#ifndef BORAGERIDGE_GROUP_LAGESTIMATOR_H
#define BORAGERIDGE_GROUP_LAGESTIMATOR_H

#include "borageridge/Types.h"

#include <optional>

namespace borageridge::group {

/// Estimates the smoothed time from a commit on the primary to its application
/// on a replica. The estimate only decides whether and how long a read waits,
/// never whether a replica is fresh enough.
class LagEstimator {
public:
  void primaryCommitted(LogIndex Index, Time Now);
  void replicaApplied(LogIndex Index, Time Now);

  Duration estimate(Time Now) const;

private:
  struct Target {
    LogIndex Index = 0;
    Time Since;
  };

  std::optional<Target> Pending;
  LogIndex Applied = 0;
  Duration Smoothed = Duration::zero();
};

} // namespace borageridge::group

#endif // BORAGERIDGE_GROUP_LAGESTIMATOR_H
