#ifndef BORAGERIDGE_SOAK_TROUBLE_H
#define BORAGERIDGE_SOAK_TROUBLE_H

#include "Daemons.h"
#include "Platform.h"

#include <atomic>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace soak {

/// Seeded series of trouble, which overlap. Each kind draws its own series, so
/// that leaving one out does not change the others.
class Trouble {
public:
  /// Releases of primaries, and ends of the daemons that call for promotions
  /// and of their successors; single daemons; all daemons at once; members;
  /// late writes to the store; calls for promotions that are late or lost.
  static const std::set<std::string> &kinds();

  struct Parts {
    std::vector<Members *> Groups;
    Daemons &Fleet;
    Platform &Promotions;
    review::Store &Registry;
    review::Record &Log;
    std::uint64_t Seed = 1;
    std::set<std::string> Kinds;
    /// If set, every call for a promotion is executed that late.
    Milliseconds PromotionDelay{0};
  };

  explicit Trouble(Parts Given);

  /// Begins no more trouble and waits until all of it has ended.
  void end();
  /// Number of faults so far, by kind.
  std::string summary();

private:
  using Series = void (Trouble::*)(Random &);

  void begin(const std::string &Kind, std::uint64_t Number, Series Run);
  void releasePrimaries(Random &Choices);
  void endCoordinators(Random &Choices);
  void troubleDaemons(Random &Choices);
  void troubleFleet(Random &Choices);
  void troubleMembers(Random &Choices);
  void troubleStore(Random &Choices);
  void troublePlatform(Random &Choices);
  void hitDaemon(Random &Choices, std::size_t Daemon);

  void release(Members &Group, Milliseconds Time);
  /// Runs one fault in a thread of its own.
  void inject(const std::string &Kind, const std::string &Detail,
              std::function<void()> Fault);
  /// Returns false once the trouble ends.
  bool pause(Milliseconds Time);

  Parts Given;
  std::atomic<bool> Ending = false;
  std::mutex Lock;
  std::map<std::string, std::size_t> Count;
  std::vector<std::thread> Threads;
  std::vector<std::thread> Injected;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_TROUBLE_H
