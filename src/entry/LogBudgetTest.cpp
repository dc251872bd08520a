#include "entry/LogBudget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

class LogBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogBudgetTest);
  CPPUNIT_TEST(aBurstIsWrittenAndTheRestCounted);
  CPPUNIT_TEST(linesComeBackWithTime);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(100));

  static int taken(LogBudget &Subject, Time Now, int Tries) {
    int Count = 0;
    for (int I = 0; I < Tries; ++I)
      Count += Subject.take(Now) ? 1 : 0;
    return Count;
  }

  void aBurstIsWrittenAndTheRestCounted() {
    LogBudget Subject;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(LogBudget::Burst),
                         taken(Subject, Start, 500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(380), Subject.takeSuppressed());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Subject.takeSuppressed());
  }

  void linesComeBackWithTime() {
    LogBudget Subject;
    taken(Subject, Start, 500);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(LogBudget::PerSecond),
                         taken(Subject, Start + std::chrono::seconds(1), 500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBudgetTest);

} // namespace
} // namespace borageridge::entry
