#include "pool/LatencyEstimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::pool {
namespace {

using std::chrono::milliseconds;

class LatencyEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyEstimateTest);
  CPPUNIT_TEST(steadyLatenciesGiveATightLimit);
  CPPUNIT_TEST(scatteredLatenciesWidenTheLimit);
  CPPUNIT_TEST_SUITE_END();

  void steadyLatenciesGiveATightLimit() {
    LatencyEstimate Subject;
    for (int I = 0; I < 200; ++I)
      Subject.add(milliseconds(20));
    CPPUNIT_ASSERT(Subject.limit() >= milliseconds(19));
    CPPUNIT_ASSERT(Subject.limit() <= milliseconds(22));
  }

  void scatteredLatenciesWidenTheLimit() {
    LatencyEstimate Subject;
    for (int I = 0; I < 200; ++I)
      Subject.add(milliseconds(I % 2 == 0 ? 5 : 45));
    CPPUNIT_ASSERT(Subject.limit() > milliseconds(60));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyEstimateTest);

} // namespace
} // namespace borageridge::pool
