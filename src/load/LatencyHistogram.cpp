#include "load/LatencyHistogram.h"

#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace borageridge::load {

namespace {

constexpr double LowestMs = 0.001;
constexpr double HighestMs = 1e6;

/// Number of bins of 1% width between the lowest and the highest latency.
unsigned binCount() {
  return unsigned(std::ceil(std::log(HighestMs / LowestMs) / std::log(1.01)));
}

double milliseconds(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : Bins(std::make_tuple(Axis(binCount(), LowestMs, HighestMs))) {}

void LatencyHistogram::record(Duration Latency) {
  Bins(std::clamp(milliseconds(Latency), LowestMs, HighestMs * 0.999));
  Max = std::max(Max, Latency);
  ++Count;
}

void LatencyHistogram::merge(const LatencyHistogram &Other) {
  Bins += Other.Bins;
  Max = std::max(Max, Other.Max);
  Count += Other.Count;
}

double LatencyHistogram::maxMs() const { return milliseconds(Max); }

double LatencyHistogram::percentileMs(double Share) const {
  if (Count == 0)
    return 0;
  const auto Wanted = std::max<std::uint64_t>(
      1, std::uint64_t(std::ceil(Share * double(Count))));
  const auto &Scale = Bins.axis(0);
  std::uint64_t Sum = 0;
  for (int I = 0; I < Scale.size(); ++I) {
    Sum += Bins.at(I);
    if (Sum >= Wanted)
      return std::min(Scale.bin(I).upper(), maxMs());
  }
  return maxMs();
}

} // namespace borageridge::load
