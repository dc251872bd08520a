#ifndef BORAGERIDGE_DISPATCH_TESTING_RANDOMSCHEDULE_H
#define BORAGERIDGE_DISPATCH_TESTING_RANDOMSCHEDULE_H

#include "dispatch/testing/FakeSessions.h"

#include <cstdint>
#include <string>

namespace borageridge::dispatch::testing {

struct ScheduleResult {
  SessionReport Report;
  std::size_t Terms = 0;
  std::uint64_t Pings = 0;
  /// State of the group at the end, to diagnose a failure.
  std::vector<std::string> Trace;
  /// Empty if all guarantees held and service resumed after the faults.
  std::string Failure;
};

/// Runs sessions under random faults derived from Seed until 4 s after the
/// start, then without faults until all operations have completed, and checks
/// the history. MaxDelay: maximum delay of a message.
ScheduleResult runSchedule(std::uint64_t Seed, const InjectedBugs &Bugs,
                           Duration MaxDelay = std::chrono::milliseconds(2));

/// Describes the first failure in a report; empty if there is none.
std::string describeFailure(const SessionReport &Report);

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_RANDOMSCHEDULE_H
