#include "change/HeldSince.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::change {
namespace {

using std::chrono::seconds;

constexpr Time Start{seconds(100)};

class HeldSinceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldSinceTest);
  CPPUNIT_TEST(theFirstObservationStartsTheTime);
  CPPUNIT_TEST(anInterruptionStartsTheTimeAnew);
  CPPUNIT_TEST(anotherEpochStartsTheTimeAnew);
  CPPUNIT_TEST_SUITE_END();

  HeldSince Subject;

  void theFirstObservationStartsTheTime() {
    CPPUNIT_ASSERT(!Subject.update(1, false, Start));
    CPPUNIT_ASSERT(Subject.update(1, true, Start) == Start);
    CPPUNIT_ASSERT(Subject.update(1, true, Start + seconds(2)) == Start);
  }

  void anInterruptionStartsTheTimeAnew() {
    Subject.update(1, true, Start);
    CPPUNIT_ASSERT(!Subject.update(1, false, Start + seconds(1)));
    CPPUNIT_ASSERT(Subject.update(1, true, Start + seconds(2)) ==
                   Start + seconds(2));
  }

  // The registry names a new primary some time after it leads. If the denial
  // of its predecessor counted, it would be replaced at once, and so would its
  // successor.
  void anotherEpochStartsTheTimeAnew() {
    Subject.update(1, true, Start);
    CPPUNIT_ASSERT(Subject.update(2, true, Start + seconds(2)) ==
                   Start + seconds(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldSinceTest);

} // namespace
} // namespace borageridge::change
