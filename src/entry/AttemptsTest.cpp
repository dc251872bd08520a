#include "entry/Attempts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using statement::ErrorCode;
using std::chrono::milliseconds;

constexpr Time Now{std::chrono::seconds(100)};

class AttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptsTest);
  CPPUNIT_TEST(aWriteWaitsForItsAnswerUntilTheDeadline);
  CPPUNIT_TEST(aReadLeavesTimeForAnotherAttempt);
  CPPUNIT_TEST(aReadWaitsLongerWhenMembersAreSlow);
  CPPUNIT_TEST(noAttemptOutlastsTheDeadline);
  CPPUNIT_TEST(aStatementIsGivenUpWhenItsObjectiveCannotBeMet);
  CPPUNIT_TEST(slowMembersDoNotEndTheWaitAtOnce);
  CPPUNIT_TEST(aRefusalNamesWhatTheMemberSaid);
  CPPUNIT_TEST(aLostReadIsCalledAborted);
  CPPUNIT_TEST(allMembersMayBeAskedAgainOnceAllHaveFailed);
  CPPUNIT_TEST_SUITE_END();

  catalog::Route Route = route();

  static catalog::Route route() {
    catalog::Route R;
    R.TargetLatency = milliseconds(240);
    return R;
  }

  static void assertEqual(Duration Wanted, Duration Found) {
    CPPUNIT_ASSERT_EQUAL(Wanted.count(), Found.count());
  }

  void aWriteWaitsForItsAnswerUntilTheDeadline() {
    assertEqual(milliseconds(700), attemptLimit(Route, false, milliseconds(20),
                                                Now + milliseconds(700), Now));
  }

  void aReadLeavesTimeForAnotherAttempt() {
    assertEqual(milliseconds(120), attemptLimit(Route, true, milliseconds(20),
                                                Now + milliseconds(700), Now));
  }

  void aReadWaitsLongerWhenMembersAreSlow() {
    assertEqual(milliseconds(300), attemptLimit(Route, true, milliseconds(300),
                                                Now + milliseconds(700), Now));
  }

  void noAttemptOutlastsTheDeadline() {
    assertEqual(milliseconds(50), attemptLimit(Route, true, milliseconds(300),
                                               Now + milliseconds(50), Now));
  }

  void aStatementIsGivenUpWhenItsObjectiveCannotBeMet() {
    assertEqual(milliseconds(200),
                latestPlacing(Route, milliseconds(40), Now) - Now);
  }

  void slowMembersDoNotEndTheWaitAtOnce() {
    assertEqual(milliseconds(80),
                latestPlacing(Route, milliseconds(500), Now) - Now);
  }

  void aRefusalNamesWhatTheMemberSaid() {
    const Attempt Shed = statement::localError(
        ErrorCode::Busy, "full", statement::TransactionState::None);
    CPPUNIT_ASSERT(refusalCode(Shed) == ErrorCode::Busy);
  }

  void aLostReadIsCalledAborted() {
    CPPUNIT_ASSERT(refusalCode(pool::CallFailure::MayHaveRun) ==
                   ErrorCode::Aborted);
  }

  void allMembersMayBeAskedAgainOnceAllHaveFailed() {
    pool::PlacementRequest D;
    exclude(D, "a", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Excluded.size());
    exclude(D, "b", 2);
    CPPUNIT_ASSERT(D.Excluded.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);

} // namespace
} // namespace borageridge::entry
