#ifndef BORAGERIDGE_RUNTIME_SHAREDCHECK_H
#define BORAGERIDGE_RUNTIME_SHAREDCHECK_H

#include "runtime/Async.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace borageridge::runtime {

/// Runs a check for many coroutines, one round at a time. A round serves only
/// the coroutines that waited when it began, so that what it sees is newer than
/// what they did before. Must outlive its rounds.
class SharedCheck {
public:
  /// Returns none if a round had no result and is to be repeated.
  using Round = std::function<Task<std::optional<bool>>()>;

  using ErrorHandler = std::function<void(std::string_view)>;

  /// OnError is told of an exception that ends a round, which then has no
  /// result.
  SharedCheck(asio::io_context &Context, Round Check, Duration RepeatDelay,
              ErrorHandler Handler)
      : Io(Context), RunRound(std::move(Check)), Delay(RepeatDelay),
        OnError(std::move(Handler)) {}

  /// Returns the result of a round that begins after this call, or false if
  /// there is none within Limit.
  Task<bool> run(Duration Limit);

  /// Ends all calls of run in progress, without a result.
  void endWaits();

private:
  struct Waiter {
    explicit Waiter(asio::io_context &Io) : Done(Io) {}
    Event Done;
    bool Result = false;
    bool HasLeft = false;
  };

  Task<void> runRounds();

  asio::io_context &Io;
  Round RunRound;
  Duration Delay;
  ErrorHandler OnError;
  std::vector<std::shared_ptr<Waiter>> Waiting;
  /// Those that waited when the present round began.
  std::vector<std::shared_ptr<Waiter>> Served;
  bool Running = false;
};

} // namespace borageridge::runtime

#endif // BORAGERIDGE_RUNTIME_SHAREDCHECK_H
