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

constexpr Duration AskLimit = std::chrono::milliseconds(300);
constexpr Duration RelinquishLimit = DrainLimit + AskLimit;
// No daemon's lease lasts longer than this without a renewal.
constexpr Duration EndUseLimit = std::chrono::milliseconds(9000);
constexpr Duration CandidateLimit = std::chrono::milliseconds(4000);
// A replica that receives the log is behind by the time of the network.
constexpr Duration CatchUpLimit = std::chrono::milliseconds(600);
constexpr Duration PollStep = std::chrono::milliseconds(30);
constexpr Duration PromoteCallLimit = std::chrono::milliseconds(1000);
constexpr Duration LeadLimit = std::chrono::milliseconds(4000);

} // namespace

// The steps of a change. Each may be repeated by another daemon after this one
// was lost.

// A lost answer is settled by the watch: the next examination sees the record.
Task<bool> Coordinator::writeRecord(std::string Service, GroupRecord &Record,
                                    std::uint64_t Replaces) {
  if (!holdsDuty(bootTime()))
    co_return false;
  const std::string Key = std::string(cluster::GroupPrefix) + Service;
  keyvalue::Transaction Update;
  Update.Conditions.push_back({Key, Replaces});
  Update.Conditions.push_back(
      {std::string(cluster::PromoterKey), FencingToken});
  Update.Puts.push_back({Key, cluster::encode(Record), 0});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Update));
  if (!Written) {
    S.Log.write(event::ChangeFailed, Service, Written.error().Detail);
    co_return false;
  }
  Record.Epoch = Written.value();
  co_return true;
}

