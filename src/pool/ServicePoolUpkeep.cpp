#include "pool/ServicePool.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <utility>

namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;
using statement::Reply;

// Time without a reply after which a member is probed.
constexpr Duration ProbeInterval = std::chrono::milliseconds(250);
// A probe occupies no slot and is answered within one round trip.
constexpr Duration ProbeLimit = std::chrono::milliseconds(400);

} // namespace

Task<Expected<Reply, CallFailure>>
ServicePool::callMember(std::string Member, std::string Bytes, Duration Limit) {
  Checkout Own;
  Own.Link = co_await takeOrConnect(Member, Limit);
  if (!Own.Link)
    co_return CallFailure::NotSent;
  Own.Epoch = Record.Epoch;
  Expected<Reply, CallFailure> Answer =
      co_await call(Own, std::move(Bytes), Limit);
  putBack(Own.Link, bootTime());
  co_return Answer;
}

Task<Expected<Reply, CallFailure>> ServicePool::ping(std::string Member,
                                                     Duration Limit) {
  Checkout Own;
  Own.Link = co_await takeOrConnect(Member, Limit);
  if (!Own.Link)
    co_return CallFailure::NotSent;
  Own.Epoch = Record.Epoch;
  Expected<Reply, CallFailure> Answer =
      co_await call(Own, platform::encodeReset(), Limit);
  if (Answer && Answer.value().succeeded())
    Own.Link->state() = {};
  else
    Own.Link->close();
  putBack(Own.Link, bootTime());
  co_return Answer;
}

Task<void> ServicePool::probe(std::string Member) {
  const Time Start = bootTime();
  const Expected<Reply, CallFailure> Answer = co_await ping(Member, ProbeLimit);
  MemberState *M = find(Member);
  if (M == nullptr)
    co_return;
  M->Probing = false;
  if (!Answer && Answer.error() == CallFailure::MayHaveRun)
    M->Health.recordTimeout(Start);
}

void ServicePool::reportHealth(MemberState &M, Time Now) {
  const bool Suspected = M.Health.isSuspected(Now);
  if (Suspected == M.ReportedSuspected)
    return;
  M.ReportedSuspected = Suspected;
  const std::optional<Evidence> Seen = M.Health.evidence(Now);
  if (Suspected)
    Shared.Log.write(entry::event::MemberSuspected, Service, M.Info.Id,
                     Seen && Seen->Refused ? "refused" : "silent");
  else
    Shared.Log.write(entry::event::MemberRecovered, Service, M.Info.Id);
}

void ServicePool::tick(Time Now) {
  for (auto &[Id, M] : Members) {
    closeSurplus(M, Now);
    reportHealth(M, Now);
    const bool Quiet = Now - M.Health.lastReply() > ProbeInterval;
    // A change of primary waits for a member that its coordinator suspects, and
    // asks it no more. Otherwise a daemon without connections has no say in
    // whether a member answers.
    const bool IsProbed =
        IsConnectionHolder || (Record.Changing && M.Health.isSuspected(Now));
    if (M.Registered && Quiet && !M.Probing && IsProbed) {
      M.Probing = true;
      runtime::spawn(Shared.Io, probe(Id));
    }
  }
  wakeWaiters(Now);
  withdrawHopeless(Now);
}

} // namespace borageridge::pool
