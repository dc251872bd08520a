#include "cluster/Epoch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

class EpochTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EpochTest);
  CPPUNIT_TEST(aWriteAfterARestoreIsNewerThoughItsRevisionIsLower);
  CPPUNIT_TEST(equalsTheRevisionUntilTheStoreIsRestored);
  CPPUNIT_TEST(containsEraAndRevision);
  CPPUNIT_TEST_SUITE_END();

  void aWriteAfterARestoreIsNewerThoughItsRevisionIsLower() {
    CPPUNIT_ASSERT(makeEpoch(2, 60) > makeEpoch(1, 100));
    CPPUNIT_ASSERT(makeEpoch(2, 61) > makeEpoch(2, 60));
  }

  // Daemons of versions that do not know eras compare revisions.
  void equalsTheRevisionUntilTheStoreIsRestored() {
    CPPUNIT_ASSERT_EQUAL(Epoch(100), makeEpoch(1, 100));
    CPPUNIT_ASSERT(isOfEra(100, 1) && !isOfEra(100, 2));
  }

  void containsEraAndRevision() {
    CPPUNIT_ASSERT_EQUAL(keyvalue::Era(3), eraOf(makeEpoch(3, 70)));
    CPPUNIT_ASSERT_EQUAL(keyvalue::Revision(70), revisionOf(makeEpoch(3, 70)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochTest);

} // namespace
} // namespace borageridge::cluster
