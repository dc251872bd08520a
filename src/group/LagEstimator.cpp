#include "group/LagEstimator.h"

#include <algorithm>

namespace borageridge::group {

namespace {

// Weight of a new measurement is 1 / SmoothingDivisor.
constexpr int SmoothingDivisor = 8;

} // namespace

// Only one target is measured at a time. This bounds the state and still yields
// a measurement about once per lag.
void LagEstimator::primaryCommitted(LogIndex Index, Time Now) {
  if (!Pending && Index > Applied)
    Pending = Target{Index, Now};
}

void LagEstimator::replicaApplied(LogIndex Index, Time Now) {
  Applied = Index;
  if (!Pending || Index < Pending->Index)
    return;
  const Duration Measured = Now - Pending->Since;
  Pending.reset();
  Smoothed = Smoothed == Duration::zero()
                 ? Measured
                 : Smoothed + (Measured - Smoothed) / SmoothingDivisor;
}

Duration LagEstimator::estimate(Time Now) const {
  return Pending ? std::max(Smoothed, Now - Pending->Since) : Smoothed;
}

} // namespace borageridge::group
