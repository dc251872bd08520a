#include "group/FreshnessSamples.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::group {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

class FreshnessSamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessSamplesTest);
  CPPUNIT_TEST(returnsNothingForAPositionBeforeTheOldestSample);
  CPPUNIT_TEST(returnsTheLatestSampleThatThePositionReached);
  CPPUNIT_TEST(neverReturnsASampleThatIsNotYetConfirmed);
  CPPUNIT_TEST(boundsItsStateAndKeepsOldSamplesAtACoarserSpacing);
  CPPUNIT_TEST_SUITE_END();

  void returnsNothingForAPositionBeforeTheOldestSample() {
    FreshnessSamples Samples;
    Samples.add(at(100), 5);
    CPPUNIT_ASSERT(!Samples.asOf(4, at(1000)));
  }

  void returnsTheLatestSampleThatThePositionReached() {
    FreshnessSamples Samples;
    Samples.add(at(100), 5);
    Samples.add(at(200), 7);
    Samples.add(at(300), 9);
    CPPUNIT_ASSERT(at(200) == *Samples.asOf(8, at(1000)));
    CPPUNIT_ASSERT(at(300) == *Samples.asOf(9, at(1000)));
  }

  // Guards against a stale replica that appears fresh because of a sample from
  // a primary that may already have been replaced.
  void neverReturnsASampleThatIsNotYetConfirmed() {
    FreshnessSamples Samples;
    Samples.add(at(100), 5);
    Samples.add(at(200), 5);
    CPPUNIT_ASSERT(at(100) == *Samples.asOf(5, at(150)));
    CPPUNIT_ASSERT(!Samples.asOf(5, at(50)));
  }

  void boundsItsStateAndKeepsOldSamplesAtACoarserSpacing() {
    FreshnessSamples Samples;
    for (int I = 1; I <= 10000; ++I)
      Samples.add(at(I * 100), static_cast<LogIndex>(I));
    CPPUNIT_ASSERT(at(10000 * 100) == *Samples.asOf(10000, Time::max()));
    CPPUNIT_ASSERT(at(9990 * 100) == *Samples.asOf(9990, Time::max()));
    // Thinning may only make an old bound older, never newer.
    const std::optional<Time> Old = Samples.asOf(9000, Time::max());
    CPPUNIT_ASSERT(!Old || *Old <= at(9000 * 100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessSamplesTest);

} // namespace
} // namespace borageridge::group
