#include "entry/Coordinator.h"

#include "entry/Events.h"
#include "platform/Promotion.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using change::Cause;
using change::MemberReport;
using cluster::GroupRecord;
using runtime::bootTime;
using runtime::Task;

constexpr Duration QueryTimeout = std::chrono::milliseconds(300);
constexpr Duration RelinquishTimeout = DrainTimeout + QueryTimeout;
// Longer than any daemon's lease lasts without renewal, so daemons that cannot
// be reached have lost their lease by then.
constexpr Duration RevocationTimeout = std::chrono::milliseconds(9000);
constexpr Duration CandidateTimeout = std::chrono::milliseconds(4000);
// A replica that receives the log lags only by the network latency.
constexpr Duration CatchUpTimeout = std::chrono::milliseconds(600);
constexpr Duration PollInterval = std::chrono::milliseconds(30);
constexpr Duration PromoteCallTimeout = std::chrono::milliseconds(1000);
// An accepted promotion takes effect within this time or not at all.
constexpr Duration TakeoverTimeout = std::chrono::milliseconds(4000);
// A promotion usually takes effect within this time.
constexpr Duration PromotionEffectTime = std::chrono::milliseconds(1500);
// Delay before a call that the platform has not executed is repeated.
constexpr Duration CallRetryDelay = std::chrono::milliseconds(200);

} // namespace

// The steps of a change of primary. Each step can be repeated by another daemon
// if this one fails.

// Returns the revision at which the store holds the record of the service, to
// be replaced; 0 if it holds none. A restored store holds an older record than
// the known one, or none. Fails if it holds a newer one.
Task<Expected<keyvalue::Revision>>
Coordinator::storedRevision(std::string Service, cluster::Epoch Known) {
  if (cluster::isOfEra(Known, CoordinatorLease.era()))
    co_return cluster::revisionOf(Known);
  const std::string Key = std::string(cluster::GroupPrefix) + Service;
  const Expected<keyvalue::RangePage> Page = co_await S.Store.range(Key);
  if (!Page)
    co_return Page.error();
  for (const keyvalue::Item &Stored : Page.value().Items) {
    if (Stored.Key != Key)
      continue;
    const auto Record = cluster::decodeGroup(Stored.Value, Stored.ModRevision);
    if (Record && Record.value().Epoch > Known) {
      applyRecord(S, Service, Record.value());
      co_return Failure{FailureKind::Conflict, "the store has a newer record"};
    }
    co_return Stored.ModRevision;
  }
  co_return keyvalue::Revision(0);
}

// If the store's answer is lost, the watch reports whether the record was
// written, and the next examination uses it.
Task<bool> Coordinator::writeRecord(std::string Service, GroupRecord &Record,
                                    cluster::Epoch Replaces) {
  const Expected<keyvalue::Revision> Replaced =
      co_await storedRevision(Service, Replaces);
  if (!Replaced) {
    S.Log.write(event::ChangeFailed, Service, Replaced.error().Detail);
    co_return false;
  }
  if (!isActive(bootTime()))
    co_return false;
  const std::string Key = std::string(cluster::GroupPrefix) + Service;
  const keyvalue::Era Era = CoordinatorLease.era();
  Record.Epoch = cluster::makeEpoch(Era, 0);
  Record.Writer = S.Settings.InstanceName;
  Record.WriterToken = FencingToken;
  keyvalue::Transaction Update;
  Update.StoreEra = Era;
  Update.Conditions.push_back({Key, Replaced.value()});
  Update.Conditions.push_back(
      {std::string(cluster::PromoterKey), cluster::revisionOf(FencingToken)});
  Update.Puts.push_back({Key, cluster::encode(Record), 0});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Update));
  if (!Written) {
    S.Log.write(event::ChangeFailed, Service, Written.error().Detail);
    co_return false;
  }
  Record.Epoch = cluster::makeEpoch(Era, Written.value());
  co_return true;
}

Task<std::optional<MemberReport>>
Coordinator::queryMember(std::string Service, catalog::Member Info) {
  pool::ServicePool *Pool = findPool(Service);
  Expected<statement::Reply, pool::CallFailure> Answer =
      co_await Pool->callMember(Info.Id, platform::encodeStatus(),
                                QueryTimeout);
  if (!Answer || Answer.value().Error)
    co_return std::nullopt;
  const auto Status = platform::decodeStatus(Answer.value().Rows);
  if (!Status)
    co_return std::nullopt;
  MemberReport Report;
  Report.Member = Info.Id;
  Report.Leaving = Info.Leaving;
  Report.Primary = Status->Primary;
  Report.CurrentTerm = Status->CurrentTerm;
  Report.Received = Status->Received;
  co_return Report;
}

