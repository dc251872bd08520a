#include "load/LatencyHistogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace borageridge::load {
namespace {

using std::chrono::milliseconds;

class LatencyHistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencyHistogramTest);
  CPPUNIT_TEST(findsPercentilesWithinOnePercent);
  CPPUNIT_TEST(mergesCountsAndTheMaximum);
  CPPUNIT_TEST(isZeroWithoutRecords);
  CPPUNIT_TEST_SUITE_END();

  void findsPercentilesWithinOnePercent() {
    LatencyHistogram Histogram;
    for (int I = 1; I <= 1000; ++I)
      Histogram.record(milliseconds(I));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, Histogram.percentileMs(0.5), 5.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990, Histogram.percentileMs(0.99), 10);
    CPPUNIT_ASSERT_EQUAL(1000.0, Histogram.percentileMs(1));
    CPPUNIT_ASSERT_EQUAL(1000.0, Histogram.maxMs());
  }

  void mergesCountsAndTheMaximum() {
    LatencyHistogram One;
    LatencyHistogram Two;
    One.record(milliseconds(1));
    Two.record(milliseconds(9));
    One.merge(Two);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, One.count());
    CPPUNIT_ASSERT_EQUAL(9.0, One.maxMs());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, One.percentileMs(0.5), 0.011);
  }

  void isZeroWithoutRecords() {
    CPPUNIT_ASSERT_EQUAL(0.0, LatencyHistogram().percentileMs(0.99));
    CPPUNIT_ASSERT_EQUAL(0.0, LatencyHistogram().maxMs());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyHistogramTest);

} // namespace
} // namespace borageridge::load
