#ifndef BORAGERIDGE_LOAD_LATENCYHISTOGRAM_H
#define BORAGERIDGE_LOAD_LATENCYHISTOGRAM_H

#include "borageridge/Types.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace borageridge::load {

/// Latencies from 1 us to 1000 s in bins that are 1% wide.
class LatencyHistogram {
public:
  LatencyHistogram();

  void record(Duration Latency);
  void merge(const LatencyHistogram &Other);

  std::uint64_t count() const { return Count; }
  /// Largest recorded latency in milliseconds, exact; 0 if there is none.
  double maxMs() const;
  /// Upper bound in milliseconds of the latency that the given share of
  /// requests (0 to 1) did not exceed, at most 1% too high; 0 if there is none.
  double percentileMs(double Share) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<
      std::tuple<Axis>,
      boost::histogram::storage_adaptor<std::vector<std::uint64_t>>>;

  Histogram Bins;
  std::uint64_t Count = 0;
  Duration Max{};
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_LATENCYHISTOGRAM_H
