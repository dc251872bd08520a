#include "cluster/ConnectionHolders.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

class ConnectionHoldersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionHoldersTest);
  CPPUNIT_TEST(holdersAreNeededWhenSharesAreTooSmall);
  CPPUNIT_TEST_SUITE_END();

  void holdersAreNeededWhenSharesAreTooSmall() {
    CPPUNIT_ASSERT(!needsConnectionHolders(22, 6));
    CPPUNIT_ASSERT(!needsConnectionHolders(32, 8));
    CPPUNIT_ASSERT(!needsConnectionHolders(22, 10));
    CPPUNIT_ASSERT(needsConnectionHolders(35, 73));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionHoldersTest);

} // namespace
} // namespace borageridge::cluster
