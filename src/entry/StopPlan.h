#ifndef BORAGERIDGE_ENTRY_STOPPLAN_H
#define BORAGERIDGE_ENTRY_STOPPLAN_H

#include "borageridge/Types.h"

#include <cstddef>

namespace borageridge::entry {

/// Phases of a planned stop, in the order in which they are entered.
enum class StopPhase {
  /// Not ready; serves all sessions and accepts new ones, until the load
  /// balancer has noticed.
  Announce,
  /// Closes idle sessions, and others after the answer to their statement;
  /// still accepts new ones, which a load balancer sends if it has no other
  /// daemon.
  Drain,
  /// Accepts no more sessions and lets those that are open finish.
  Finish,
  /// Nothing is open, or the time is over: the process ends.
  End,
};

/// Decides how a stop proceeds, so that no request that was read goes without
/// an answer while the time limit lasts.
class StopPlan {
public:
  /// Limit: time after Start at which the process is killed.
  StopPlan(Time Start, Duration Limit);

  /// Returns the phase for the number of open sessions and other tasks for
  /// which the process has to stay. Phases never go back, so that the caller
  /// may act when the phase changes.
  StopPhase update(Time Now, std::size_t Open);

  /// Time until the next call of update: soon, and no later than the latest
  /// answer and the limit.
  Duration untilNextUpdate(Time Now) const;

  /// Whether open transactions that wait for their caller are rolled back.
  /// Their sessions stay open for a while, so that a statement under way is
  /// answered.
  bool abortsTransactions(Time Now) const;
  /// Whether a session is closed whose transaction was aborted at AbortedAt and
  /// that still waits for its caller.
  static bool closesTransaction(Time AbortedAt, Time Now);
  /// Time by which each statement that no member runs must be answered, so that
  /// none waits when the process ends.
  Time latestAnswer() const;
  /// Time until which the replies of members are awaited.
  Time latestReply() const;
  /// Time at which the process ends even if answers are still being written.
  Time end() const;

private:
  bool hasPassed(Time Now, Duration Since) const {
    return Now - Start >= Since;
  }

  Time Start;
  Duration Limit;
  StopPhase Phase = StopPhase::Announce;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STOPPLAN_H
