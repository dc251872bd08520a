#include "pool/ServicePool.h"

#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::pool {
namespace {

using runtime::bootTime;
using runtime::Task;
using statement::ErrorCode;
using statement::Reply;

constexpr Duration RelinquishPollInterval = std::chrono::milliseconds(5);
// Between two rounds of questions, for example while a member is busy.
constexpr Duration LeadCheckRepeatDelay = std::chrono::milliseconds(20);
// More than the share of answers that members lose at their worst.
constexpr admission::RetryLimits RepetitionLimits{0.2, 5.0, 50.0};
// A new pool may repeat statements at once.
constexpr Duration InitialRepetitions = std::chrono::seconds(10);

} // namespace

ServicePool::ServicePool(PoolContext &Context, std::string Name)
    : Shared(Context), Service(std::move(Name)),
      LeadCheck(
          Context.Io, [this] { return askContenders(); }, LeadCheckRepeatDelay,
          [this](std::string_view Error) {
            Shared.Log.write(entry::event::TaskFailed, "lead check", Error);
          }),
      Repetitions(RepetitionLimits, bootTime() - InitialRepetitions),
      Queue(WaitLimits) {
  Spec.Name = Service;
}

ServicePool::MemberState *ServicePool::find(std::string_view Member) {
  const auto Found = Members.find(Member);
  return Found == Members.end() ? nullptr : &Found->second;
}

const ServicePool::MemberState *
ServicePool::find(std::string_view Member) const {
  const auto Found = Members.find(Member);
  return Found == Members.end() ? nullptr : &Found->second;
}

std::vector<catalog::Member> ServicePool::members() const {
  std::vector<catalog::Member> Result;
  for (const auto &[Id, M] : Members)
    if (M.Registered)
      Result.push_back(M.Info);
  return Result;
}

const catalog::Member *ServicePool::primary() const {
  const MemberState *M = find(Record.Primary);
  return M != nullptr && M->Registered ? &M->Info : nullptr;
}

bool ServicePool::isPrimary(const MemberState &M) const {
  return Record.Epoch != 0 && M.Info.Id == Record.Primary;
}

// During an outage of the store a member may announce its departure long before
// it is read, so that the time is counted from the read before.
void ServicePool::setMembers(std::vector<catalog::Member> Known, Time Now,
                             std::optional<Time> ChangedAfter) {
  for (auto &[Id, M] : Members)
    M.Registered = false;
  for (catalog::Member &Info : Known) {
    MemberState &M = Members[Info.Id];
    const bool Restarted =
        !M.Info.Id.empty() && M.Info.Incarnation != Info.Incarnation;
    if (Restarted) {
      M.Applied = Position();
      M.AppliedSeenAt = Time();
      M.Idle.clear();
    }
    if (Info.Leaving && !M.Info.Leaving) {
      M.LeavingSince = ChangedAfter.value_or(Now);
      Shared.Log.write(entry::event::MemberLeaving, Service, Info.Id);
    }
    M.Info = std::move(Info);
    M.Registered = true;
  }
  for (auto It = Members.begin(); It != Members.end();) {
    MemberState &M = It->second;
    if (!M.Registered)
      M.Idle.clear();
    const bool Remove =
        !M.Registered && M.Busy.empty() && M.Opening == 0 && !M.Probing;
    It = Remove ? Members.erase(It) : std::next(It);
  }
  wakeWaiters(Now);
}

