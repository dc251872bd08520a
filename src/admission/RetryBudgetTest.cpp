#include "admission/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start{seconds(1000)};

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(retriesStayWithinATenthOfRequestsPlusTheMinimum);
  CPPUNIT_TEST(totalFailureGivesOneRetryForTenRequests);
  CPPUNIT_TEST(allowsRareRetriesWithoutTraffic);
  CPPUNIT_TEST(limitsTheBurstAfterALongHealthyTime);
  CPPUNIT_TEST(ignoresATimeThatGoesBack);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a retry storm in any mixture of requests and failures.
  void retriesStayWithinATenthOfRequestsPlusTheMinimum() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t> &Steps) {
      RetryBudget Budget({}, Start);
      Time Now = Start;
      double Requests = 0;
      double Retries = 0;
      for (const std::uint8_t Step : Steps) {
        Now += milliseconds(Step / 4);
        Budget.addRequest(Now);
        Requests += 1;
        for (int Try = 0; Try < Step % 4; ++Try)
          Retries += Budget.tryRetry(Now) ? 1 : 0;
        const std::chrono::duration<double> Passed = Now - Start;
        RC_ASSERT(Retries <= 0.1 * Requests + Passed.count() + 1e-6);
      }
    }));
  }

  void totalFailureGivesOneRetryForTenRequests() {
    RetryBudget Budget({0.1, 0.0, 100.0}, Start);
    int Retries = 0;
    for (int I = 0; I < 10000; ++I) {
      Budget.addRequest(Start);
      Retries += Budget.tryRetry(Start) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1000, Retries);
  }

  void allowsRareRetriesWithoutTraffic() {
    RetryBudget Budget({}, Start);
    CPPUNIT_ASSERT(!Budget.tryRetry(Start));
    CPPUNIT_ASSERT(Budget.tryRetry(Start + seconds(1)));
    CPPUNIT_ASSERT(!Budget.tryRetry(Start + seconds(1)));
  }

  void limitsTheBurstAfterALongHealthyTime() {
    RetryBudget Budget({}, Start);
    for (int I = 0; I < 100000; ++I)
      Budget.addRequest(Start);
    int Retries = 0;
    while (Budget.tryRetry(Start + seconds(3600)))
      ++Retries;
    CPPUNIT_ASSERT_EQUAL(100, Retries);
  }

  void ignoresATimeThatGoesBack() {
    RetryBudget Budget({}, Start);
    CPPUNIT_ASSERT(Budget.tryRetry(Start + seconds(1)));
    CPPUNIT_ASSERT(!Budget.tryRetry(Start));
    CPPUNIT_ASSERT(!Budget.tryRetry(Start + seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace
} // namespace borageridge::admission
