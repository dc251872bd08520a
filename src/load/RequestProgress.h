#ifndef BORAGERIDGE_LOAD_REQUESTPROGRESS_H
#define BORAGERIDGE_LOAD_REQUESTPROGRESS_H

#include "caller.pb.h"
#include "load/History.h"
#include "load/Scenario.h"

#include <cstdint>
#include <optional>

namespace borageridge::load {

/// What a caller does next with a request.
struct NextStep {
  enum class Kind { Finish, Execute, LookUp };

  Kind Step = Kind::Finish;
  /// For Finish: what is known about the request.
  Result Outcome = Result::Unknown;
  /// Earliest delay before the next try.
  Duration Delay{};
  /// The next try goes to another proxy.
  bool Elsewhere = false;
};

/// How a try of a request ended.
struct TryResult {
  enum class Kind { Answered, LookUpRan, LookUpNotRun, Refused, Transport };

  Kind How = Kind::Transport;
  /// For Refused.
  caller::RefusalReason Reason = caller::REFUSAL_REASON_UNSPECIFIED;
  caller::Execution Execution = caller::EXECUTION_UNSPECIFIED;
  Duration RetryAfter{};
  bool Move = false;
};

/// Decides how one request of a caller goes on until its effect is settled.
///
/// "not run" in a refusal speaks for that try only. After a try with an unknown
/// end the request counts as not run only if a look-up or a refused record
/// says so.
class RequestProgress {
public:
  RequestProgress(bool Write, bool Repeatable, Time Start, ClientSpec Limits);

  NextStep onTry(const TryResult &Try, Time Now);

  std::uint32_t tries() const { return Tries; }

private:
  NextStep onRefused(const TryResult &Try, Time Now);
  NextStep onUncertain(Duration AtLeast, Time Now);
  NextStep finish(Result Outcome) const;
  NextStep again(NextStep::Kind Step, Duration AtLeast, bool Elsewhere) const;
  Result outcomeAtEnd() const;

  bool Write;
  bool Repeatable;
  Time End;
  ClientSpec Limits;
  std::uint32_t Tries = 0;
  std::uint32_t NotRunTries = 0;
  bool MayHaveRun = false;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_REQUESTPROGRESS_H
