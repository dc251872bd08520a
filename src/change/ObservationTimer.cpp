#include "change/ObservationTimer.h"

namespace borageridge::change {

std::optional<Time> ObservationTimer::update(std::uint64_t Epoch, bool Holds,
                                             Time Now) {
  if (!Holds || Epoch != ObservedEpoch)
    Since.reset();
  ObservedEpoch = Epoch;
  if (Holds && !Since)
    Since = Now;
  return Since;
}

} // namespace borageridge::change
