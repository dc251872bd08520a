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
constexpr Duration PollInterval = std::chrono::milliseconds(30);
constexpr Duration PromoteCallTimeout = std::chrono::milliseconds(1000);
// Time for a promotion to take effect before it is called for again. The
// platform sets no limit, so that the first call may still be executed later.
constexpr Duration TakeoverTimeout = std::chrono::milliseconds(4000);
// Accepted calls after which another member is named.
constexpr unsigned MaxAcceptedCalls = 3;
// Longest time for one candidate.
constexpr Duration CandidateLimit = std::chrono::milliseconds(20000);
// Times after which a candidate that refuses connections or is silent is given
// up.
constexpr Duration RefusedCandidateTimeout = std::chrono::milliseconds(500);
constexpr Duration SilentCandidateTimeout = std::chrono::milliseconds(4000);
// A promotion usually takes effect within this time.
constexpr Duration PromotionEffectTime = std::chrono::milliseconds(1500);
// Delay before a call that the platform has not executed is repeated.
constexpr Duration CallRetryDelay = std::chrono::milliseconds(200);
// The same for a call that the platform may execute although it answered with
// an error.
constexpr Duration UnclearCallRetryDelay = std::chrono::milliseconds(1000);
// Time for unsettled members to show that they have not taken over.
constexpr Duration SettleTimeout = std::chrono::milliseconds(1000);

// An entry that cannot be decoded is waited for as long as its lease lasts.
bool isEntryOfDaemon(const keyvalue::Item &Entry) {
  return Entry.Lease != 0 || cluster::decodeDaemon(Entry.Value).has_value();
}

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
  const auto Known = CallsByService.find(Service);
  if (Known != CallsByService.end() && Known->second.WrittenAt != 0 &&
      Known->second.WrittenAt == Replaces)
    Known->second.WrittenAt = Record.Epoch;
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
  Term &Newest = NewestTerms[Service];
  Newest = std::max(Newest, Status->CurrentTerm);
  MemberReport Report;
  Report.Member = Info.Id;
  Report.Leaving = Info.Leaving;
  Report.Primary = Status->Primary;
  Report.CurrentTerm = Status->CurrentTerm;
  Report.Received = Status->Received;
  Report.Incarnation = Info.Incarnation;
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
  // A restored store may have lost the record of a change.
  if (S.Store.era() != keyvalue::FirstEra)
    for (const catalog::Member &Info : findPool(Service)->members())
      Record.Unsettled.push_back(Info.Id);
  addReceivers(Service, Record);
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

Task<bool> Coordinator::confirmSettled(std::string Service) {
  GroupRecord Record = findPool(Service)->record();
  const cluster::Epoch Replaced = Record.Epoch;
  // A call that takes no effect any more may have taken effect before.
  if (!co_await findPool(Service)->confirmLead(SettleTimeout))
    co_return false;
  const Time Now = bootTime();
  Record.Unsettled = callsFor(Service, Record, Now).unsettled(Now);
  if (!co_await writeRecord(Service, Record, Replaced))
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
      bool HasEnded = true;
      if (Name == Self.S.Settings.InstanceName)
        co_await Self.findPool(Of)->relinquish(Newer.Epoch, DrainTimeout);
      else
        HasEnded = co_await Self.PeerExchange.requestRelinquish(
            Name, Of, Newer, Newer.Epoch, RelinquishTimeout);
      if (HasEnded)
        To->Agreed.insert(Name);
      if (--To->Missing == 0)
        To->Ready.notify();
    };
    // This daemon uses the primary even if its own entry is gone.
    std::set<std::string> Users = {S.Settings.InstanceName};
    for (const keyvalue::Item &Entry : Page.value().Items)
      if (isEntryOfDaemon(Entry))
        Users.insert(Entry.Key.substr(cluster::DaemonPrefix.size()));
    std::size_t Pending = 0;
    for (const std::string &Name : Users) {
      if (Relinquished.contains(Name))
        continue;
      ++Pending;
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

change::PromotionCalls &
Coordinator::callsFor(const std::string &Service,
                      const cluster::GroupRecord &Record, Time Now) {
  Calls &Known = CallsByService[Service];
  if (Known.WrittenAt != Record.Epoch)
    Known = {Record.Epoch, change::PromotionCalls(Record, Now)};
  return Known.Made;
}

// The lease must last as long as the call, which is cut off then: the platform
// may not receive it after one of the next coordinator.
Task<Coordinator::CallResult>
Coordinator::callForPromotion(std::string Service, std::string Member,
                              cluster::Epoch Token) {
  const Time Start = bootTime();
  change::PromotionCalls &Made = CallsByService[Service].Made;
  Made.add(Member, Start);
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
  if (Result)
    co_return CallResult::Accepted;
  if (Result.error().Kind == FailureKind::Unknown)
    co_return Answer ? CallResult::Unclear : CallResult::Unanswered;
  Made.removeLast(Member);
  co_return Result.error().Kind == FailureKind::Conflict
      ? CallResult::Refused
      : CallResult::NotExecuted;
}

bool Coordinator::cannotTakeOver(const std::string &Service,
                                 const std::string &Member, Time Now) {
  if (!S.Members.contains(Member))
    return true;
  const auto Seen = findPool(Service)->evidence(Member, Now);
  return Seen && Seen->Elapsed >= (Seen->Refused ? RefusedCandidateTimeout
                                                 : SilentCandidateTimeout);
}

// Calls for the promotion of the candidate and waits until it leads a new term.
// A candidate that responds is not given up because its promotion takes long:
// another member would be promoted no sooner, and the first call could still
// take effect after that.
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
  const Time Deadline = NextCall + CandidateLimit;
  unsigned AcceptedCalls = 0;
  bool WasCalled = false;
  // A leader of this term or an earlier one is not the result of a call.
  Term Baseline = 0;
  while (holdsRole(Token, bootTime()) && bootTime() < Deadline) {
    const std::optional<MemberReport> Report =
        co_await queryMember(Service, Info);
    // Of two leaders, the one of the earlier term has been superseded.
    if (Report && Report->Primary &&
        Report->CurrentTerm > Changing.PrimaryTerm &&
        Report->CurrentTerm >= NewestTerms[Service]) {
      if (WasCalled && Report->CurrentTerm > Baseline)
        CallsByService[Service].Made.recordEffect(Member);
      co_return Report;
    }
    const bool IsDue = bootTime() >= NextCall;
    if (cannotTakeOver(Service, Member, bootTime()) ||
        (IsDue && AcceptedCalls == MaxAcceptedCalls)) {
      FailedCandidates[Service] = Member;
      co_return std::nullopt;
    }
    if (IsDue) {
      // A call for the present primary would change nothing.
      if (Report && Report->Primary)
        co_await stepDown(Service, Member, Changing.PrimaryTerm);
      Baseline = std::max(NewestTerms[Service], Changing.PrimaryTerm);
      const CallResult Result =
          co_await callForPromotion(Service, Member, Token);
      if (Result == CallResult::Refused) {
        FailedCandidates[Service] = Member;
        co_return std::nullopt;
      }
      AcceptedCalls += Result == CallResult::Accepted ? 1 : 0;
      const bool Waits =
          Result == CallResult::Accepted || Result == CallResult::Unanswered;
      WasCalled = WasCalled || Waits;
      const Duration RetryDelay = Result == CallResult::Unclear
                                      ? UnclearCallRetryDelay
                                      : CallRetryDelay;
      NextCall = bootTime() + (Waits ? TakeoverTimeout : RetryDelay);
    }
    co_await runtime::sleepFor(PollInterval);
  }
  if (WasCalled)
    FailedCandidates[Service] = Member;
  co_return std::nullopt;
}

