#include "freshness/PrimaryPositions.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace borageridge::freshness {
namespace {

Time at(int Milliseconds) {
  return Time(std::chrono::milliseconds(Milliseconds));
}

class PrimaryPositionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryPositionsTest);
  CPPUNIT_TEST(theOldestSufficientlyRecentSampleCovers);
  CPPUNIT_TEST(withoutARecentSampleNothingCovers);
  CPPUNIT_TEST(samplesOutOfOrderAreIgnored);
  CPPUNIT_TEST(aCoveringPositionContainsEveryOlderCommit);
  CPPUNIT_TEST(clearRemovesAllSamples);
  CPPUNIT_TEST_SUITE_END();

  void theOldestSufficientlyRecentSampleCovers() {
    PrimaryPositions Subject;
    Subject.add(at(1000), {1, 10});
    Subject.add(at(2000), {1, 20});
    Subject.add(at(3000), {1, 30});
    CPPUNIT_ASSERT_EQUAL((Position{1, 20}), *Subject.covering(at(1500)));
    CPPUNIT_ASSERT_EQUAL((Position{1, 20}), *Subject.covering(at(2000)));
    CPPUNIT_ASSERT_EQUAL((Position{1, 30}), Subject.newest()->At);
  }

  void withoutARecentSampleNothingCovers() {
    PrimaryPositions Subject;
    CPPUNIT_ASSERT(!Subject.covering(at(0)));
    Subject.add(at(1000), {1, 10});
    CPPUNIT_ASSERT(!Subject.covering(at(1001)));
  }

  void samplesOutOfOrderAreIgnored() {
    PrimaryPositions Subject;
    Subject.add(at(2000), {1, 20});
    Subject.add(at(1000), {1, 10});
    CPPUNIT_ASSERT_EQUAL((Position{1, 20}), *Subject.covering(at(500)));
  }

  // The log index at a time equals that time in milliseconds, so a covering
  // position must be at least the requested time.
  void aCoveringPositionContainsEveryOlderCommit() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t> &Steps) {
      PrimaryPositions Subject;
      int Now = 1;
      for (const std::uint8_t Step : Steps) {
        Now += Step;
        Subject.add(at(Now), {1, static_cast<LogIndex>(Now)});
      }
      const int Requested = *rc::gen::inRange(0, Now + 10);
      const auto Covering = Subject.covering(at(Requested));
      RC_ASSERT(!Covering ||
                Covering->Index >= static_cast<LogIndex>(Requested));
    }));
  }

  void clearRemovesAllSamples() {
    PrimaryPositions Subject;
    Subject.add(at(1000), {1, 10});
    Subject.clear();
    CPPUNIT_ASSERT(!Subject.covering(at(0)));
    CPPUNIT_ASSERT(!Subject.newest());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryPositionsTest);

} // namespace
} // namespace borageridge::freshness
