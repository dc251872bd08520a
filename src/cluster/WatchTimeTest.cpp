#include "cluster/WatchTime.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

using std::chrono::milliseconds;

class WatchTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchTimeTest);
  CPPUNIT_TEST(smallFleetsNoticeALostAnswerWithinHalfOfTheBound);
  CPPUNIT_TEST(callsOfTheFleetDoNotGrowWithIt);
  CPPUNIT_TEST(someDaemonOfALargeFleetStartsAWatchEachHalfSecond);
  CPPUNIT_TEST_SUITE_END();

  void smallFleetsNoticeALostAnswerWithinHalfOfTheBound() {
    for (const std::size_t Daemons : {0, 1, 6, 8, 12})
      CPPUNIT_ASSERT(configWatchTime(Daemons) == milliseconds(2500));
  }

  static double watchesPerSecond(std::size_t Daemons) {
    return static_cast<double>(Daemons) /
           std::chrono::duration<double>(configWatchTime(Daemons)).count();
  }

  void callsOfTheFleetDoNotGrowWithIt() {
    for (const std::size_t Daemons : {24, 65, 80, 96})
      CPPUNIT_ASSERT(watchesPerSecond(Daemons) < 5);
    CPPUNIT_ASSERT(configWatchTime(3700) == std::chrono::seconds(20));
  }

  void someDaemonOfALargeFleetStartsAWatchEachHalfSecond() {
    for (const std::size_t Daemons : {24, 65, 80, 295, 3700})
      CPPUNIT_ASSERT(watchesPerSecond(Daemons) >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTimeTest);

} // namespace
} // namespace borageridge::cluster
