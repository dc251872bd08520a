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

/// Attempts at one statement; each further one needs a member that has not
/// failed it yet, or a pause.
constexpr unsigned MaxAttempts = 6;
/// Pause before a member that shed the statement is asked again.
constexpr Duration RetryPause = std::chrono::milliseconds(15);

/// How long one attempt waits for its answer.
Duration attemptLimit(const catalog::Route &Route, bool Repeatable,
                      Duration UsualLatency, Time Deadline, Time Now);

/// A statement that is not placed by then cannot be answered within the latency
/// objective any more.
Time latestPlacing(const catalog::Route &Route, Duration UsualLatency,
                   Time Arrival);

/// Why an attempt did not answer the statement, for logs and messages.
std::string_view describe(const Attempt &Result);

/// What the caller is told after the last attempt. Only for statements that
/// have certainly not taken effect.
statement::ErrorCode refusalCode(const Attempt &Result);

/// What a statement or a transaction asks of its member.
pool::PlacementRequest demandFor(const Session &S, const catalog::Route &Route,
                                 bool Writes, Time Arrival);

/// Whether the session knows the name that the statement uses, if any.
bool isKnown(const Session &S, const statement::Statement &St);

/// Leaves the member out of further attempts; once all have failed, all may be
/// asked again.
void exclude(pool::PlacementRequest &D, const std::string &Member,
             std::size_t Members);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_ATTEMPTS_H
