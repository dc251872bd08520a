#ifndef BORAGERIDGE_POOL_LATENCYESTIMATE_H
#define BORAGERIDGE_POOL_LATENCYESTIMATE_H

#include "borageridge/Types.h"

namespace borageridge::pool {

/// Smoothed latency and its mean deviation, as TCP estimates its
/// retransmission time-out.
class LatencyEstimate {
public:
  void add(Duration Sample);
  Duration mean() const { return Mean; }
  /// Nearly all answers come within this time.
  Duration limit() const { return Mean + DeviationFactor * Deviation; }

private:
  static constexpr int DeviationFactor = 4;
  static constexpr int MeanGain = 8;
  static constexpr int DeviationGain = 4;
  Duration Mean{};
  Duration Deviation{};
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_LATENCYESTIMATE_H
