#include "pool/LatencyEstimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::pool {
namespace {

using std::chrono::milliseconds;

class LatencyEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyEstimateTest);
  CPPUNIT_TEST(constantLatencyGivesATightBound);
  CPPUNIT_TEST(varyingLatencyWidensTheBound);
  CPPUNIT_TEST_SUITE_END();

  void constantLatencyGivesATightBound() {
    LatencyEstimate Subject;
    for (int I = 0; I < 200; ++I)
      Subject.add(milliseconds(20));
    CPPUNIT_ASSERT(Subject.upperBound() >= milliseconds(19));
    CPPUNIT_ASSERT(Subject.upperBound() <= milliseconds(22));
  }

  void varyingLatencyWidensTheBound() {
    LatencyEstimate Subject;
    for (int I = 0; I < 200; ++I)
      Subject.add(milliseconds(I % 2 == 0 ? 5 : 45));
    CPPUNIT_ASSERT(Subject.upperBound() > milliseconds(60));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyEstimateTest);

} // namespace
} // namespace borageridge::pool