// Queries all members concurrently, except those suspected to have failed.
Task<std::vector<MemberReport>> Coordinator::queryMembers(std::string Service) {
  std::vector<catalog::Member> Members = findPool(Service)->members();
  std::erase_if(Members, [&](const catalog::Member &M) {
    return findPool(Service)->isSuspected(M.Id, bootTime());
  });
  struct Collected {
    explicit Collected(runtime::asio::io_context &Io) : Done(Io) {}
    runtime::Event Done;
    std::vector<MemberReport> Reports;
    std::size_t Missing = 0;
  };
  const auto All = std::make_shared<Collected>(S.Io);
  All->Missing = Members.size();
  const auto Query = [](Coordinator &Self, std::string Name,
                        catalog::Member Info,
                        std::shared_ptr<Collected> To) -> Task<void> {
    if (auto Report = co_await Self.queryMember(Name, Info))
      To->Reports.push_back(*Report);
    if (--To->Missing == 0)
      To->Done.notify();
  };
  for (const catalog::Member &Info : Members)
    runtime::spawn(S.Io, Query(*this, Service, Info, All));
  if (!Members.empty())
    co_await All->Done.wait(2 * QueryTimeout + PollInterval);
  co_return All->Reports;
}

std::int64_t Coordinator::incarnationOf(const std::string &Member) const {
  const auto Known = S.Members.find(Member);
  return Known == S.Members.end() ? 0 : Known->second.Incarnation;
}

