#include "change/ChangePolicy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace borageridge::change {
namespace {

using pool::Evidence;
using std::chrono::milliseconds;

using ReportList = std::vector<PrimaryReport>;

const PrimaryReport Silent{"a", Evidence{false, milliseconds(700)}};
const PrimaryReport Refused{"a", Evidence{true, milliseconds(200)}};
const Time Now = Time(std::chrono::seconds(100));

catalog::Member member(const std::string &Id, bool Leaving = false) {
  catalog::Member M;
  M.Id = Id;
  M.Leaving = Leaving;
  M.Incarnation = 1;
  return M;
}

MemberReport report(const std::string &Id, LogIndex Received,
                    bool Leaving = false) {
  MemberReport R;
  R.Member = Id;
  R.Received = {1, Received};
  R.Leaving = Leaving;
  return R;
}

class ChangePolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangePolicyTest);
  CPPUNIT_TEST(oneOfSeveralDaemonsCannotConfirm);
  CPPUNIT_TEST(aFractionOfTheDaemonsConfirms);
  CPPUNIT_TEST(daemonsWithoutReportCountAsReachingThePrimary);
  CPPUNIT_TEST(theOnlyDaemonConfirmsAlone);
  CPPUNIT_TEST(reportsAboutThePredecessorDoNotCount);
  CPPUNIT_TEST(briefSilenceDoesNotConfirm);
  CPPUNIT_TEST(aHealthyServiceNeedsNoChange);
  CPPUNIT_TEST(aLeavingPrimaryIsReplaced);
  CPPUNIT_TEST(withoutASuccessorThereIsNoChange);
  CPPUNIT_TEST(aMemberThatDoesNotRespondIsNoSuccessor);
  CPPUNIT_TEST(aRestartedPrimaryCausesAChange);
  CPPUNIT_TEST(anInterruptedChangeIsResumed);
  CPPUNIT_TEST(aRecordFromBeforeARestoreIsConfirmedFirst);
  CPPUNIT_TEST(aMissingEntryCountsAfterADelay);
  CPPUNIT_TEST(aSupersededPrimaryIsReplacedAtOnce);
  CPPUNIT_TEST(settledMembersAreRemovedIfNothingElseIsToDo);
  CPPUNIT_TEST(theLongestLogIsPreferred);
  CPPUNIT_TEST(aLeavingReplicaIsChosenOnlyForALongerLog);
  CPPUNIT_TEST(aStayingReplicaIsPreferredWhileTheOldPrimaryResponds);
  CPPUNIT_TEST(aSilentReplicaDelaysTheChoice);
  CPPUNIT_TEST(withSynchronousReplicasEnoughMustReport);
  CPPUNIT_TEST(noAcknowledgedSynchronousCommitIsLost);
  CPPUNIT_TEST(aSynchronousCandidateHasAllThatTheOldPrimaryShows);
  CPPUNIT_TEST(onlyTheCandidateIsTheNewLeader);
  CPPUNIT_TEST(theNewestTermLeadsIfNoCandidateIsKnown);
  CPPUNIT_TEST(anotherMemberIsPreferredToOneThatDidNotTakeOver);
  CPPUNIT_TEST(aPrimaryWithANewIdIsNoCandidate);
  CPPUNIT_TEST_SUITE_END();

  std::vector<catalog::Member> Members = {member("a"), member("b"),
                                          member("c")};
  ReportList Reports = ReportList(6, PrimaryReport{"a", std::nullopt});

  ServiceObservation situation() {
    ServiceObservation Known;
    Known.Record.Epoch = 9;
    Known.Record.Primary = "a";
    Known.Record.PrimaryIncarnation = 1;
    Known.Members = Members;
    Known.Reports = Reports;
    Known.LiveDaemons = 6;
    return Known;
  }

  void oneOfSeveralDaemonsCannotConfirm() {
    Reports[0] = Silent;
    CPPUNIT_ASSERT(!isUnreachable(Reports, "a", 6));
  }

  void aFractionOfTheDaemonsConfirms() {
    Reports[0] = Silent;
    Reports[1] = Refused;
    CPPUNIT_ASSERT(isUnreachable(Reports, "a", 6));
    CPPUNIT_ASSERT(!isUnreachable(Reports, "a", 7));
  }

  void daemonsWithoutReportCountAsReachingThePrimary() {
    const ReportList Own = {Silent};
    CPPUNIT_ASSERT(!isUnreachable(Own, "a", 6));
  }

  void theOnlyDaemonConfirmsAlone() {
    const ReportList Own = {Silent};
    CPPUNIT_ASSERT(isUnreachable(Own, "a", 1));
  }

  // After a change, peers report about the former primary until they learn of
  // the new one.
  void reportsAboutThePredecessorDoNotCount() {
    const ReportList Old(6, Silent);
    CPPUNIT_ASSERT(isUnreachable(Old, "a", 6));
    CPPUNIT_ASSERT(!isUnreachable(Old, "b", 6));
  }

  void briefSilenceDoesNotConfirm() {
    const ReportList Brief(
        6, PrimaryReport{"a", Evidence{false, milliseconds(500)}});
    CPPUNIT_ASSERT(!isUnreachable(Brief, "a", 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), confirmations(Brief, "a"));
  }

  void aHealthyServiceNeedsNoChange() {
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::None);
  }

  // Guards against a primary that claims the role without limit because it does
  // not reach the member that has taken over.
  void aSupersededPrimaryIsReplacedAtOnce() {
    ServiceObservation Known = situation();
    Known.IsSuperseded = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::NotLeading);
  }

  void settledMembersAreRemovedIfNothingElseIsToDo() {
    ServiceObservation Known = situation();
    Known.HasSettled = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Settled);
    Members[0].Leaving = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Leaving);
  }

  void aLeavingPrimaryIsReplaced() {
    Members[0].Leaving = true;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::Leaving);
  }

  void withoutASuccessorThereIsNoChange() {
    Members[0].Leaving = Members[1].Leaving = Members[2].Leaving = true;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::None);
  }

  // Guards against a change that stops the service and finds nobody.
  void aMemberThatDoesNotRespondIsNoSuccessor() {
    const std::vector<std::string> Suspected = {"b", "c"};
    Members[0].Leaving = true;
    ServiceObservation Known = situation();
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Leaving);
    Known.Suspected = Suspected;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::None);
  }

  void aRestartedPrimaryCausesAChange() {
    Members[0].Incarnation = 2;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::Restarted);
  }

  void anInterruptedChangeIsResumed() {
    ServiceObservation Known = situation();
    Known.Record.Changing = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Interrupted);
  }

  void aRecordFromBeforeARestoreIsConfirmedFirst() {
    ServiceObservation Known = situation();
    Known.StoreEra = 2;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Restored);
    Known.Record.Changing = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Interrupted);
    Known.Record.Changing = false;
    Known.Record.Epoch = cluster::makeEpoch(2, 4);
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::None);
  }

  void aMissingEntryCountsAfterADelay() {
    Members.erase(Members.begin());
    ServiceObservation Known = situation();
    Known.GoneSince = Now - milliseconds(2000);
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::None);
    Known.GoneSince = Now - milliseconds(2500);
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Gone);
  }

  CandidateRules rules(std::size_t Sync, Duration Waited = {}) {
    return {"a", 2, Sync, Waited};
  }

  void theLongestLogIsPreferred() {
    const std::vector MemberReports = {report("b", 10), report("c", 11)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(MemberReports, rules(0))->Member);
  }

  void aLeavingReplicaIsChosenOnlyForALongerLog() {
    const std::vector Equal = {report("b", 10, true), report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(Equal, rules(0))->Member);
    const std::vector Longer = {report("b", 11, true), report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         chooseCandidate(Longer, rules(0))->Member);
  }

  void aStayingReplicaIsPreferredWhileTheOldPrimaryResponds() {
    const std::vector MemberReports = {report("a", 12), report("b", 11, true),
                                       report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(MemberReports, rules(0))->Member);
  }

  void aSilentReplicaDelaysTheChoice() {
    const std::vector MemberReports = {report("b", 10)};
    CPPUNIT_ASSERT(!chooseCandidate(MemberReports, rules(0)));
    CPPUNIT_ASSERT(chooseCandidate(MemberReports, rules(0, milliseconds(300))));
  }

  void withSynchronousReplicasEnoughMustReport() {
    const std::vector MemberReports = {report("b", 10)};
    CPPUNIT_ASSERT(
        !chooseCandidate(MemberReports, rules(1, std::chrono::hours(1))));
  }

  // An acknowledged commit is on at least Sync replicas. Whichever replicas
  // report, a chosen candidate has the commit.
  void noAcknowledgedSynchronousCommitIsLost() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Replicas = *rc::gen::inRange<std::size_t>(1, 6);
      const auto Sync = *rc::gen::inRange<std::size_t>(1, Replicas + 1);
      std::vector<MemberReport> All;
      for (std::size_t I = 0; I < Replicas; ++I)
        All.push_back(report(std::string(1, static_cast<char>('b' + I)),
                             *rc::gen::inRange<LogIndex>(0, 50)));
      std::vector<LogIndex> Sorted;
      Sorted.reserve(All.size());
      for (const MemberReport &R : All)
        Sorted.push_back(R.Received.Index);
      std::sort(Sorted.rbegin(), Sorted.rend());
      const LogIndex Acknowledged = Sorted[Sync - 1];
      std::vector<MemberReport> Reported;
      for (const MemberReport &R : All)
        if (*rc::gen::arbitrary<bool>())
          Reported.push_back(R);
      const auto Chosen = chooseCandidate(
          Reported, {"a", Replicas, Sync, std::chrono::hours(1)});
      RC_ASSERT(!Chosen || Chosen->Received.Index >= Acknowledged);
    }));
  }

  // Guards against a planned replacement by a replica that receives nothing.
  void aSynchronousCandidateHasAllThatTheOldPrimaryShows() {
    const Duration Long = std::chrono::hours(1);
    const std::vector Behind = {report("a", 12), report("b", 11)};
    CPPUNIT_ASSERT(!chooseCandidate(Behind, rules(1, Long)));
    CPPUNIT_ASSERT(chooseCandidate(Behind, rules(0, Long)));
    const std::vector Leaving = {report("a", 12), report("b", 11),
                                 report("c", 12, true)};
    CPPUNIT_ASSERT(!chooseCandidate(Leaving, rules(1, milliseconds(599))));
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(Leaving, rules(1, Long))->Member);
  }

  static MemberReport leader(const std::string &Id, Term Leads) {
    MemberReport R = report(Id, 5);
    R.Primary = true;
    R.CurrentTerm = Leads;
    return R;
  }

  // Guards against a leader that the promotion of another replaces.
  void onlyTheCandidateIsTheNewLeader() {
    const std::vector<MemberReport> Known = {leader("b", 2), report("c", 5)};
    CPPUNIT_ASSERT(!findNewLeader(Known, 1, "c"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         findNewLeader(Known, 1, "b")->Member);
    CPPUNIT_ASSERT(!findNewLeader(Known, 2, "b"));
  }

  void theNewestTermLeadsIfNoCandidateIsKnown() {
    const std::vector<MemberReport> Known = {leader("a", 1), leader("b", 3),
                                             leader("c", 2)};
    CPPUNIT_ASSERT_EQUAL(std::string("b"), findNewLeader(Known, 1, "")->Member);
  }

  // Guards against calls for the promotion of the present primary, which change
  // nothing.
  void aPrimaryWithANewIdIsNoCandidate() {
    const std::vector<MemberReport> Known = {leader("a2", 3), report("c", 4)};
    CandidateRules Rules = rules(0, milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"),
                         chooseCandidate(Known, Rules)->Member);
    Rules.OldTerm = 3;
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(Known, Rules)->Member);
  }

  void anotherMemberIsPreferredToOneThatDidNotTakeOver() {
    const std::vector<MemberReport> Known = {report("b", 9), report("c", 5)};
    CandidateRules Rules;
    Rules.OldPrimary = "a";
    Rules.Replicas = 2;
    Rules.Failed = "b";
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(Known, Rules)->Member);
    Rules.SyncReplicas = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         chooseCandidate(Known, Rules)->Member);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePolicyTest);

} // namespace
} // namespace borageridge::change
