#include "pool/LatencyEstimate.h"

namespace borageridge::pool {

void LatencyEstimate::add(Duration Sample) {
  const Duration Error = Sample - Mean;
  Mean += Error / MeanGain;
  Deviation += (std::chrono::abs(Error) - Deviation) / DeviationGain;
}

} // namespace borageridge::pool
