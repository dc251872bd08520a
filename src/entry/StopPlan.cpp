#include "entry/StopPlan.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

constexpr Duration UpdateInterval = std::chrono::milliseconds(50);
// The load balancer checks readiness once a second and stops sending
// connections after two failed checks.
constexpr Duration LoadBalancerDetectionTime = std::chrono::milliseconds(2300);
// Time for the sessions that were accepted last: longer than a statement
// usually takes.
constexpr Duration FinishTime = std::chrono::milliseconds(1000);
// Time for the caller of an aborted transaction to send its next statement,
// which is answered with the abort.
constexpr Duration AbortNoticeTime = std::chrono::milliseconds(700);
// Time for the answers of all that waits to be written before the limit.
constexpr Duration AnswerReserve = std::chrono::milliseconds(150);
// Time after the limit within which replies are passed on, but for those of
// primaries, whose use has ended.
constexpr Duration LastRepliesTime = std::chrono::milliseconds(150);
// Time for the last answers to be written: one for each statement that a member
// has not answered.
constexpr Duration LastAnswersTime = std::chrono::milliseconds(100);
// Time left for the end of the lease and of the process before it is killed.
constexpr Duration EndReserve = std::chrono::milliseconds(400);

} // namespace

StopPlan::StopPlan(Time Begin, Duration KilledAfter)
    : Start(Begin), Limit(std::max(Duration(), KilledAfter - EndReserve)) {}

// The listener stays open while sessions are open, since the sessions then keep
// the process running anyway, and a connection that is served is better than
// one that is refused.
StopPhase StopPlan::update(Time Now, std::size_t Open) {
  const bool Idle = Open == 0;
  if (Phase == StopPhase::Announce &&
      hasPassed(Now, std::min(LoadBalancerDetectionTime, Limit / 2)))
    Phase = StopPhase::Drain;
  else if (Phase == StopPhase::Drain &&
           (Idle || hasPassed(Now, Limit - FinishTime)))
    Phase = StopPhase::Finish;
  else if (Phase == StopPhase::Finish && (Idle || hasPassed(Now, Limit)))
    Phase = StopPhase::End;
  return Phase;
}

Duration StopPlan::untilNextUpdate(Time Now) const {
  Duration Result = UpdateInterval;
  for (const Time Step : {latestAnswer(), Start + Limit})
    if (Now < Step)
      Result = std::min<Duration>(Result, Step - Now);
  return Result;
}

bool StopPlan::abortsTransactions(Time Now) const {
  return hasPassed(Now, (Limit + EndReserve) / 2);
}

bool StopPlan::closesTransaction(Time AbortedAt, Time Now) {
  return Now - AbortedAt >= AbortNoticeTime;
}

Time StopPlan::latestAnswer() const {
  return Start + std::max(Duration(), Limit - AnswerReserve);
}

Time StopPlan::latestReply() const { return Start + Limit + LastRepliesTime; }

Time StopPlan::end() const { return latestReply() + LastAnswersTime; }

} // namespace borageridge::entry
