#include "change/HeldSince.h"

namespace borageridge::change {

std::optional<Time> HeldSince::update(std::uint64_t Epoch, bool Holds,
                                      Time Now) {
  if (!Holds || Epoch != SeenIn)
    Since.reset();
  SeenIn = Epoch;
  if (Holds && !Since)
    Since = Now;
  return Since;
}

} // namespace borageridge::change
