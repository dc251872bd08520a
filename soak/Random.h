#ifndef BORAGERIDGE_SOAK_RANDOM_H
#define BORAGERIDGE_SOAK_RANDOM_H

#include <standins/Net.h>

#include <cstdint>
#include <random>
#include <vector>

namespace soak {

using review::Milliseconds;

/// A seeded series of choices. Used by one thread.
class Random {
public:
  Random(std::uint64_t Seed, std::uint64_t Series)
      : Engine(Seed * 1000003 + Series) {}

  std::size_t below(std::size_t Count) { return Engine() % Count; }
  bool chance(unsigned Percent) { return below(100) < Percent; }
  Milliseconds between(Milliseconds Least, Milliseconds Most) {
    const auto Span = static_cast<std::size_t>((Most - Least).count() + 1);
    return Least + Milliseconds(static_cast<std::int64_t>(below(Span)));
  }

private:
  std::mt19937_64 Engine;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_RANDOM_H
