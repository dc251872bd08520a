#include "runtime/SharedCheck.h"

#include <exception>

namespace borageridge::runtime {

Task<bool> SharedCheck::run(Duration Limit) {
  const auto Self = std::make_shared<Waiter>(Io);
  Waiting.push_back(Self);
  if (!Running) {
    Running = true;
    spawn(Io, runRounds());
  }
  co_await Self->Done.wait(Limit);
  Self->HasLeft = true;
  co_return Self->Result;
}

void SharedCheck::endWaits() {
  for (const auto &Each : Waiting)
    Each->Done.notify();
  for (const auto &Each : Served)
    Each->Done.notify();
}

Task<void> SharedCheck::runRounds() {
  for (;;) {
    std::erase_if(Waiting, [](const auto &Each) { return Each->HasLeft; });
    if (Waiting.empty())
      break;
    Served = std::exchange(Waiting, {});
    std::optional<bool> Result;
    try {
      Result = co_await RunRound();
    } catch (const std::exception &Error) {
      OnError(Error.what());
    }
    if (Result) {
      for (const auto &Each : Served) {
        Each->Result = *Result;
        Each->Done.notify();
      }
      Served.clear();
      continue;
    }
    Waiting.insert(Waiting.end(), Served.begin(), Served.end());
    Served.clear();
    co_await sleepFor(Delay);
  }
  Running = false;
}

} // namespace borageridge::runtime
