#include "database/ServerCore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace borageridge::database {

namespace {

// Precision of transaction time limits.
constexpr std::chrono::milliseconds TickInterval{10};
constexpr int TicksPerListenerTick = 20;
// Precision of the apply lag.
constexpr std::chrono::milliseconds ApplyPoll{2};
constexpr std::chrono::milliseconds IdleApplyPoll{100};

Time now() { return std::chrono::steady_clock::now(); }

} // namespace

ServerCore::ServerCore(ServerOptions ServerOptions)
    : Options(std::move(ServerOptions)),
      Pool(Options.ConnectionLimit + ExtraThreads),
      Node(std::make_unique<Member>(Options.Storage, Switches,
                                    [this] { notify(); })) {
  Started = true;
  ApplyThread = std::thread([this] { runApply(); });
  TickThread = std::thread([this] { runTicks(); });
}

ServerCore::~ServerCore() {
  stop();
  ApplyThread.join();
  TickThread.join();
  Pool.join();
}

endpoint::MemberStatus ServerCore::status() const {
  endpoint::MemberStatus Status = Node->status();
  Status.set_open_connections(OpenConnections);
  Status.set_connection_limit(Options.ConnectionLimit);
  Status.set_leaving(Switches.leaving());
  Status.set_slots(static_cast<std::uint32_t>(Options.Storage.Slots));
  return Status;
}

void ServerCore::post(Action Work) { boost::asio::post(Pool, std::move(Work)); }

void ServerCore::after(Duration Delay, Action Work) {
  if (Delay <= Duration::zero() || Stopping)
    return Work();
  auto Timer = std::make_shared<boost::asio::steady_timer>(Pool, Delay);
  Timer->async_wait([Timer, Work = std::move(Work)](const auto &) { Work(); });
}

void ServerCore::whenReachable(Action Work) {
  {
    const absl::MutexLock Lock(&Mutex);
    if (Switches.cutOff() && !Stopping) {
      Held.push_back(std::move(Work));
      return;
    }
  }
  Work();
}

void ServerCore::setFaults(const control::Faults &Change) {
  {
    const absl::MutexLock Lock(&Mutex);
    Switches.set(Change);
  }
  if (!Switches.cutOff())
    releaseHeld();
  notify();
}

void ServerCore::releaseHeld() {
  std::vector<Action> Released;
  {
    const absl::MutexLock Lock(&Mutex);
    Released.swap(Held);
  }
  for (auto &Work : Released)
    post(std::move(Work));
}

void ServerCore::notify() {
  if (!Started)
    return;
  {
    const absl::MutexLock Lock(&Mutex);
    ApplyWanted = true;
  }
  for (const auto &Each : listeners())
    Each->changed();
}

void ServerCore::add(const std::shared_ptr<Listener> &New) {
  const absl::MutexLock Lock(&Mutex);
  std::erase_if(Listeners, [](const auto &Each) { return Each.expired(); });
  Listeners.push_back(New);
}

std::vector<std::shared_ptr<Listener>> ServerCore::listeners() {
  std::vector<std::shared_ptr<Listener>> Alive;
  const absl::MutexLock Lock(&Mutex);
  for (const auto &Each : Listeners)
    if (auto Found = Each.lock())
      Alive.push_back(std::move(Found));
  return Alive;
}

void ServerCore::stop() {
  {
    const absl::MutexLock Lock(&Mutex);
    Stopping = true;
    ApplyWanted = true;
  }
  releaseHeld();
}

void ServerCore::runApply() {
  while (!Stopping) {
    if (Node->applyDue(now()) > 0)
      continue;
    const bool Lagging = Switches.applyLag() > Duration::zero();
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(
        absl::Condition(&ApplyWanted),
        absl::FromChrono(Lagging ? ApplyPoll : IdleApplyPoll));
    ApplyWanted = false;
  }
}

void ServerCore::runTicks() {
  for (int Count = 1; !Stopping; ++Count) {
    std::this_thread::sleep_for(TickInterval);
    Node->expire(now());
    if (Count % TicksPerListenerTick == 0)
      for (const auto &Each : listeners())
        Each->tick();
  }
}

} // namespace borageridge::database
