#ifndef BORAGERIDGE_SOAK_JUDGE_H
#define BORAGERIDGE_SOAK_JUDGE_H

#include <standins/Record.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace soak {

using review::Clock;
using review::Milliseconds;

/// Checks rule ONE from what members and callers see: no write that a member
/// commits after another one has taken over is acknowledged. Thread-safe.
class Judge {
public:
  Judge(std::size_t Daemons, std::size_t Services, review::Record &Output)
      : Log(Output), LastFrozen(Daemons),
        LastAnswered(Daemons, std::vector<Clock::time_point>(Services)) {}

  /// A member has committed the write although another one leads a newer term.
  void commitAtOldPrimary(const std::string &Member, const std::string &Write);
  void acknowledge(std::size_t Daemon, std::size_t Service,
                   const std::string &Write);
  /// The daemon is or has just been frozen. Writes that it sent until shortly
  /// afterwards count as excused.
  void noteFrozen(std::size_t Daemon);

  /// Whether every daemon has had a write of each service acknowledged since
  /// From. Says in the log which ones have not.
  bool allServedSince(Clock::time_point From);
  std::size_t broken();
  std::string summary();

private:
  struct Commit {
    std::string Member;
    Clock::time_point At;
  };

  review::Record &Log;
  std::mutex Lock;
  std::map<std::string, Commit> Superseded;
  std::vector<Clock::time_point> LastFrozen;
  std::vector<std::vector<Clock::time_point>> LastAnswered;
  std::size_t Acknowledged = 0;
  std::size_t Broken = 0;
  std::size_t Excused = 0;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_JUDGE_H
