#ifndef BORAGERIDGE_ADMISSION_STARTFORECAST_H
#define BORAGERIDGE_ADMISSION_STARTFORECAST_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace borageridge::admission {

/// Forecasts how many queued requests can still start within a limited time.
/// Counts only the pace at which requests left the queue while others waited
/// all the time, which shows what the endpoints can take.
class StartForecast {
public:
  /// To be called several times within Window. Started: number of requests that
  /// have left the queue to run so far. Backlogged: whether requests wait
  /// because the endpoints are busy.
  void sample(Time Now, std::uint64_t Started, bool Backlogged);

  /// Returns the largest number of queued requests that can be expected to
  /// start within Left; none if the pace is not known.
  std::optional<std::size_t> startsWithin(Duration Left) const;

  /// Time over which the pace is measured.
  static constexpr Duration Window = std::chrono::seconds(1);

private:
  struct Sample {
    Time At;
    std::uint64_t Started;
  };
  std::deque<Sample> Recent;
};

} // namespace borageridge::admission

#endif // BORAGERIDGE_ADMISSION_STARTFORECAST_H