void ServicePool::setRecord(const cluster::GroupRecord &Newer, Time Now) {
  if (Newer.Epoch <= Record.Epoch)
    return;
  const bool SamePrimary = Newer.Primary == Record.Primary &&
                           Newer.PrimaryTerm == Record.PrimaryTerm;
  Shared.Log.write(entry::event::RecordApplied, Service, Newer.Epoch,
                   Newer.PrimaryTerm, Newer.Primary, Newer.Changing,
                   Newer.Candidate, Newer.Writer, Newer.WriterToken);
  if (!SamePrimary || Newer.Changing)
    closePrimaryConnections();
  // Nothing is acknowledged while a primary change is in progress, so the known
  // positions of the old primary's log stay valid. An abandoned change
  // continues the same log.
  const bool NewLog = !Newer.Changing && (Newer.Primary != LogPrimary ||
                                          Newer.PrimaryTerm != LogTerm);
  if (NewLog) {
    Positions.clear();
    LogEpoch = Newer.Epoch;
    LogPrimary = Newer.Primary;
    LogTerm = Newer.PrimaryTerm;
  }
  const bool Confirmed = SamePrimary && !Newer.Changing && !Record.Changing &&
                         Newer.PrimaryIncarnation == Record.PrimaryIncarnation;
  // Writing the record again does not give the lead back.
  if (SamePrimary && !Newer.Changing && isSuperseded())
    SupersededEpoch = Newer.Epoch;
  if (!Confirmed) {
    logEndOfUse(Now);
    UseBegan = Newer.Epoch;
  }
  Record = Newer;
  wakeWaiters(Now);
}

// Tells which daemon acknowledged under which record without a line for each
// write.
void ServicePool::logEndOfUse(Time Now) {
  if (Record.Epoch == 0 || Record.Changing)
    return;
  const auto SinceLast =
      AcknowledgedWrites == 0 ? Duration::zero() : Now - LastAcknowledgedAt;
  Shared.Log.write(entry::event::PrimaryUseEnded, Service, UseBegan,
                   Record.PrimaryTerm, Record.Primary, AcknowledgedWrites,
                   runtime::toMilliseconds(SinceLast));
  AcknowledgedWrites = 0;
}

Task<void> ServicePool::drainAndSetRecord(cluster::GroupRecord Newer,
                                          Duration Limit) {
  const bool Begins = Newer.Changing && !Record.Changing && Record.Epoch != 0 &&
                      Newer.Epoch > Record.Epoch;
  if (Begins)
    co_await relinquish(Record.Epoch, Limit);
  setRecord(Newer, bootTime());
}

bool ServicePool::mayUsePrimary(Time Now) const {
  const MemberState *M = find(Record.Primary);
  const bool Left = M != nullptr && M->Info.Leaving &&
                    Now - M->LeavingSince > Shared.LeavingPrimaryLimit;
  return !Left && Record.Epoch != 0 && !Record.Changing && !isSuperseded() &&
         Record.Epoch >= Shared.TrustedFrom && NoNewWorkEpoch < Record.Epoch &&
         RelinquishedEpoch < Record.Epoch && Shared.Lease.isValid(Now);
}

bool ServicePool::mayAcknowledge(std::uint64_t Epoch, Time Now) const {
  return Epoch >= UseBegan && Epoch <= Record.Epoch && !Record.Changing &&
         !isSuperseded() && Record.Epoch >= Shared.TrustedFrom &&
         RelinquishedEpoch < Epoch && Shared.Lease.isValid(Now);
}

bool ServicePool::isUsable(const MemberState &M, Time Now) const {
  if (!M.Registered || M.Health.isSuspected(Now))
    return false;
  if (isPrimary(M))
    return mayUsePrimary(Now);
  return !M.Info.Leaving;
}

void ServicePool::releaseSlot(const Checkout &Pinned) {
  MemberState *M = find(Pinned.Link->member());
  if (M == nullptr || !M->Busy.contains(Pinned.Link))
    return;
  M->IdleInTransaction.insert(Pinned.Link);
  wakeWaiters(bootTime());
}

void ServicePool::reacquireSlot(const Checkout &Pinned) {
  if (MemberState *M = find(Pinned.Link->member()))
    M->IdleInTransaction.erase(Pinned.Link);
}

