#include "change/ObservationTimer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::change {
namespace {

using std::chrono::seconds;

constexpr Time Start{seconds(100)};

class ObservationTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObservationTimerTest);
  CPPUNIT_TEST(theFirstObservationStartsTheTimer);
  CPPUNIT_TEST(anInterruptionRestartsTheTimer);
  CPPUNIT_TEST(anotherEpochRestartsTheTimer);
  CPPUNIT_TEST_SUITE_END();

  ObservationTimer Subject;

  void theFirstObservationStartsTheTimer() {
    CPPUNIT_ASSERT(!Subject.update(1, false, Start));
    CPPUNIT_ASSERT(Subject.update(1, true, Start) == Start);
    CPPUNIT_ASSERT(Subject.update(1, true, Start + seconds(2)) == Start);
  }

  void anInterruptionRestartsTheTimer() {
    Subject.update(1, true, Start);
    CPPUNIT_ASSERT(!Subject.update(1, false, Start + seconds(1)));
    CPPUNIT_ASSERT(Subject.update(1, true, Start + seconds(2)) ==
                   Start + seconds(2));
  }

  // Guards against repeated primary changes: the registry lists a new primary
  // with a delay. If observations of its predecessor counted, it would be
  // replaced at once, and its successor likewise.
  void anotherEpochRestartsTheTimer() {
    Subject.update(1, true, Start);
    CPPUNIT_ASSERT(Subject.update(2, true, Start + seconds(2)) ==
                   Start + seconds(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObservationTimerTest);

} // namespace
} // namespace borageridge::change
