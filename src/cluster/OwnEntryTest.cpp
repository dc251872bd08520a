#include "cluster/OwnEntry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

class OwnEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnEntryTest);
  CPPUNIT_TEST(isNotLostBeforeItWasWritten);
  CPPUNIT_TEST(isLostOnceItsRemovalIsRead);
  CPPUNIT_TEST(isLostOnceAnotherLeaseHoldsIt);
  CPPUNIT_TEST(isNotLostByStatesOfBeforeTheWrite);
  CPPUNIT_TEST(isNotLostIfItIsReadAsWritten);
  CPPUNIT_TEST(isNotLostByHigherRevisionsOfAnEarlierEra);
  CPPUNIT_TEST_SUITE_END();

  OwnEntry Subject;

  void isNotLostBeforeItWasWritten() {
    Subject.seen(5, 0);
    CPPUNIT_ASSERT(!Subject.isLost());
  }

  void isLostOnceItsRemovalIsRead() {
    Subject.written(5, 7);
    Subject.seen(9, 0);
    CPPUNIT_ASSERT(Subject.isLost());
    Subject.written(12, 8);
    CPPUNIT_ASSERT(!Subject.isLost());
  }

  void isLostOnceAnotherLeaseHoldsIt() {
    Subject.written(5, 7);
    Subject.seen(6, 8);
    CPPUNIT_ASSERT(Subject.isLost());
  }

  // The watch may deliver the removal of a former entry after the write.
  void isNotLostByStatesOfBeforeTheWrite() {
    Subject.written(5, 7);
    Subject.seen(4, 0);
    CPPUNIT_ASSERT(!Subject.isLost());
    Subject.seen(9, 0);
    Subject.seen(8, 7);
    CPPUNIT_ASSERT(Subject.isLost());
  }

  void isNotLostIfItIsReadAsWritten() {
    Subject.written(5, 7);
    Subject.seen(5, 7);
    Subject.seen(6, 7);
    CPPUNIT_ASSERT(!Subject.isLost());
  }

  void isNotLostByHigherRevisionsOfAnEarlierEra() {
    Subject.seen(makeEpoch(1, 900), 0);
    Subject.written(makeEpoch(2, 5), 7);
    CPPUNIT_ASSERT(!Subject.isLost());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnEntryTest);

} // namespace
} // namespace borageridge::cluster
