#ifndef BORAGERIDGE_LOAD_ARRIVALS_H
#define BORAGERIDGE_LOAD_ARRIVALS_H

#include "borageridge/Types.h"

#include <cstdint>
#include <random>
#include <vector>

namespace borageridge::load {

/// Multiplies the rate of arrivals between two times of a run.
struct RatePeriod {
  Duration From{};
  Duration To{};
  double Factor = 1;
};

/// Arrival times of an open-loop Poisson process whose rate changes by
/// periods. Equal seeds give equal times. The times do not depend on how fast
/// requests are answered, so that a slow system cannot lower the offered load.
class PoissonArrivals {
public:
  /// Rate in arrivals per second. If it is 0, no arrival ever comes.
  PoissonArrivals(double Rate, std::vector<RatePeriod> Periods,
                  std::uint64_t Seed);

  /// Time of the next arrival since the start of the run.
  Duration next() const { return Next; }

  /// Moves on to the following arrival.
  void advance();

private:
  double factorAt(Duration At) const;

  double PeakRate;
  double PeakFactor;
  std::vector<RatePeriod> Periods;
  std::mt19937_64 Random;
  Duration Next{};
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_ARRIVALS_H