Task<void> Coordinator::stepDown(std::string Service, std::string Member,
                                 Term Led) {
  const Expected<statement::Reply, pool::CallFailure> Answer =
      co_await findPool(Service)->callMember(
          Member, platform::encodeStepDown(Led + 1), QueryTimeout);
  S.Log.write(event::ChangeStep, Service, "step down",
              Answer ? std::string_view(Member) : "no answer");
}

Task<bool> Coordinator::changePrimary(std::string Service, Cause Reason) {
  pool::ServicePool *Pool = findPool(Service);
  const GroupRecord Old = Pool->record();
  ChangeInProgress Change{Reason, Pool->isSuperseded(), Old};
  GroupRecord &Changing = Change.Changing;
  Changing.Changing = true;
  change::PromotionCalls &Made = callsFor(Service, Old, bootTime());
  // A service that was set up anew begins with lower terms.
  NewestTerms.erase(Service);
  // The store may have lost the record of any promotion that was called for.
  if (Reason == Cause::Restored)
    for (const catalog::Member &Info : Pool->members())
      Made.addUnknown(Info.Id, bootTime());
  Changing.Unsettled = Made.unsettled(bootTime());
  addReceivers(Service, Changing);
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
  if (Leader && Leader->CurrentTerm < NewestTerms[Service])
    Leader.reset();
  if (Leader) {
    S.Log.write(event::ChangeStep, Service, "new leader found", Leader->Member);
  } else {
    // No daemon uses the old primary any more. Stepping down keeps it from
    // appending entries that would diverge from the new primary's log.
    const std::optional<Successor> Next =
        co_await nameCandidate(Service, Change);
    if (!Next)
      co_return false;
    if (Next->LeadsBack) {
      Leader = Next->Member;
      LedBackAt[Service] = bootTime();
    } else {
      if (!Pool->isSuspected(Old.Primary, bootTime()))
        co_await stepDown(Service, Old.Primary, Old.PrimaryTerm);
      // A promotion that a former coordinator may have called for gets the time
      // to take effect first, so that the member does not begin two terms.
      const bool MayBeUnderWay =
          !Old.Candidate.empty() && Changing.Candidate == Old.Candidate &&
          !Pool->isSuspected(Changing.Candidate, bootTime());
      Leader = co_await promoteCandidate(
          Service, Changing,
          MayBeUnderWay ? ActiveSince + PromotionEffectTime : Time());
    }
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
  Record.Unsettled = Made.unsettled(bootTime());
  if (Pool->spec().SyncReplicas > 0)
    Record.Receivers =
        change::receiversAfterChange(Changing, Pool->members(), *Leader);
  if (!co_await writeRecord(Service, Record, Changing.Epoch))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

} // namespace borageridge::entry
