#include "Daemons.h"

#include <csignal>
#include <thread>

namespace soak {
namespace {

// grace_s of the sites.
constexpr Milliseconds Grace(6000);
constexpr Milliseconds RestartDelay(500);
constexpr Milliseconds FreezeStep(50);

} // namespace

Daemons::Daemons(review::Fleet &Given, const std::string &Subnet,
                 const std::string &StoreIp, std::uint16_t StorePort,
                 Judge &Output)
    : Processes(Given), Rule(Output) {
  std::vector<std::string> Stores;
  std::vector<std::string> Peers;
  for (std::size_t I = 0; I < Processes.size(); ++I) {
    auto Self = std::make_unique<Process>();
    Self->Store.Open =
        std::make_unique<review::Link>(StoreIp, 0, StoreIp, StorePort);
    Stores.push_back(Self->Store.Open->address());
    Peers.push_back(Subnet + "." + std::to_string(I + 51));
    std::uint16_t Port = Processes.internal();
    for (Way &Peer : Self->Peers) {
      Peer.Open = std::make_unique<review::Link>(Peers.back(), Port,
                                                 Processes.ip(I), Port);
      ++Port;
    }
    All.push_back(std::move(Self));
  }
  Processes.setProxies(Stores, Peers);
  std::thread([this] { startOnDemand(); }).detach();
}

bool Daemons::startAll(Milliseconds Limit) {
  for (std::size_t I = 0; I < size(); ++I)
    Processes.start(I);
  return Processes.waitUntilReady(Limit);
}

// A process is ended when the thread that has started it ends.
void Daemons::startOnDemand() {
  for (;;) {
    std::unique_lock Guard(Lock);
    StartsChanged.wait(Guard, [this] { return !Starts.empty(); });
    const std::size_t Next = *Starts.begin();
    Processes.start(Next);
    Starts.erase(Next);
    StartsChanged.notify_all();
  }
}

void Daemons::start(std::size_t Daemon) {
  std::unique_lock Guard(Lock);
  Starts.insert(Daemon);
  StartsChanged.notify_all();
  StartsChanged.wait(Guard, [&] { return !Starts.contains(Daemon); });
}

void Daemons::restart(std::size_t Daemon, int Signal) {
  const std::unique_lock Guard(All[Daemon]->Busy, std::try_to_lock);
  if (!Guard.owns_lock())
    return;
  Processes.signal(Daemon, Signal);
  if (Signal != SIGKILL) {
    std::this_thread::sleep_for(Grace);
    Processes.signal(Daemon, SIGKILL);
  }
  Processes.wait(Daemon);
  std::this_thread::sleep_for(RestartDelay);
  start(Daemon);
}

void Daemons::restartAll() {
  std::vector<std::thread> Each;
  for (std::size_t I = 0; I < size(); ++I)
    Each.emplace_back([this, I] { restart(I, SIGKILL); });
  for (std::thread &One : Each)
    One.join();
}

void Daemons::freeze(std::size_t Daemon, Milliseconds Time) {
  const std::unique_lock Guard(All[Daemon]->Busy, std::try_to_lock);
  if (!Guard.owns_lock())
    return;
  const Clock::time_point End = Clock::now() + Time;
  Processes.signal(Daemon, SIGSTOP);
  while (Clock::now() < End) {
    Rule.noteFrozen(Daemon);
    std::this_thread::sleep_for(FreezeStep);
  }
  Rule.noteFrozen(Daemon);
  Processes.signal(Daemon, SIGCONT);
}

void Daemons::change(Way &Link, int Cuts) {
  const std::lock_guard Guard(Lock);
  Link.Cuts += Cuts;
  Link.Open->setCut(Link.Cuts > 0);
}

void Daemons::cutFromStore(std::size_t Daemon, Milliseconds Time) {
  change(All[Daemon]->Store, 1);
  std::this_thread::sleep_for(Time);
  change(All[Daemon]->Store, -1);
}

void Daemons::cutAllFromStore(Milliseconds Time) {
  for (const auto &Each : All)
    change(Each->Store, 1);
  std::this_thread::sleep_for(Time);
  for (const auto &Each : All)
    change(Each->Store, -1);
}

void Daemons::cutFromPeers(std::size_t Daemon, Milliseconds Time) {
  for (Way &Peer : All[Daemon]->Peers)
    change(Peer, 1);
  std::this_thread::sleep_for(Time);
  for (Way &Peer : All[Daemon]->Peers)
    change(Peer, -1);
}

} // namespace soak
