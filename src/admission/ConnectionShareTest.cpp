#include "admission/ConnectionShare.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::admission {
namespace {

class ConnectionShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionShareTest);
  CPPUNIT_TEST(sharesOfAllProxiesStayWithinTheMembersLimit);
  CPPUNIT_TEST(readsNeverTakeTheLastConnectionOfALargerShare);
  CPPUNIT_TEST(dividesAsDeclared);
  CPPUNIT_TEST(readsCanUseAShareOfOneUnlessTheReserveIsComplete);
  CPPUNIT_TEST_SUITE_END();

  void sharesOfAllProxiesStayWithinTheMembersLimit() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Proxies = *rc::gen::inRange<std::uint32_t>(1, 200);
      const auto Connections = *rc::gen::inRange<std::uint32_t>(Proxies, 5000);
      const std::uint32_t Each = share(Connections, Proxies);
      RC_ASSERT(Each >= 1U);
      RC_ASSERT(Each * Proxies <= Connections);
    }));
  }

  void readsNeverTakeTheLastConnectionOfALargerShare() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Share = *rc::gen::inRange<std::uint32_t>(2, 1000);
      const double Reserve = *rc::gen::inRange(0, 101) / 100.0;
      const std::uint32_t Reads = readsOnPrimary(Share, Reserve);
      RC_ASSERT(Reads < Share);
      RC_ASSERT(Share - Reads >= Share * Reserve - 1e-6);
    }));
  }

  void dividesAsDeclared() {
    CPPUNIT_ASSERT_EQUAL(3U, share(30, 8));
    CPPUNIT_ASSERT_EQUAL(1U, share(4, 8));
    CPPUNIT_ASSERT_EQUAL(5U, share(5, 0));
    CPPUNIT_ASSERT_EQUAL(1U, readsOnPrimary(3, 0.5));
    CPPUNIT_ASSERT_EQUAL(7U, readsOnPrimary(10, 0.3));
    CPPUNIT_ASSERT_EQUAL(9U, readsOnPrimary(10, 0.0));
    CPPUNIT_ASSERT_EQUAL(0U, readsOnPrimary(10, 1.0));
  }

  void readsCanUseAShareOfOneUnlessTheReserveIsComplete() {
    CPPUNIT_ASSERT_EQUAL(1U, readsOnPrimary(1, 0.5));
    CPPUNIT_ASSERT_EQUAL(0U, readsOnPrimary(1, 1.0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionShareTest);

} // namespace
} // namespace borageridge::admission
