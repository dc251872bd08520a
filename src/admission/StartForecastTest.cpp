#include "admission/StartForecast.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: more requests wait at a planned stop than the endpoints can run
// before it ends.
class StartForecastTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartForecastTest);
  CPPUNIT_TEST(allowsTwiceThePaceOfABacklog);
  CPPUNIT_TEST(requestsThatDidNotWaitShowNoPace);
  CPPUNIT_TEST(endpointsThatStartNothingShowNoPace);
  CPPUNIT_TEST(followsAFallingPace);
  CPPUNIT_TEST_SUITE_END();

  StartForecast Subject;
  Time Now{seconds(1000)};
  std::uint64_t Started = 0;

  void samples(int Count, std::uint64_t StartsEach, bool Backlogged = true) {
    for (int I = 0; I < Count; ++I) {
      Now += milliseconds(50);
      Started += StartsEach;
      Subject.sample(Now, Started, Backlogged);
    }
  }

  void allowsTwiceThePaceOfABacklog() {
    samples(20, 1);
    CPPUNIT_ASSERT(!Subject.startsWithin(seconds(3)));
    samples(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(120), *Subject.startsWithin(seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), *Subject.startsWithin(seconds(-1)));
  }

  // Guards against refusing a burst after a quiet time by the pace at which
  // requests arrived.
  void requestsThatDidNotWaitShowNoPace() {
    samples(30, 1, false);
    samples(19, 1);
    CPPUNIT_ASSERT(!Subject.startsWithin(seconds(3)));
    samples(1, 1, false);
    samples(20, 1);
    CPPUNIT_ASSERT(!Subject.startsWithin(seconds(3)));
  }

  void endpointsThatStartNothingShowNoPace() {
    samples(40, 0);
    CPPUNIT_ASSERT(!Subject.startsWithin(seconds(3)));
  }

  void followsAFallingPace() {
    samples(30, 4);
    samples(21, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(80), *Subject.startsWithin(seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartForecastTest);

} // namespace
} // namespace borageridge::admission
