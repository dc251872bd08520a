#include "entry/Attempts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using statement::ErrorCode;
using std::chrono::milliseconds;

constexpr Time Now{std::chrono::seconds(100)};

class AttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptsTest);
  CPPUNIT_TEST(writeWaitsForItsAnswerUntilTheDeadline);
  CPPUNIT_TEST(readTimesOutEarlyEnoughForARetry);
  CPPUNIT_TEST(readTimeoutFollowsTheUsualLatency);
  CPPUNIT_TEST(attemptEndsAtTheDeadline);
  CPPUNIT_TEST(dispatchLeavesTimeForTheUsualLatency);
  CPPUNIT_TEST(readIsNotSentTwiceToTheOnlyMemberThatMayRunIt);
  CPPUNIT_TEST(dispatchMayWaitEvenIfMembersAreSlow);
  CPPUNIT_TEST(refusalKeepsTheErrorOfTheMember);
  CPPUNIT_TEST(lostReadIsRefusedAsAborted);
  CPPUNIT_TEST(allowsAllMembersAgainOnceAllHaveFailed);
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

  void writeWaitsForItsAnswerUntilTheDeadline() {
    assertEqual(milliseconds(700),
                attemptTimeout(Route, Repetition::None, milliseconds(20),
                               Now + milliseconds(700), Now));
  }

  void readTimesOutEarlyEnoughForARetry() {
    assertEqual(milliseconds(120),
                attemptTimeout(Route, Repetition::OtherMember, milliseconds(20),
                               Now + milliseconds(700), Now));
  }

  void readTimeoutFollowsTheUsualLatency() {
    assertEqual(milliseconds(300),
                attemptTimeout(Route, Repetition::OtherMember,
                               milliseconds(300), Now + milliseconds(700),
                               Now));
  }

  // A burst beside a slow member: reads that only the primary could run were
  // cut off after half of their objective and sent to it again.
  void readIsNotSentTwiceToTheOnlyMemberThatMayRunIt() {
    assertEqual(milliseconds(450),
                attemptTimeout(Route, Repetition::SameMember, milliseconds(150),
                               Now + milliseconds(700), Now));
    assertEqual(milliseconds(240),
                attemptTimeout(Route, Repetition::SameMember, milliseconds(20),
                               Now + milliseconds(700), Now));
  }

  void attemptEndsAtTheDeadline() {
    assertEqual(milliseconds(50),
                attemptTimeout(Route, Repetition::OtherMember,
                               milliseconds(300), Now + milliseconds(50), Now));
  }

  void dispatchLeavesTimeForTheUsualLatency() {
    assertEqual(milliseconds(200),
                latestDispatch(Route, milliseconds(40), Now) - Now);
  }

  void dispatchMayWaitEvenIfMembersAreSlow() {
    assertEqual(milliseconds(80),
                latestDispatch(Route, milliseconds(500), Now) - Now);
  }

  void refusalKeepsTheErrorOfTheMember() {
    const Attempt Shed = statement::localError(
        ErrorCode::Busy, "full", statement::TransactionState::None);
    CPPUNIT_ASSERT(refusalCode(Shed) == ErrorCode::Busy);
  }

  void lostReadIsRefusedAsAborted() {
    CPPUNIT_ASSERT(refusalCode(pool::CallFailure::MayHaveRun) ==
                   ErrorCode::Aborted);
  }

  void allowsAllMembersAgainOnceAllHaveFailed() {
    pool::PlacementRequest D;
    excludeMember(D, "a", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), D.Excluded.size());
    excludeMember(D, "b", 2);
    CPPUNIT_ASSERT(D.Excluded.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);

} // namespace
} // namespace borageridge::entry
