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
  M.Born = 1;
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
  CPPUNIT_TEST(oneDaemonAloneDecidesNothing);
  CPPUNIT_TEST(aPartOfTheDaemonsIsEnough);
  CPPUNIT_TEST(daemonsThatDoNotReportCountAsReachingIt);
  CPPUNIT_TEST(theOnlyDaemonDecidesAlone);
  CPPUNIT_TEST(reportsAboutThePredecessorDoNotCount);
  CPPUNIT_TEST(briefSilenceIsNoEvidence);
  CPPUNIT_TEST(aCalmServiceNeedsNoChange);
  CPPUNIT_TEST(aLeavingPrimaryIsReplaced);
  CPPUNIT_TEST(withoutASuccessorNothingIsChanged);
  CPPUNIT_TEST(aRestartedPrimaryIsExamined);
  CPPUNIT_TEST(anUnfinishedChangeIsTakenUp);
  CPPUNIT_TEST(aVanishedEntryIsNotBelievedAtOnce);
  CPPUNIT_TEST(theLongestLogWins);
  CPPUNIT_TEST(aLeavingReplicaIsTakenOnlyForItsLog);
  CPPUNIT_TEST(aStayingReplicaIsTakenWhileTheOldPrimaryAnswers);
  CPPUNIT_TEST(aSilentReplicaIsWaitedForAWhile);
  CPPUNIT_TEST(withSynchronousReplicasEnoughOfThemMustAnswer);
  CPPUNIT_TEST(noAcknowledgedSynchronousCommitIsLost);
  CPPUNIT_TEST_SUITE_END();

  std::vector<catalog::Member> Members = {member("a"), member("b"),
                                          member("c")};
  ReportList About = ReportList(6, PrimaryReport{"a", std::nullopt});

  Situation situation() {
    Situation Known;
    Known.Record.Epoch = 9;
    Known.Record.Primary = "a";
    Known.Record.PrimaryBorn = 1;
    Known.Members = Members;
    Known.About = About;
    Known.LiveDaemons = 6;
    return Known;
  }

  void oneDaemonAloneDecidesNothing() {
    About[0] = Silent;
    CPPUNIT_ASSERT(!isUnreachable(About, "a", 6));
  }

  void aPartOfTheDaemonsIsEnough() {
    About[0] = Silent;
    About[1] = Refused;
    CPPUNIT_ASSERT(isUnreachable(About, "a", 6));
    CPPUNIT_ASSERT(!isUnreachable(About, "a", 7));
  }

  void daemonsThatDoNotReportCountAsReachingIt() {
    const ReportList Own = {Silent};
    CPPUNIT_ASSERT(!isUnreachable(Own, "a", 6));
  }

  void theOnlyDaemonDecidesAlone() {
    const ReportList Own = {Silent};
    CPPUNIT_ASSERT(isUnreachable(Own, "a", 1));
  }

  // After a change, peers tell of the former primary until they know the new.
  void reportsAboutThePredecessorDoNotCount() {
    const ReportList Old(6, Silent);
    CPPUNIT_ASSERT(isUnreachable(Old, "a", 6));
    CPPUNIT_ASSERT(!isUnreachable(Old, "b", 6));
  }

  void briefSilenceIsNoEvidence() {
    const ReportList Brief(
        6, PrimaryReport{"a", Evidence{false, milliseconds(500)}});
    CPPUNIT_ASSERT(!isUnreachable(Brief, "a", 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), confirmations(Brief, "a"));
  }

  void aCalmServiceNeedsNoChange() {
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::None);
  }

  void aLeavingPrimaryIsReplaced() {
    Members[0].Leaving = true;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::Leaving);
  }

  void withoutASuccessorNothingIsChanged() {
    Members[0].Leaving = Members[1].Leaving = Members[2].Leaving = true;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::None);
  }

  void aRestartedPrimaryIsExamined() {
    Members[0].Born = 2;
    CPPUNIT_ASSERT(changeCause(situation(), Now) == Cause::Restarted);
  }

  void anUnfinishedChangeIsTakenUp() {
    Situation Known = situation();
    Known.Record.Changing = true;
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Interrupted);
  }

  void aVanishedEntryIsNotBelievedAtOnce() {
    Members.erase(Members.begin());
    Situation Known = situation();
    Known.GoneSince = Now - milliseconds(2000);
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::None);
    Known.GoneSince = Now - milliseconds(2500);
    CPPUNIT_ASSERT(changeCause(Known, Now) == Cause::Gone);
  }

  CandidateRules rules(std::size_t Sync, Duration Waited = {}) {
    return {"a", 2, Sync, Waited};
  }

  void theLongestLogWins() {
    const std::vector From = {report("b", 10), report("c", 11)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(From, rules(0))->Member);
  }

  void aLeavingReplicaIsTakenOnlyForItsLog() {
    const std::vector Equal = {report("b", 10, true), report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(Equal, rules(0))->Member);
    const std::vector Longer = {report("b", 11, true), report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         chooseCandidate(Longer, rules(0))->Member);
  }

  void aStayingReplicaIsTakenWhileTheOldPrimaryAnswers() {
    const std::vector From = {report("a", 12), report("b", 11, true),
                              report("c", 10)};
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         chooseCandidate(From, rules(0))->Member);
  }

  void aSilentReplicaIsWaitedForAWhile() {
    const std::vector From = {report("b", 10)};
    CPPUNIT_ASSERT(!chooseCandidate(From, rules(0)));
    CPPUNIT_ASSERT(chooseCandidate(From, rules(0, milliseconds(300))));
  }

  void withSynchronousReplicasEnoughOfThemMustAnswer() {
    const std::vector From = {report("b", 10)};
    CPPUNIT_ASSERT(!chooseCandidate(From, rules(1, std::chrono::hours(1))));
  }

  // An acknowledged commit is on at least Sync of the replicas; whichever
  // replicas answer, the candidate has it.
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
      std::vector<MemberReport> Heard;
      for (const MemberReport &R : All)
        if (*rc::gen::arbitrary<bool>())
          Heard.push_back(R);
      const auto Chosen =
          chooseCandidate(Heard, {"a", Replicas, Sync, std::chrono::hours(1)});
      RC_ASSERT(!Chosen || Chosen->Received.Index >= Acknowledged);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePolicyTest);

} // namespace
} // namespace borageridge::change
