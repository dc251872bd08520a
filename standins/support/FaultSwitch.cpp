#include "standins/support/FaultSwitch.h"

namespace borageridge::standins {

void FaultSwitch::set(const control::Faults &Change) {
  const std::lock_guard Lock(Mutex);
  Present.MergeFrom(Change);
  if (!Change.has_silence_open_connections())
    return;
  if (Change.silence_open_connections())
    Silenced.insert(Peers.begin(), Peers.end());
  else
    Silenced.clear();
}

CallFate FaultSwitch::onCall(std::string_view Peer) {
  const std::lock_guard Lock(Mutex);
  Peers.emplace(Peer);
  if (Present.down())
    return CallFate::Refuse;
  if (silentLocked(Peer))
    return CallFate::Drop;
  return CallFate::Answer;
}

bool FaultSwitch::losesAnswer(CallEffect Effect) {
  const std::lock_guard Lock(Mutex);
  if (Effect == CallEffect::ChangesState && Present.lose_answers() > 0) {
    Present.set_lose_answers(Present.lose_answers() - 1);
    ++Counters["lost_answers"];
    return true;
  }
  if (Present.lose_permille() > 0 &&
      absl::Uniform(Random, 0U, 1000U) < Present.lose_permille()) {
    ++Counters["lost_answers"];
    return true;
  }
  return false;
}

bool FaultSwitch::isSilent(std::string_view Peer) const {
  const std::lock_guard Lock(Mutex);
  return silentLocked(Peer);
}

bool FaultSwitch::silentLocked(std::string_view Peer) const {
  return Present.cut_off() || Silenced.contains(Peer);
}

bool FaultSwitch::isDown() const {
  const std::lock_guard Lock(Mutex);
  return Present.down();
}

std::chrono::milliseconds FaultSwitch::delay() const {
  const std::lock_guard Lock(Mutex);
  return std::chrono::milliseconds(Present.delay_ms());
}

std::chrono::milliseconds FaultSwitch::listLag() const {
  const std::lock_guard Lock(Mutex);
  return std::chrono::milliseconds(Present.list_lag_ms());
}

void FaultSwitch::count(const std::string &Counter) {
  const std::lock_guard Lock(Mutex);
  ++Counters[Counter];
}

void FaultSwitch::setCounter(const std::string &Counter, std::uint64_t Value) {
  const std::lock_guard Lock(Mutex);
  Counters[Counter] = Value;
}

control::Counters FaultSwitch::counters() const {
  const std::lock_guard Lock(Mutex);
  control::Counters Copy;
  Copy.mutable_counters()->insert(Counters.begin(), Counters.end());
  return Copy;
}

} // namespace borageridge::standins
