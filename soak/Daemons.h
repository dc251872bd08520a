#ifndef BORAGERIDGE_SOAK_DAEMONS_H
#define BORAGERIDGE_SOAK_DAEMONS_H

#include "Judge.h"

#include <standins/Fleet.h>
#include <standins/Link.h>

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace soak {

/// The daemons under test, each of which reaches the store and is reached by
/// its peers through links. Calls block for as long as the trouble lasts;
/// thread-safe, and trouble of one process does not overlap.
class Daemons {
public:
  Daemons(review::Fleet &Processes, const std::string &Subnet,
          const std::string &StoreIp, std::uint16_t StorePort, Judge &Output);

  /// Starts all daemons. Returns whether they are ready in time.
  bool startAll(Milliseconds Limit);
  std::size_t size() const { return Processes.size(); }

  /// Ends the process by SIGTERM or SIGKILL and starts it again.
  void restart(std::size_t Daemon, int Signal);
  void restartAll();
  void freeze(std::size_t Daemon, Milliseconds Time);
  void cutFromStore(std::size_t Daemon, Milliseconds Time);
  void cutAllFromStore(Milliseconds Time);
  /// One way: its peers do not reach it.
  void cutFromPeers(std::size_t Daemon, Milliseconds Time);

private:
  struct Way {
    std::unique_ptr<review::Link> Open;
    int Cuts = 0;
  };
  struct Process {
    std::mutex Busy;
    Way Store;
    std::array<Way, 2> Peers;
  };

  void change(Way &Link, int Cuts);
  void start(std::size_t Daemon);
  [[noreturn]] void startOnDemand();

  review::Fleet &Processes;
  Judge &Rule;
  std::mutex Lock;
  std::vector<std::unique_ptr<Process>> All;
  std::condition_variable StartsChanged;
  /// Daemons that are to be started.
  std::set<std::size_t> Starts;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_DAEMONS_H