Task<bool> Coordinator::createRecord(std::string Service) {
  const std::vector<MemberReport> Reports = co_await queryMembers(Service);
  const MemberReport *Best = nullptr;
  for (const MemberReport &R : Reports)
    if (R.Primary && (Best == nullptr || R.CurrentTerm > Best->CurrentTerm))
      Best = &R;
  if (Best == nullptr)
    co_return false;
  GroupRecord Record;
  Record.Primary = Best->Member;
  Record.PrimaryTerm = Best->CurrentTerm;
  Record.PrimaryIncarnation = incarnationOf(Best->Member);
  if (!co_await writeRecord(Service, Record, 0))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

// A primary that restarted with its log intact and still holds the role in the
// recorded term stays the primary.
Task<bool> Coordinator::confirmRestarted(std::string Service) {
  pool::ServicePool *Pool = findPool(Service);
  const GroupRecord Old = Pool->record();
  const catalog::Member *Primary = Pool->primary();
  if (Primary == nullptr)
    co_return false;
  const std::int64_t Born = Primary->Incarnation;
  const auto Report = co_await queryMember(Service, *Primary);
  const auto Sample = Pool->newestSample();
  const bool Intact = Report && Report->Primary &&
                      Report->CurrentTerm == Old.PrimaryTerm && Sample &&
                      Report->Received >= Sample->At;
  if (!Intact)
    co_return false;
  GroupRecord Record = Old;
  Record.PrimaryIncarnation = Born;
  if (!co_await writeRecord(Service, Record, Old.Epoch))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

// A daemon whose use of primaries was not interrupted by the restore knows the
// newest record, which the store may have lost.
Task<bool> Coordinator::confirmRestored(std::string Service) {
  const GroupRecord Old = findPool(Service)->record();
  if (Old.Epoch < S.Shared.TrustedFrom)
    co_return false;
  GroupRecord Record = Old;
  if (!co_await writeRecord(Service, Record, Old.Epoch))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

// Writes the record again if the cause permits it without a change of primary.
Task<bool> Coordinator::confirmRecord(std::string Service, Cause Reason) {
  if (Reason == Cause::Restarted)
    co_return co_await confirmRestarted(Service);
  if (Reason == Cause::Restored)
    co_return co_await confirmRestored(Service);
  co_return false;
}

// Waits until every registered daemon has relinquished the old primary or its
// lease has ended.
Task<bool> Coordinator::revokeOldPrimary(std::string Service,
                                         GroupRecord Changing) {
  const Time Start = bootTime();
  const std::uint64_t Epoch = Changing.Epoch;
  std::set<std::string> Relinquished;
  while (bootTime() - Start < RevocationTimeout && isActive(bootTime())) {
    Expected<keyvalue::RangePage> Page =
        co_await S.Store.range(std::string(cluster::DaemonPrefix));
    if (!Page) {
      co_await runtime::sleepFor(PollInterval);
      continue;
    }
    struct Collected {
      explicit Collected(runtime::asio::io_context &Io) : Ready(Io) {}
      runtime::Event Ready;
      std::set<std::string> Agreed;
      std::size_t Missing = 0;
    };
    const auto Round = std::make_shared<Collected>(S.Io);
    const auto Query = [](Coordinator &Self, std::string Name, std::string Of,
                          GroupRecord Newer,
                          std::shared_ptr<Collected> To) -> Task<void> {
      if (co_await Self.PeerExchange.requestRelinquish(
              Name, Of, Newer, Newer.Epoch, RelinquishTimeout))
        To->Agreed.insert(Name);
      if (--To->Missing == 0)
        To->Ready.notify();
    };
    std::size_t Pending = 0;
    for (const keyvalue::Item &Entry : Page.value().Items) {
      const auto Daemon = cluster::decodeDaemon(Entry.Value);
      const std::string Name = Entry.Key.substr(cluster::DaemonPrefix.size());
      if (!Daemon || Relinquished.contains(Name))
        continue;
      ++Pending;
      if (Name == S.Settings.InstanceName) {
        co_await findPool(Service)->relinquish(Epoch, DrainTimeout);
        Relinquished.insert(Name);
        --Pending;
        continue;
      }
      ++Round->Missing;
      runtime::spawn(S.Io, Query(*this, Name, Service, Changing, Round));
    }
    S.Log.write(event::ChangeStep, Service, "relinquish requested",
                std::to_string(Pending) + " of " +
                    std::to_string(Page.value().Items.size()) + " daemons");
    if (Pending == 0)
      co_return true;
    co_await Round->Ready.wait(RelinquishTimeout + QueryTimeout);
    Relinquished.insert(Round->Agreed.begin(), Round->Agreed.end());
    if (Round->Agreed.size() == Pending)
      co_return true;
    co_await runtime::sleepFor(PollInterval);
  }
  co_return false;
}

Task<std::optional<MemberReport>>
Coordinator::selectCandidate(std::string Service, std::string Old) {
  const Time Start = bootTime();
  change::CandidateRules Rules;
  Rules.OldPrimary = Old;
  if (const auto Failed = FailedCandidates.find(Service);
      Failed != FailedCandidates.end())
    Rules.Failed = Failed->second;
  for (;;) {
    pool::ServicePool *Pool = findPool(Service);
    Rules.Replicas = 0;
    for (const catalog::Member &M : Pool->members())
      Rules.Replicas += M.Id == Old ? 0 : 1;
    Rules.SyncReplicas = Pool->spec().SyncReplicas;
    Rules.Waited = bootTime() - Start;
    const std::vector<MemberReport> Reports = co_await queryMembers(Service);
    const auto Best = chooseCandidate(Reports, Rules);
    const auto OldReport =
        std::find_if(Reports.begin(), Reports.end(),
                     [&](const MemberReport &R) { return R.Member == Old; });
    const bool CaughtUp = OldReport == Reports.end() ||
                          (Best && Best->Received >= OldReport->Received) ||
                          Rules.Waited > CatchUpTimeout;
    if (Best && CaughtUp)
      co_return Best;
    if (bootTime() - Start > CandidateTimeout || !isActive(bootTime()))
      co_return std::nullopt;
    co_await runtime::sleepFor(PollInterval);
  }
}

// The record names the member before the promotion is called for. A coordinator
// that continues the change calls for the same member again, since the former
// call may still take effect, unless the member cannot take over.
Task<bool> Coordinator::nameCandidate(std::string Service, std::string Old,
                                      GroupRecord &Changing) {
  const auto Failed = FailedCandidates.find(Service);
  const bool MayTakeOver =
      !Changing.Candidate.empty() && (Failed == FailedCandidates.end() ||
                                      Failed->second != Changing.Candidate);
  if (MayTakeOver)
    co_return true;
  const auto Selected = co_await selectCandidate(Service, Old);
  if (!Selected) {
    S.Log.write(event::ChangeFailed, Service,
                "no suitable replica found in time");
    co_return false;
  }
  FailedCandidates.erase(Service);
  if (Selected->Member == Changing.Candidate)
    co_return true;
  GroupRecord Named = Changing;
  Named.Candidate = Selected->Member;
  if (!co_await writeRecord(Service, Named, Changing.Epoch))
    co_return false;
  Changing = Named;
  applyRecord(S, Service, Changing);
  S.Log.write(event::ChangeStep, Service, "candidate recorded",
              Changing.Candidate);
  co_return true;
}

// The lease must last as long as the call, which is cut off then: the platform
// may not receive it after one of the next coordinator.
Task<Coordinator::CallResult>
Coordinator::callForPromotion(std::string Service, std::string Member,
                              cluster::Epoch Token) {
  const Time Start = bootTime();
  S.Log.write(event::PromotionCalled, Service, Member, Token,
              findPool(Service)->record().Epoch);
  ++CallsInFlight;
  const Expected<http::Response> Answer = co_await PromotionClient.sendIf(
      [this, Token] {
        return holdsRole(Token, bootTime() + PromoteCallTimeout);
      },
      platform::promoteRequest(Service, Member, S.Settings.InstanceName, Token),
      PromoteCallTimeout);
  --CallsInFlight;
  const Expected<void> Result =
      Answer ? platform::decodePromoteResponse(Answer.value())
             : Expected<void>(Answer.error());
  S.Log.write(event::PromotionAnswered, Service, Member, Token,
              Result ? "accepted" : Result.error().Detail,
              runtime::toMilliseconds(bootTime() - Start));
  // After a lost answer, the status of the member shows whether the promotion
  // took effect.
  if (Result || Result.error().Kind == FailureKind::Unknown)
    co_return CallResult::Accepted;
  co_return Result.error().Kind == FailureKind::Conflict
      ? CallResult::Refused
      : CallResult::NotExecuted;
}

// Calls for the promotion of the candidate and waits until it leads a new term.
Task<std::optional<MemberReport>>
Coordinator::promoteCandidate(std::string Service, GroupRecord Changing,
                              Time CallFrom) {
  const cluster::Epoch Token = FencingToken;
  const std::string &Member = Changing.Candidate;
  catalog::Member Info;
  if (const auto Known = S.Members.find(Member); Known != S.Members.end())
    Info = Known->second;
  Info.Id = Member;
  Time NextCall = std::max(bootTime(), CallFrom);
  const Time Deadline = NextCall + TakeoverTimeout;
  bool Called = false;
  while (holdsRole(Token, bootTime()) && bootTime() < Deadline) {
    if (!Called && bootTime() >= NextCall) {
      const CallResult Result =
          co_await callForPromotion(Service, Member, Token);
      if (Result == CallResult::Refused) {
        FailedCandidates[Service] = Member;
        co_return std::nullopt;
      }
      Called = Result == CallResult::Accepted;
      NextCall = bootTime() + CallRetryDelay;
    }
    const std::optional<MemberReport> Report =
        co_await queryMember(Service, Info);
    if (Report && Report->Primary && Report->CurrentTerm > Changing.PrimaryTerm)
      co_return Report;
    co_await runtime::sleepFor(PollInterval);
  }
  if (Called)
    FailedCandidates[Service] = Member;
  co_return std::nullopt;
}

Task<void> Coordinator::stepDown(pool::ServicePool &Pool, std::string Service,
                                 GroupRecord Old) {
  const Expected<statement::Reply, pool::CallFailure> Answer =
      co_await Pool.callMember(Old.Primary,
                               platform::encodeStepDown(Old.PrimaryTerm + 1),
                               QueryTimeout);
  S.Log.write(event::ChangeStep, Service, "step down",
              Answer ? std::string_view(Old.Primary) : "no answer");
}

Task<bool> Coordinator::changePrimary(std::string Service, Cause Reason) {
  pool::ServicePool *Pool = findPool(Service);
  const GroupRecord Old = Pool->record();
  GroupRecord Changing = Old;
  Changing.Changing = true;
  if (!co_await writeRecord(Service, Changing, Old.Epoch))
    co_return false;
  if (!co_await revokeOldPrimary(Service, Changing)) {
    S.Log.write(event::ChangeFailed, Service,
                "daemons did not relinquish the old primary in time");
    co_return false;
  }
  applyRecord(S, Service, Changing);
  S.Log.write(event::ChangeStep, Service, "old primary relinquished",
              Old.Primary);
  std::optional<MemberReport> Leader;
  // The daemon that began the interrupted change may have promoted a member, as
  // may one whose change the store has lost.
  if (Reason == Cause::Interrupted || Reason == Cause::Restored)
    Leader = change::findNewLeader(co_await queryMembers(Service),
                                   Old.PrimaryTerm, Changing.Candidate);
  if (Leader) {
    S.Log.write(event::ChangeStep, Service, "new leader found", Leader->Member);
  } else {
    // No daemon uses the old primary any more. Stepping down keeps it from
    // appending entries that would diverge from the new primary's log.
    if (!co_await nameCandidate(Service, Old.Primary, Changing))
      co_return false;
    if (!Pool->isSuspected(Old.Primary, bootTime()))
      co_await stepDown(*Pool, Service, Old);
    // A promotion that a former coordinator may have called for gets the time
    // to take effect first, so that the member does not begin two terms.
    const bool MayBeUnderWay =
        !Old.Candidate.empty() && Changing.Candidate == Old.Candidate &&
        !Pool->isSuspected(Changing.Candidate, bootTime());
    Leader = co_await promoteCandidate(
        Service, Changing,
        MayBeUnderWay ? ActiveSince + PromotionEffectTime : Time());
  }
  if (!Leader) {
    S.Log.write(event::ChangeFailed, Service,
                "no member became primary in a new term in time");
    co_return false;
  }
  GroupRecord Record;
  Record.Primary = Leader->Member;
  Record.PrimaryTerm = Leader->CurrentTerm;
  Record.PrimaryIncarnation = incarnationOf(Leader->Member);
  if (!co_await writeRecord(Service, Record, Changing.Epoch))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

} // namespace borageridge::entry
