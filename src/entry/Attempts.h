#ifndef BORAGERIDGE_ENTRY_ATTEMPTS_H
#define BORAGERIDGE_ENTRY_ATTEMPTS_H

#include "catalog/Catalog.h"
#include "entry/Outcome.h"
#include "entry/Session.h"
#include "pool/Placement.h"
#include "statement/Statement.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace borageridge::entry {

/// Attempts to run one statement. Each retry uses a member that has not failed
/// it yet or is preceded by RetryPause.
constexpr unsigned MaxAttempts = 6;
/// Pause before the statement is sent again to a member that rejected it.
constexpr Duration RetryPause = std::chrono::milliseconds(15);

/// Whether and where a statement may be sent again if its answer is lost.
enum class Repetition {
  /// It may have taken effect.
  None,
  /// Only to the same member, which may still be running it.
  SameMember,
  OtherMember,
};

/// Time that one attempt waits for its answer. UsualLatency: within which
/// nearly all answers of the member arrive.
Duration attemptTimeout(const catalog::Route &Route, Repetition Allowed,
                        Duration UsualLatency, Time Deadline, Time Now);

/// The latest time at which a statement may be dispatched to a member and still
/// be expected to meet the latency objective of its route.
Time latestDispatch(const catalog::Route &Route, Duration UsualLatency,
                    Time Arrival);

/// The reason why an attempt did not yield an answer, for logs and messages.
std::string_view describeFailure(const Attempt &Result);

/// The error returned to the caller after the last attempt. Only for statements
/// that have certainly not taken effect.
statement::ErrorCode refusalCode(const Attempt &Result);

/// The requirements of a statement or transaction on the member that runs it.
pool::PlacementRequest demandFor(const Session &S, const catalog::Route &Route,
                                 bool Writes, Time Arrival);

/// Whether the session has prepared the statement that St executes by name.
/// True for statements that use no name.
bool isStatementNameKnown(const Session &S, const statement::Statement &St);

/// Excludes the member from further attempts. Once all members have failed, all
/// are allowed again.
void excludeMember(pool::PlacementRequest &D, const std::string &Member,
                   std::size_t Members);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_ATTEMPTS_H
