#include "entry/LogRateLimiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

class LogRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRateLimiterTest);
  CPPUNIT_TEST(allowsABurstAndCountsSuppressedLines);
  CPPUNIT_TEST(refillsOverTime);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(100));

  static int countAcquired(LogRateLimiter &Subject, Time Now, int Tries) {
    int Count = 0;
    for (int I = 0; I < Tries; ++I)
      Count += Subject.tryAcquire(Now) ? 1 : 0;
    return Count;
  }

  void allowsABurstAndCountsSuppressedLines() {
    LogRateLimiter Subject;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(LogRateLimiter::Burst),
                         countAcquired(Subject, Start, 500));
    // 500 tries less the burst of 120 lines.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(380), Subject.takeSuppressed());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Subject.takeSuppressed());
  }

  void refillsOverTime() {
    LogRateLimiter Subject;
    // Uses up the burst.
    countAcquired(Subject, Start, 500);
    CPPUNIT_ASSERT_EQUAL(
        static_cast<int>(LogRateLimiter::PerSecond),
        countAcquired(Subject, Start + std::chrono::seconds(1), 500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimiterTest);

} // namespace
} // namespace borageridge::entry
