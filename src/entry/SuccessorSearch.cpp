#include "entry/Coordinator.h"

#include "entry/Events.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using change::MemberReport;
using cluster::GroupRecord;
using runtime::bootTime;
using runtime::Task;

constexpr Duration SearchTimeout = std::chrono::milliseconds(4000);
constexpr Duration PollInterval = std::chrono::milliseconds(30);
// A member that was called for and then fell silent has no entry any more some
// four seconds later. Failures from which a member returns with its role last
// less than both together.
constexpr Duration EndedContenderTime = std::chrono::milliseconds(7500);

} // namespace

// The choice of the member that a change of primary promotes, or of the primary
// to which it leads back.

std::optional<change::LeadBack> Coordinator::leadBack(
    const std::string &Service, const ChangeInProgress &Change,
    std::span<const MemberReport> Reports, Duration Waited, Time Now) {
  const pool::ServicePool &Pool = *findPool(Service);
  const GroupRecord &Record = Change.Changing;
  std::vector<std::string> Contenders =
      callsFor(Service, Record, Now).unsettled(Now);
  if (!Record.Candidate.empty())
    Contenders.push_back(Record.Candidate);
  std::erase(Contenders, Record.Primary);
  const bool MayRun = std::any_of(Contenders.begin(), Contenders.end(),
                                  [&](const std::string &Member) {
                                    return !ContendersAbsent[Service].hasLasted(
                                        Member, EndedContenderTime, Now);
                                  });
  const std::vector<catalog::Member> Members = Pool.members();
  const bool AwaitsReports = std::any_of(
      Members.begin(), Members.end(), [&](const catalog::Member &M) {
        return !Pool.isSuspected(M.Id, Now) &&
               std::none_of(
                   Reports.begin(), Reports.end(),
                   [&](const MemberReport &R) { return R.Member == M.Id; });
      });
  const auto Sample = Pool.newestSample();
  return change::chooseLeadBack(
      {.Record = Record,
       .Reports = Reports,
       .KnownPosition = Sample ? std::optional(Sample->At) : std::nullopt,
       .HasContenders = !Contenders.empty() || Change.IsSuperseded ||
                        NewestTerms[Service] > Record.PrimaryTerm,
       .ContendersMayRun = MayRun,
       .IsSynchronous = Pool.spec().SyncReplicas > 0,
       .AwaitsReports = AwaitsReports,
       .IsLeaving = Change.Reason == change::Cause::Leaving,
       .Waited = Waited});
}

// The number of members of which enough must report, so that one of them has
// each acknowledged commit.
Task<std::size_t>
Coordinator::countReceivers(std::string Service, GroupRecord Record,
                            std::vector<MemberReport> Reports) {
  const pool::ServicePool &Pool = *findPool(Service);
  change::Receivers Possible =
      change::possibleReceivers(Record, Pool.members());
  // The primary may be back under a new id.
  if (const auto Primary =
          change::findRecordedPrimary(Reports, Record, std::nullopt))
    std::erase_if(Possible, [&](const cluster::Receiver &Each) {
      return Each.Member == Primary->Member;
    });
  const auto Ended = endedReceivers(Service, Possible, bootTime());
  co_return (co_await withoutEnded(Service, Possible, Ended, Reports)).size();
}

