#ifndef REVIEW_STANDINS2_DAEMONS_H
#define REVIEW_STANDINS2_DAEMONS_H

#include "Net.h"
#include "Proxy.h"

#include <sys/types.h>

#include <memory>
#include <vector>

namespace standins {

/// The product's daemons, started with the command of the deploy file, each on
/// a loopback address of its own. Ends them when it is destroyed.
class Daemons {
public:
  struct Options {
    int Count = 3;
    std::string StoreAddress;
    std::string PromotionAddress;
    int MemoryMb = 260;
    int DrainMs = 7000;
    int GraceS = 6;
    int MaxFds = 4200;
    int Zones = 3;
    /// Whether daemons reach each other through proxies.
    bool Interposed = false;
  };

  Daemons(Options Wanted, Record &Log);
  ~Daemons();

  void start(int Index);
  /// Sends a signal to the process; after SIGKILL, waits for its end.
  void signal(int Index, int Number);
  bool isReady(int Index);
  /// Waits until all are ready.
  bool waitUntilReady(Milliseconds Limit);
  Stream connect(int Index);
  /// Whether the process has ended by itself.
  bool hasEnded(int Index);
  /// Memory that the process holds, in MB; 0 if it has ended.
  int memoryMb(int Index);
  int count() const { return Given.Count; }
  /// The proxy on the way of forwarded sessions to a daemon, if interposed.
  Proxy &forwardingProxy(int Index) {
    return *Proxies[static_cast<std::size_t>(2 * Index + 1)];
  }

private:
  std::string ipOf(int Index) const;
  /// The address at which other daemons reach it.
  std::string publicIpOf(int Index) const;

  Options Given;
  Record &Log;
  std::string Directory;
  std::vector<pid_t> Processes;
  std::uint16_t Ports = 0;
  std::vector<std::unique_ptr<Proxy>> Proxies;
};

/// A loopback address for the platform that other runs are unlikely to use.
std::string platformIp();

} // namespace standins

#endif // REVIEW_STANDINS2_DAEMONS_H