Task<std::optional<MemberReport>> Coordinator::askMember(std::string Service,
                                                         catalog::Member Info) {
  pool::ServicePool *Pool = pool(Service);
  Expected<statement::Reply, pool::CallFailure> Answer =
      co_await Pool->callMember(Info.Id, platform::encodeStatus(), AskLimit);
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

// Members are asked at the same time; those known to be silent are left out.
Task<std::vector<MemberReport>> Coordinator::askMembers(std::string Service) {
  std::vector<catalog::Member> Members = pool(Service)->members();
  std::erase_if(Members, [&](const catalog::Member &M) {
    return pool(Service)->isSuspected(M.Id, bootTime());
  });
  struct Collected {
    explicit Collected(runtime::asio::io_context &Io) : Done(Io) {}
    runtime::Event Done;
    std::vector<MemberReport> Reports;
    std::size_t Missing = 0;
  };
  const auto All = std::make_shared<Collected>(S.Io);
  All->Missing = Members.size();
  const auto Ask = [](Coordinator &Self, std::string Name, catalog::Member Info,
                      std::shared_ptr<Collected> To) -> Task<void> {
    if (auto Report = co_await Self.askMember(Name, Info))
      To->Reports.push_back(*Report);
    if (--To->Missing == 0)
      To->Done.notify();
  };
  for (const catalog::Member &Info : Members)
    runtime::spawn(S.Io, Ask(*this, Service, Info, All));
  if (!Members.empty())
    co_await All->Done.wait(2 * AskLimit + PollStep);
  co_return All->Reports;
}

Task<bool> Coordinator::createRecord(std::string Service) {
  const std::vector<MemberReport> Reports = co_await askMembers(Service);
  const MemberReport *Best = nullptr;
  for (const MemberReport &R : Reports)
    if (R.Primary && (Best == nullptr || R.CurrentTerm > Best->CurrentTerm))
      Best = &R;
  if (Best == nullptr)
    co_return false;
  GroupRecord Record;
  Record.Primary = Best->Member;
  Record.PrimaryTerm = Best->CurrentTerm;
  Record.PrimaryIncarnation = S.Members[Best->Member].Incarnation;
  if (!co_await writeRecord(Service, Record, 0))
    co_return false;
  applyRecord(S, Service, Record);
  Others.announce(Service, Record);
  co_return true;
}

// A member that restarted with its log and still leads keeps its place.
Task<bool> Coordinator::confirmRestarted(std::string Service) {
  pool::ServicePool *Pool = pool(Service);
  const GroupRecord Old = Pool->record();
  const catalog::Member *Primary = Pool->primary();
  if (Primary == nullptr)
    co_return false;
  const std::int64_t Born = Primary->Incarnation;
  const auto Report = co_await askMember(Service, *Primary);
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
  Others.announce(Service, Record);
  co_return true;
}

// Every daemon with a lease must have ended its use, or its lease must be over.
Task<bool> Coordinator::endOldUse(std::string Service, GroupRecord Changing) {
  const Time Start = bootTime();
  const std::uint64_t Epoch = Changing.Epoch;
  std::set<std::string> Done;
  while (bootTime() - Start < EndUseLimit && holdsDuty(bootTime())) {
    Expected<keyvalue::RangePage> Page =
        co_await S.Store.range(std::string(cluster::DaemonPrefix));
    if (!Page) {
      co_await runtime::sleepFor(PollStep);
      continue;
    }
    struct Collected {
      explicit Collected(runtime::asio::io_context &Io) : Ready(Io) {}
      runtime::Event Ready;
      std::set<std::string> Agreed;
      std::size_t Missing = 0;
    };
    const auto Round = std::make_shared<Collected>(S.Io);
    const auto Ask = [](Coordinator &Self, std::string Name, std::string Of,
                        GroupRecord Newer,
                        std::shared_ptr<Collected> To) -> Task<void> {
      if (co_await Self.Others.askToRelinquish(Name, Of, Newer, Newer.Epoch,
                                               RelinquishLimit))
        To->Agreed.insert(Name);
      if (--To->Missing == 0)
        To->Ready.notify();
    };
    std::size_t Left = 0;
    for (const keyvalue::Item &Entry : Page.value().Items) {
      const auto Daemon = cluster::decodeDaemon(Entry.Value);
      const std::string Name = Entry.Key.substr(cluster::DaemonPrefix.size());
      if (!Daemon || Done.contains(Name))
        continue;
      ++Left;
      if (Name == S.Settings.InstanceName) {
        co_await pool(Service)->relinquish(Epoch, DrainLimit);
        Done.insert(Name);
        --Left;
        continue;
      }
      ++Round->Missing;
      runtime::spawn(S.Io, Ask(*this, Name, Service, Changing, Round));
    }
    if (Left == 0)
      co_return true;
    co_await Round->Ready.wait(RelinquishLimit + AskLimit);
    Done.insert(Round->Agreed.begin(), Round->Agreed.end());
    if (Round->Agreed.size() == Left)
      co_return true;
    co_await runtime::sleepFor(PollStep);
  }
  co_return false;
}

Task<std::optional<MemberReport>>
Coordinator::selectCandidate(std::string Service, std::string Old) {
  const Time Start = bootTime();
  change::CandidateRules Rules;
  Rules.OldPrimary = Old;
  for (;;) {
    pool::ServicePool *Pool = pool(Service);
    Rules.Replicas = 0;
    for (const catalog::Member &M : Pool->members())
      Rules.Replicas += M.Id == Old ? 0 : 1;
    Rules.SyncReplicas = Pool->spec().SyncReplicas;
    Rules.Waited = bootTime() - Start;
    const std::vector<MemberReport> Reports = co_await askMembers(Service);
    const auto Best = chooseCandidate(Reports, Rules);
    const auto OldReport =
        std::find_if(Reports.begin(), Reports.end(),
                     [&](const MemberReport &R) { return R.Member == Old; });
    const bool CaughtUp = OldReport == Reports.end() ||
                          (Best && Best->Received >= OldReport->Received) ||
                          Rules.Waited > CatchUpLimit;
    if (Best && CaughtUp)
      co_return Best;
    if (bootTime() - Start > CandidateLimit)
      co_return std::nullopt;
    co_await runtime::sleepFor(PollStep);
  }
}

Task<std::optional<MemberReport>> Coordinator::promote(std::string Service,
                                                       MemberReport Candidate,
                                                       Term OldTerm) {
  if (!holdsDuty(bootTime()))
    co_return std::nullopt;
  Expected<http::Response> Answer = co_await Platform.send(
      platform::promoteRequest(Service, Candidate.Member,
                               S.Settings.InstanceName, FencingToken),
      PromoteCallLimit);
  // A lost answer or a conflict is settled by what the members say.
  bool AskAll = false;
  if (Answer) {
    const Expected<void> Result =
        platform::decodePromoteResponse(Answer.value());
    S.Log.write(event::ChangeStep, Service, "promote",
                Result ? Candidate.Member : Result.error().Detail);
    AskAll = !Result;
    if (!Result && Result.error().Kind != FailureKind::Conflict)
      co_return std::nullopt;
  } else {
    S.Log.write(event::ChangeStep, Service, "promote", Answer.error().Detail);
  }
  const Time Start = bootTime();
  const catalog::Member Chosen = S.Members[Candidate.Member];
  while (bootTime() - Start < LeadLimit) {
    std::vector<MemberReport> Reports;
    if (AskAll)
      Reports = co_await askMembers(Service);
    else if (auto Report = co_await askMember(Service, Chosen))
      Reports.push_back(*Report);
    for (const MemberReport &R : Reports)
      if (R.Primary && R.CurrentTerm > OldTerm)
        co_return R;
    co_await runtime::sleepFor(PollStep);
  }
  co_return std::nullopt;
}

Task<void> Coordinator::stepDown(pool::ServicePool &Pool, std::string Service,
                                 GroupRecord Old) {
  const Expected<statement::Reply, pool::CallFailure> Answer =
      co_await Pool.callMember(
          Old.Primary, platform::encodeStepDown(Old.PrimaryTerm + 1), AskLimit);
  S.Log.write(event::ChangeStep, Service, "step down",
              Answer ? std::string_view(Old.Primary) : "no answer");
}

Task<bool> Coordinator::change(std::string Service, Cause Why) {
  pool::ServicePool *Pool = pool(Service);
  const GroupRecord Old = Pool->record();
  GroupRecord Changing = Old;
  Changing.Changing = true;
  if (!co_await writeRecord(Service, Changing, Old.Epoch))
    co_return false;
  if (!co_await endOldUse(Service, Changing)) {
    S.Log.write(event::ChangeFailed, Service, "use of the primary not ended");
    co_return false;
  }
  applyRecord(S, Service, Changing);
  S.Log.write(event::ChangeStep, Service, "old use ended", Old.Primary);
  std::optional<MemberReport> Leader;
  // A change that another daemon began may have promoted already.
  if (Why == Cause::Interrupted)
    for (const MemberReport &R : co_await askMembers(Service))
      if (R.Primary && R.CurrentTerm > Old.PrimaryTerm)
        Leader = R;
  if (!Leader) {
    const auto Candidate = co_await selectCandidate(Service, Old.Primary);
    if (!Candidate) {
      S.Log.write(event::ChangeFailed, Service, "no candidate");
      co_return false;
    }
    // Nobody uses the old primary any more; this spares it a fork of its log.
    if (!Pool->isSuspected(Old.Primary, bootTime()))
      co_await stepDown(*Pool, Service, Old);
    Leader = co_await promote(Service, *Candidate, Old.PrimaryTerm);
  }
  if (!Leader) {
    S.Log.write(event::ChangeFailed, Service, "no member leads a new term");
    co_return false;
  }
  GroupRecord Record;
  Record.Primary = Leader->Member;
  Record.PrimaryTerm = Leader->CurrentTerm;
  Record.PrimaryIncarnation = S.Members[Leader->Member].Incarnation;
  if (!co_await writeRecord(Service, Record, Changing.Epoch))
    co_return false;
  applyRecord(S, Service, Record);
  Others.announce(Service, Record);
  co_return true;
}

} // namespace borageridge::entry