Task<std::optional<Coordinator::Successor>>
Coordinator::findSuccessor(std::string Service,
                           const ChangeInProgress &Change) {
  const Time Start = bootTime();
  const GroupRecord &Record = Change.Changing;
  change::CandidateRules Rules;
  Rules.OldPrimary = Record.Primary;
  Rules.OldTerm = Record.PrimaryTerm;
  if (const auto Failed = FailedCandidates.find(Service);
      Failed != FailedCandidates.end())
    Rules.Failed = Failed->second;
  for (;;) {
    pool::ServicePool *Pool = findPool(Service);
    Rules.SyncReplicas = Pool->spec().SyncReplicas;
    Rules.Waited = bootTime() - Start;
    std::vector<MemberReport> Reports = co_await queryMembers(Service);
    if (Rules.SyncReplicas > 0) {
      // A primary that has lost its log shows nothing.
      std::erase_if(Reports, [&](const MemberReport &R) {
        return R.Member == Record.Primary &&
               R.Incarnation != Record.PrimaryIncarnation;
      });
      Rules.Replicas = co_await countReceivers(Service, Record, Reports);
    } else {
      const std::vector<catalog::Member> Members = Pool->members();
      Rules.Replicas = static_cast<std::size_t>(std::count_if(
          Members.begin(), Members.end(),
          [&](const catalog::Member &M) { return M.Id != Record.Primary; }));
    }
    const auto Back =
        leadBack(Service, Change, Reports, Rules.Waited, bootTime());
    if (Back && Back->Leads && Back->Member.Member != Record.Primary)
      co_return Successor{Back->Member, true};
    const auto Best = chooseCandidate(Reports, Rules);
    const auto OldReport = std::find_if(
        Reports.begin(), Reports.end(),
        [&](const MemberReport &R) { return R.Member == Record.Primary; });
    const bool CaughtUp = OldReport == Reports.end() ||
                          (Best && Best->Received >= OldReport->Received) ||
                          Rules.Waited > change::CatchUpTimeout;
    if (Best && CaughtUp)
      co_return Successor{*Best, false};
    if (Back && !Best)
      co_return Successor{Back->Member, Back->Leads};
    if (bootTime() - Start > SearchTimeout || !isActive(bootTime()))
      co_return std::nullopt;
    co_await runtime::sleepFor(PollInterval);
  }
}

// The record names the member before the promotion is called for. A coordinator
// that continues the change calls for the same member again, since the former
// call may still take effect, unless the member cannot take over.
Task<std::optional<Coordinator::Successor>>
Coordinator::nameCandidate(std::string Service, ChangeInProgress &Change) {
  GroupRecord &Changing = Change.Changing;
  const auto Failed = FailedCandidates.find(Service);
  // A candidate that has started again has lost its log.
  const auto Processes =
      std::count_if(Changing.Receivers.begin(), Changing.Receivers.end(),
                    [&](const cluster::Receiver &R) {
                      return R.Member == Changing.Candidate;
                    });
  const bool MayTakeOver = !Changing.Candidate.empty() && Processes <= 1 &&
                           (Failed == FailedCandidates.end() ||
                            Failed->second != Changing.Candidate);
  if (MayTakeOver) {
    MemberReport Named;
    Named.Member = Changing.Candidate;
    co_return Successor{Named, false};
  }
  const Time Now = bootTime();
  // A member that has taken over late already leads.
  std::optional<Successor> Found;
  if (!Changing.Unsettled.empty())
    if (const auto Leader = change::findNewLeader(
            co_await queryMembers(Service), Changing.PrimaryTerm, ""))
      Found = Successor{*Leader, false};
  if (!Found)
    Found = co_await findSuccessor(Service, Change);
  if (!Found) {
    S.Log.write(event::ChangeFailed, Service,
                "no suitable replica found in time");
    co_return std::nullopt;
  }
  if (Found->LeadsBack) {
    S.Log.write(event::ChangeStep, Service, "recorded primary still leads",
                Found->Member.Member);
    co_return Found;
  }
  FailedCandidates.erase(Service);
  if (Found->Member.Member == Changing.Candidate)
    co_return Found;
  GroupRecord Named = Changing;
  Named.Candidate = Found->Member.Member;
  Named.Unsettled = callsFor(Service, Changing, Now).unsettled(Now);
  addReceivers(Service, Named);
  if (!co_await writeRecord(Service, Named, Changing.Epoch))
    co_return std::nullopt;
  Changing = Named;
  applyRecord(S, Service, Changing);
  S.Log.write(event::ChangeStep, Service, "candidate recorded",
              Changing.Candidate);
  co_return Found;
}

} // namespace borageridge::entry
