#include "load/Arrivals.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace borageridge::load {
namespace {

using std::chrono::seconds;

int countBetween(PoissonArrivals Arrivals, Duration From, Duration To) {
  int Count = 0;
  for (; Arrivals.next() < To; Arrivals.advance())
    Count += Arrivals.next() >= From ? 1 : 0;
  return Count;
}

class ArrivalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalsTest);
  CPPUNIT_TEST(keepsTheMeanRate);
  CPPUNIT_TEST(multipliesTheRateInsideABurstOnly);
  CPPUNIT_TEST(repeatsWithTheSameSeed);
  CPPUNIT_TEST(neverArrivesAtRateZero);
  CPPUNIT_TEST_SUITE_END();

  void keepsTheMeanRate() {
    // 10,000 expected arrivals have a standard deviation of 100.
    const int Count =
        countBetween(PoissonArrivals(1000, {}, 1), {}, seconds(10));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, Count, 500);
  }

  void multipliesTheRateInsideABurstOnly() {
    const PoissonArrivals Arrivals(100, {{seconds(10), seconds(20), 20}}, 1);
    const int Before = countBetween(Arrivals, {}, seconds(10));
    const int Inside = countBetween(Arrivals, seconds(10), seconds(20));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, Before, 160);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20000, Inside, 700);
  }

  void repeatsWithTheSameSeed() {
    PoissonArrivals First(100, {}, 5);
    PoissonArrivals Second(100, {}, 5);
    PoissonArrivals Other(100, {}, 6);
    CPPUNIT_ASSERT(First.next() == Second.next());
    CPPUNIT_ASSERT(First.next() != Other.next());
  }

  void neverArrivesAtRateZero() {
    CPPUNIT_ASSERT(PoissonArrivals(0, {}, 1).next() == Duration::max());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalsTest);

} // namespace
} // namespace borageridge::load
