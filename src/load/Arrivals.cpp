#include "load/Arrivals.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageridge::load {

PoissonArrivals::PoissonArrivals(double Rate, std::vector<RatePeriod> Changes,
                                 std::uint64_t Seed)
    : PeakRate(Rate), PeakFactor(1), Periods(std::move(Changes)), Random(Seed) {
  for (const RatePeriod &Period : Periods)
    PeakFactor = std::max(PeakFactor, Period.Factor);
  PeakRate *= PeakFactor;
  advance();
}

void PoissonArrivals::advance() {
  if (PeakRate <= 0) {
    Next = Duration::max();
    return;
  }
  // Thinning: arrivals at the peak rate are kept with the probability that the
  // present rate has of the peak. This is exact for rates that change by steps.
  std::exponential_distribution<double> Gap(PeakRate);
  std::uniform_real_distribution<double> Kept(0, PeakFactor);
  do {
    const std::chrono::duration<double> Seconds(Gap(Random));
    Next += std::chrono::duration_cast<Duration>(Seconds);
  } while (Kept(Random) >= factorAt(Next));
}

double PoissonArrivals::factorAt(Duration At) const {
  for (const RatePeriod &Period : Periods)
    if (At >= Period.From && At < Period.To)
      return Period.Factor;
  return 1;
}

} // namespace borageridge::load
