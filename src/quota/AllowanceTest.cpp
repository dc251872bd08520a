#include "quota/Allowance.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::quota {
namespace {

using std::chrono::milliseconds;

Time at(int Ms) { return Time(milliseconds(Ms)); }

class AllowanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllowanceTest);
  CPPUNIT_TEST(tokensExpireCountedFromTheRequest);
  CPPUNIT_TEST(asksOnlyForWhatWaitsWhenOperationsAreRare);
  CPPUNIT_TEST(asksAheadUnderLoad);
  CPPUNIT_TEST(denialIsRememberedBrieflyUntilTokensArrive);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a daemon that spends a grant long after the counter gave it,
  // for example after a suspension.
  void tokensExpireCountedFromTheRequest() {
    Allowance Own{milliseconds(400)};
    Own.add(2, at(1000));
    CPPUNIT_ASSERT(Own.take(at(1399)));
    CPPUNIT_ASSERT(!Own.take(at(1400)));
  }

  void asksOnlyForWhatWaitsWhenOperationsAreRare() {
    Allowance Own{milliseconds(400)};
    Own.noteArrival(at(1000));
    CPPUNIT_ASSERT_EQUAL(1U, Own.wanted(1, at(1000)));
    CPPUNIT_ASSERT(!Own.isRunningLow(at(1000)));
  }

  // 200 operations per second: about 20 in the time that is asked for ahead.
  void asksAheadUnderLoad() {
    Allowance Own{milliseconds(400)};
    for (int Ms = 1000; Ms < 4000; Ms += 5)
      Own.noteArrival(at(Ms));
    const std::uint32_t Wanted = Own.wanted(1, at(4000));
    CPPUNIT_ASSERT(Wanted >= 18 && Wanted <= 22);
    Own.add(Wanted, at(4000));
    CPPUNIT_ASSERT(!Own.isRunningLow(at(4000)));
    for (std::uint32_t I = 0; I < 12; ++I)
      CPPUNIT_ASSERT(Own.take(at(4000)));
    CPPUNIT_ASSERT(Own.isRunningLow(at(4000)));
  }

  void denialIsRememberedBrieflyUntilTokensArrive() {
    Allowance Own{milliseconds(400)};
    Own.deny(at(1000));
    CPPUNIT_ASSERT(Own.isDenied(at(1024)));
    CPPUNIT_ASSERT(!Own.isDenied(at(1025)));
    Own.deny(at(1100));
    Own.add(1, at(1101));
    CPPUNIT_ASSERT(!Own.isDenied(at(1102)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceTest);

} // namespace
} // namespace borageridge::quota
