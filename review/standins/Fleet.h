#ifndef BORAGERIDGE_REVIEW_FLEET_H
#define BORAGERIDGE_REVIEW_FLEET_H

#include "Record.h"

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace review {

/// The deployed daemons, each as a process on a loopback address of its own.
class Fleet {
public:
  struct Settings {
    /// The first three numbers of the addresses of the daemons.
    std::string Subnet;
    /// Addresses of the store and of the promotion call.
    std::string Store;
    std::string Promotion;
    std::string Folder;
    std::size_t Daemons = 3;
  };

  Fleet(Settings Wanted, Record &Log);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void start(std::size_t Daemon);
  void signal(std::size_t Daemon, int Number);
  /// Waits for the end of a process that was told to end.
  void wait(std::size_t Daemon);
  /// Ends all daemons and this process, whose stand-ins still run in threads.
  [[noreturn]] void finish(int Result);
  /// Whether all daemons report that they are ready.
  bool waitUntilReady(Milliseconds Limit);
  std::size_t size() const { return Given.Daemons; }
  std::string ip(std::size_t Daemon) const;
  std::uint16_t frontend() const { return Frontend; }
  /// The first of two ports that daemons use among themselves.
  std::uint16_t internal() const { return Internal; }
  void setProxies(std::vector<std::string> Stores,
                  std::vector<std::string> Peers);

private:
  void stopAll();
  void writeSettings(std::size_t Daemon) const;

  Settings Given;
  /// By daemon, if it reaches the store through a proxy.
  std::vector<std::string> StoreProxies;
  /// By daemon, if its peers reach it through a proxy.
  std::vector<std::string> PeerProxies;
  Record &Log;
  std::uint16_t Frontend = 0;
  std::uint16_t Readiness = 0;
  std::uint16_t Control = 0;
  std::uint16_t Internal = 0;
  std::vector<pid_t> Processes;
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_FLEET_H
