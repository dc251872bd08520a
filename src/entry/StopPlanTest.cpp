#include "entry/StopPlan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

class StopPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPlanTest);
  CPPUNIT_TEST(servesAllUntilTheLoadBalancerHasNoticed);
  CPPUNIT_TEST(listenerClosesBeforeTheProcessEnds);
  CPPUNIT_TEST(sessionAcceptedWhenTheListenerClosedKeepsTheProcess);
  CPPUNIT_TEST(sessionsThatNeverEndAreLeftAtTheLimit);
  CPPUNIT_TEST(listenerClosesEarlyEnoughForTheLastSessions);
  CPPUNIT_TEST(transactionsHaveHalfOfTheLimit);
  CPPUNIT_TEST(callersOfAbortedTransactionsHaveTimeForTheirNextStatement);
  CPPUNIT_TEST(statementsAreAnsweredBeforeTheProcessEnds);
  CPPUNIT_TEST(lastAnswersAreWrittenBeforeTheProcessIsKilled);
  CPPUNIT_TEST(shortLimitStillPassesThroughAllPhases);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time() + std::chrono::hours(1);
  StopPlan Subject{Start, milliseconds(6000)};

  StopPhase at(int Ms, std::size_t Sessions) {
    return Subject.update(Start + milliseconds(Ms), Sessions);
  }

  void servesAllUntilTheLoadBalancerHasNoticed() {
    CPPUNIT_ASSERT(at(0, 0) == StopPhase::Announce);
    CPPUNIT_ASSERT(at(2250, 0) == StopPhase::Announce);
    CPPUNIT_ASSERT(at(2300, 4) == StopPhase::Drain);
    CPPUNIT_ASSERT(at(2400, 4) == StopPhase::Drain);
  }

  // The process must not end in the step in which the listener closes: sessions
  // that waited to be accepted begin then.
  void listenerClosesBeforeTheProcessEnds() {
    at(2300, 0);
    CPPUNIT_ASSERT(at(2300, 0) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(2350, 0) == StopPhase::End);
  }

  void sessionAcceptedWhenTheListenerClosedKeepsTheProcess() {
    at(2300, 0);
    CPPUNIT_ASSERT(at(2350, 0) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(2400, 1) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(3900, 1) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(3950, 0) == StopPhase::End);
  }

  void sessionsThatNeverEndAreLeftAtTheLimit() {
    at(2300, 1);
    at(5000, 1);
    CPPUNIT_ASSERT(at(5500, 1) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(5650, 1) == StopPhase::End);
    CPPUNIT_ASSERT(at(5700, 1) == StopPhase::End);
  }

  void listenerClosesEarlyEnoughForTheLastSessions() {
    at(2300, 1);
    CPPUNIT_ASSERT(at(4500, 1) == StopPhase::Drain);
    CPPUNIT_ASSERT(at(4650, 1) == StopPhase::Finish);
  }

  void transactionsHaveHalfOfTheLimit() {
    CPPUNIT_ASSERT(!Subject.abortsTransactions(Start + milliseconds(2999)));
    CPPUNIT_ASSERT(Subject.abortsTransactions(Start + milliseconds(3000)));
  }

  void callersOfAbortedTransactionsHaveTimeForTheirNextStatement() {
    for (const int AbortedMs : {3000, 4100}) {
      const Time AbortedAt = Start + milliseconds(AbortedMs);
      CPPUNIT_ASSERT(!StopPlan::closesTransaction(
          AbortedAt, AbortedAt + milliseconds(650)));
      CPPUNIT_ASSERT(StopPlan::closesTransaction(
          AbortedAt, AbortedAt + milliseconds(750)));
    }
  }

  // Guards against statements that are in work when the process ends.
  void statementsAreAnsweredBeforeTheProcessEnds() {
    at(2300, 1);
    at(5000, 1);
    const auto Latest = std::chrono::duration_cast<milliseconds>(
        Subject.latestAnswer() - Start);
    CPPUNIT_ASSERT(at(static_cast<int>(Latest.count()) + 100, 1) !=
                   StopPhase::End);
    CPPUNIT_ASSERT(Latest < milliseconds(6000));
    CPPUNIT_ASSERT(Latest > milliseconds(5000));
  }

  void lastAnswersAreWrittenBeforeTheProcessIsKilled() {
    CPPUNIT_ASSERT(Subject.latestAnswer() < Subject.latestReply());
    CPPUNIT_ASSERT(Subject.end() - Subject.latestReply() >= milliseconds(100));
    CPPUNIT_ASSERT(Subject.end() - Start <= milliseconds(5900));
    const Time Before = Subject.latestAnswer() - milliseconds(20);
    CPPUNIT_ASSERT(Subject.untilNextUpdate(Before) == milliseconds(20));
  }

  void shortLimitStillPassesThroughAllPhases() {
    Subject = StopPlan(Start, milliseconds(1000));
    CPPUNIT_ASSERT(at(290, 1) == StopPhase::Announce);
    CPPUNIT_ASSERT(at(310, 1) == StopPhase::Drain);
    CPPUNIT_ASSERT(at(320, 1) == StopPhase::Finish);
    CPPUNIT_ASSERT(at(600, 1) == StopPhase::End);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopPlanTest);

} // namespace
} // namespace borageridge::entry
