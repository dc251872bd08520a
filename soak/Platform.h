#ifndef BORAGERIDGE_SOAK_PLATFORM_H
#define BORAGERIDGE_SOAK_PLATFORM_H

#include "Members.h"
#include "Random.h"

#include <condition_variable>
#include <map>
#include <optional>

namespace soak {

/// The platform's calls for promotions: each may be executed late, whether or
/// not its caller still waits, or be lost, as may its answer. Thread-safe.
class Platform {
public:
  /// How the calls of a time are treated.
  struct Treatment {
    /// Between reading and execution, drawn for each call.
    Milliseconds LeastDelay{0};
    Milliseconds MostDelay{0};
    /// Between the answer and the execution.
    Milliseconds EffectDelay{0};
    unsigned LostPercent = 0;
    unsigned AnswerLostPercent = 0;
  };

  Platform(std::vector<Members *> Groups, std::uint64_t Seed,
           review::Record &Log);

  void serve(review::Socket Connection);
  void setTreatment(const Treatment &Next);

  /// Number of calls so far.
  std::size_t count();
  /// Number of the daemon, from 0, that made the call after the first Known
  /// ones; none if there is none within Limit.
  std::optional<std::size_t> next(std::size_t Known, Milliseconds Limit);

private:
  /// Returns the status of the answer.
  int execute(const review::HttpRequest &Call);

  std::map<std::string, Members *> ByService;
  review::Record &Log;
  std::mutex Lock;
  std::condition_variable Called;
  Treatment Present;
  Random Choices;
  std::vector<std::size_t> Callers;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_PLATFORM_H
