#include "admission/MemoryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::admission {
namespace {

Time at(int Ms) { return Time(std::chrono::milliseconds(Ms)); }

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(nobodyGivesWayInsideTheBudget);
  CPPUNIT_TEST(theLargestHolderGivesWay);
  CPPUNIT_TEST(ofEqualHoldersTheOneWithoutProgressGivesWay);
  CPPUNIT_TEST(ordinaryConnectionsAreNotCounted);
  CPPUNIT_TEST_SUITE_END();

  void nobodyGivesWayInsideTheBudget() {
    MemoryBudget Budget(2000000);
    Budget.set(1, 1000000, at(0));
    Budget.set(2, 1000000, at(0));
    CPPUNIT_ASSERT(!Budget.victim());
  }

  void theLargestHolderGivesWay() {
    MemoryBudget Budget(1000000);
    Budget.set(1, 300000, at(0));
    Budget.set(2, 900000, at(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *Budget.victim());
    Budget.remove(2);
    CPPUNIT_ASSERT(!Budget.victim());
    CPPUNIT_ASSERT_EQUAL(std::size_t(300000), Budget.total());
  }

  // A crowd that stops half-way must not displace a client that is sending.
  void ofEqualHoldersTheOneWithoutProgressGivesWay() {
    MemoryBudget Budget(1000000);
    Budget.set(1, 600000, at(0));
    Budget.set(2, 590000, at(0));
    Budget.set(1, 610000, at(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *Budget.victim());
  }

  void ordinaryConnectionsAreNotCounted() {
    MemoryBudget Budget(10000);
    for (std::uint64_t I = 0; I < 1000; ++I)
      Budget.set(I, 4096, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Budget.total());
    CPPUNIT_ASSERT(!Budget.victim());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace
} // namespace borageridge::admission