void ServicePool::recordServiceTime(std::string_view Database, Duration Took) {
  const auto Known = ServiceTimeByDatabase.find(Database);
  if (Known == ServiceTimeByDatabase.end())
    ServiceTimeByDatabase.emplace(Database, LatencyEstimate())
        .first->second.add(Took);
  else
    Known->second.add(Took);
}

Task<Expected<Reply, CallFailure>>
ServicePool::call(const Checkout &Over, std::string Bytes, Duration Limit) {
  const Time SentAt = bootTime();
  const std::string Member = Over.Link->member();
  Expected<Reply, CallFailure> Answer =
      co_await Over.Link->call(std::move(Bytes), Limit);
  const Time Now = bootTime();
  MemberState *M = find(Member);
  // An attempt that was cut off shows that answers take at least as long.
  // Without it the estimates would know only the fast ones.
  const bool WasCutOff = !Answer && Now - SentAt >= Limit;
  if (Answer && Answer.value().At)
    Latency.add(Now - SentAt);
  if (M != nullptr && Answer && Answer.value().At)
    M->Latency.add(Now - SentAt);
  else if (M != nullptr && WasCutOff)
    M->Latency.add(
        std::min<Duration>(Now - SentAt, 2 * M->Latency.upperBound()));
  if (M != nullptr && Answer)
    recordReply(*M, Answer.value(), SentAt, Over.Epoch, Now);
  co_return Answer;
}

void ServicePool::recordReply(MemberState &M, const Reply &Answer, Time SentAt,
                              std::uint64_t Epoch, Time Now) {
  M.Health.recordReply(Now);
  if (!Answer.At)
    return;
  M.Applied = *Answer.At;
  M.AppliedSeenAt = Now;
  const bool StillPrimary = isPrimary(M) && mayAcknowledge(Epoch, Now) &&
                            Answer.Error != ErrorCode::ReadOnly;
  if (StillPrimary)
    Positions.add(SentAt, *Answer.At);
}

Task<void> ServicePool::relinquish(std::uint64_t Epoch, Duration Limit) {
  if (RelinquishedEpoch >= Epoch)
    co_return;
  NoNewWorkEpoch = std::max(NoNewWorkEpoch, Epoch);
  const Time Start = bootTime();
  const std::string Old = Record.Primary;
  const auto HasWork = [&] {
    const MemberState *M = find(Old);
    return M != nullptr && !M->Busy.empty();
  };
  while (Record.Epoch <= Epoch && !Record.Changing && HasWork() &&
         bootTime() - Start < Limit)
    co_await runtime::sleepFor(RelinquishPollInterval);
  RelinquishedEpoch = std::max(RelinquishedEpoch, Epoch);
  if (Record.Epoch <= Epoch)
    closePrimaryConnections();
}

bool ServicePool::isSuspected(std::string_view Member, Time Now) const {
  const MemberState *M = find(Member);
  return M == nullptr || M->Health.isSuspected(Now);
}

std::optional<Evidence> ServicePool::evidence(std::string_view Member,
                                              Time Now) const {
  const MemberState *M = find(Member);
  return M == nullptr ? std::nullopt : M->Health.evidence(Now);
}

std::map<std::string, std::uint32_t> ServicePool::inFlight() const {
  std::map<std::string, std::uint32_t> Result;
  for (const auto &[Id, M] : Members)
    if (M.inFlight() > 0)
      Result.emplace(Id, M.inFlight());
  return Result;
}

void ServicePool::setOthersInFlight(std::map<std::string, std::uint32_t> Sum) {
  for (auto &[Id, M] : Members)
    M.OthersInFlight = Sum.contains(Id) ? Sum[Id] : 0;
  wakeWaiters(bootTime());
}

std::optional<freshness::PrimaryPositions::Sample>
ServicePool::newestSample() const {
  return Positions.newest();
}

void ServicePool::addSample(std::uint64_t InLogEpoch, Time AsOf, Position At) {
  if (InLogEpoch == LogEpoch && LogEpoch != 0)
    Positions.add(AsOf, At);
}

} // namespace borageridge::pool
