#include "group/LagEstimator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::group {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

class LagEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LagEstimatorTest);
  CPPUNIT_TEST(isZeroForAReplicaThatNeverFellBehind);
  CPPUNIT_TEST(measuresTheTimeFromCommitToApply);
  CPPUNIT_TEST(growsWhileAReplicaAppliesNothing);
  CPPUNIT_TEST_SUITE_END();

  void isZeroForAReplicaThatNeverFellBehind() {
    LagEstimator Lag;
    Lag.replicaApplied(4, at(0));
    Lag.primaryCommitted(4, at(10));
    CPPUNIT_ASSERT(Duration::zero() == Lag.estimate(at(1000)));
  }

  void measuresTheTimeFromCommitToApply() {
    LagEstimator Lag;
    Lag.primaryCommitted(5, at(100));
    Lag.primaryCommitted(6, at(120));
    Lag.replicaApplied(5, at(150));
    CPPUNIT_ASSERT(milliseconds(50) == Lag.estimate(at(150)));
  }

  // Guards against a replica that stopped applying entries but keeps its
  // earlier, small lag.
  void growsWhileAReplicaAppliesNothing() {
    LagEstimator Lag;
    Lag.primaryCommitted(5, at(100));
    Lag.replicaApplied(5, at(110));
    Lag.primaryCommitted(6, at(200));
    CPPUNIT_ASSERT(milliseconds(800) == Lag.estimate(at(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LagEstimatorTest);

} // namespace
} // namespace borageridge::group
