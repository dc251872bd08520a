#include "admission/ConnectionShare.h"

#include <algorithm>
#include <cmath>

namespace borageridge::admission {

std::uint32_t share(std::uint32_t ConnectionsPerMember,
                    std::uint32_t MaxProxies) {
  const std::uint32_t Divisor = std::max<std::uint32_t>(MaxProxies, 1);
  return std::max<std::uint32_t>(ConnectionsPerMember / Divisor, 1);
}

std::uint32_t readsOnPrimary(std::uint32_t Share, double PrimaryWriteReserve) {
  // Keeps products such as 10 * 0.3 from being rounded up to the next integer.
  constexpr double Rounding = 1e-9;
  const double Reserve = std::clamp(PrimaryWriteReserve, 0.0, 1.0);
  if (Share <= 1)
    return Reserve < 1.0 ? Share : 0;
  const double Reserved = std::ceil(Share * Reserve - Rounding);
  return Share - std::clamp(static_cast<std::uint32_t>(Reserved), 1U, Share);
}

} // namespace borageridge::admission
