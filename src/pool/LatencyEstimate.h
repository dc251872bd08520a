#ifndef BORAGERIDGE_POOL_LATENCYESTIMATE_H
#define BORAGERIDGE_POOL_LATENCYESTIMATE_H

#include "borageridge/Types.h"

namespace borageridge::pool {

/// Smoothed latency and mean deviation, computed as in TCP's retransmission
/// timeout (RFC 6298).
class LatencyEstimate {
public:
  void add(Duration Sample);
  Duration mean() const { return Mean; }
  /// Upper bound within which nearly all replies arrive.
  Duration upperBound() const { return Mean + DeviationFactor * Deviation; }

private:
  static constexpr int DeviationFactor = 4;
  static constexpr int MeanGain = 8;
  static constexpr int DeviationGain = 4;
  Duration Mean{};
  Duration Deviation{};
};

} // namespace borageridge::pool

#endif // BORAGERIDGE_POOL_LATENCYESTIMATE_H
