#include "pool/ConnectionBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::pool {
namespace {

using std::chrono::milliseconds;

class ConnectionBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
  CPPUNIT_TEST(sharesLeaveRoomForOthers);
  CPPUNIT_TEST(connectionsWithinTheShareMayAlwaysBeOpened);
  CPPUNIT_TEST(borrowingIsLimited);
  CPPUNIT_TEST(refusalEndsBorrowing);
  CPPUNIT_TEST(connectionsWithinTheShareAreRetriedAfterRefusal);
  CPPUNIT_TEST(repeatedRefusalsBackOffExponentially);
  CPPUNIT_TEST(idleBorrowedConnectionsAreClosed);
  CPPUNIT_TEST(borrowedConnectionsAreClosedWhenAnotherDaemonIsStarved);
  CPPUNIT_TEST(aDaemonRefusedBelowItsShareIsStarved);
  CPPUNIT_TEST(allButOneUnusedConnectionsAreClosed);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(100));
  ConnectionBudget Subject;

  void sharesLeaveRoomForOthers() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Daemons = *rc::gen::inRange<std::size_t>(1, 100);
      const auto Connections = *rc::gen::inRange<std::uint32_t>(
          static_cast<std::uint32_t>(2 * Daemons), 5000);
      RC_ASSERT(connectionShare(Connections, Daemons) * Daemons <= Connections);
    }));
    CPPUNIT_ASSERT_EQUAL(3U, connectionShare(22, 6));
    CPPUNIT_ASSERT_EQUAL(3U, connectionShare(32, 8));
  }

  void connectionsWithinTheShareMayAlwaysBeOpened() {
    CPPUNIT_ASSERT(Subject.mayOpen(2, 3, Start));
  }

  void borrowingIsLimited() {
    CPPUNIT_ASSERT(Subject.mayOpen(5, 3, Start));
    CPPUNIT_ASSERT(!Subject.mayOpen(6, 3, Start));
  }

  void refusalEndsBorrowing() {
    Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(!Subject.mayOpen(3, 3, Start + milliseconds(1900)));
    CPPUNIT_ASSERT(Subject.mayOpen(3, 3, Start + milliseconds(2000)));
  }

  void connectionsWithinTheShareAreRetriedAfterRefusal() {
    Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(!Subject.mayOpen(0, 3, Start + milliseconds(50)));
    CPPUNIT_ASSERT(Subject.mayOpen(0, 3, Start + milliseconds(200)));
  }

  void repeatedRefusalsBackOffExponentially() {
    for (int I = 0; I < 5; ++I)
      Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(!Subject.mayOpen(0, 3, Start + milliseconds(900)));
    CPPUNIT_ASSERT(Subject.mayOpen(0, 3, Start + milliseconds(1000)));
    Subject.recordSuccess();
    Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(Subject.mayOpen(0, 3, Start + milliseconds(200)));
  }

  void borrowedConnectionsAreClosedWhenAnotherDaemonIsStarved() {
    Subject.stopBorrowing(Start);
    CPPUNIT_ASSERT(Subject.isSurplus(4, 3, Duration::zero(), Start));
    CPPUNIT_ASSERT(!Subject.isSurplus(3, 3, Duration::zero(), Start));
    CPPUNIT_ASSERT(!Subject.mayOpen(3, 3, Start + milliseconds(100)));
  }

  void aDaemonRefusedBelowItsShareIsStarved() {
    CPPUNIT_ASSERT(!Subject.isStarved(1, 3, Start));
    Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(Subject.isStarved(1, 3, Start + milliseconds(1000)));
    CPPUNIT_ASSERT(!Subject.isStarved(3, 3, Start + milliseconds(1000)));
    CPPUNIT_ASSERT(!Subject.isStarved(1, 3, Start + milliseconds(1200)));
    Subject.recordSuccess();
    CPPUNIT_ASSERT(!Subject.isStarved(1, 3, Start));
  }

  void idleBorrowedConnectionsAreClosed() {
    CPPUNIT_ASSERT(!Subject.isSurplus(3, 3, milliseconds(600), Start));
    CPPUNIT_ASSERT(!Subject.isSurplus(4, 3, milliseconds(100), Start));
    CPPUNIT_ASSERT(Subject.isSurplus(4, 3, milliseconds(600), Start));
  }

  void allButOneUnusedConnectionsAreClosed() {
    CPPUNIT_ASSERT(Subject.isSurplus(2, 3, milliseconds(1600), Start));
    CPPUNIT_ASSERT(!Subject.isSurplus(1, 3, std::chrono::hours(1), Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

} // namespace
} // namespace borageridge::pool
