#include "authority/ConfigAge.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::authority {
namespace {

Time at(int Ms) { return Time(std::chrono::milliseconds(Ms)); }

class ConfigAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigAgeTest);
  CPPUNIT_TEST(isUnknownUntilAnAnswerShowsTheAppliedVersion);
  CPPUNIT_TEST(countsFromTheQuestionNotFromTheAnswer);
  CPPUNIT_TEST(lateAnswersToEarlierQuestionsDoNotMakeItOlder);
  CPPUNIT_TEST(newerVersionElsewhereConfirmsOnlyOnceItIsApplied);
  CPPUNIT_TEST(olderVersionOfARestoredStoreConfirmsNothing);
  CPPUNIT_TEST(restoredStoreDoesNotConfirmWhatAPeerKnowsToBeReplaced);
  CPPUNIT_TEST_SUITE_END();

  static void assertAge(int ExpectedMs, const ConfigAge &Seen, int NowMs) {
    CPPUNIT_ASSERT(Seen.age(at(NowMs)) ==
                   Duration(std::chrono::milliseconds(ExpectedMs)));
  }

  void isUnknownUntilAnAnswerShowsTheAppliedVersion() {
    ConfigAge Seen;
    CPPUNIT_ASSERT(!Seen.age(at(100)));
    Seen.apply(3);
    CPPUNIT_ASSERT(!Seen.age(at(100)));
    Seen.confirm(at(100), 3);
    assertAge(0, Seen, 100);
  }

  // A long poll may be answered seconds after it was asked.
  void countsFromTheQuestionNotFromTheAnswer() {
    ConfigAge Seen;
    Seen.apply(3);
    Seen.confirm(at(100), 3);
    assertAge(2000, Seen, 2100);
  }

  void lateAnswersToEarlierQuestionsDoNotMakeItOlder() {
    ConfigAge Seen;
    Seen.apply(3);
    Seen.confirm(at(500), 3);
    Seen.confirm(at(100), 3);
    assertAge(500, Seen, 1000);
  }

  // Guards against serving a revoked key because a peer is up to date.
  void newerVersionElsewhereConfirmsOnlyOnceItIsApplied() {
    ConfigAge Seen;
    Seen.apply(3);
    Seen.confirm(at(100), 3);
    Seen.confirm(at(900), 4);
    Seen.confirm(at(950), 2);
    assertAge(900, Seen, 1000);
    Seen.apply(4);
    assertAge(100, Seen, 1000);
  }

  // Guards against a daemon that applies the copy of a restored store and
  // serves keys which the lost version had revoked.
  void restoredStoreDoesNotConfirmWhatAPeerKnowsToBeReplaced() {
    ConfigAge Seen;
    Seen.apply(3);
    Seen.confirm(at(100), 3);
    Seen.confirm(at(200), 4);
    Seen.confirm(at(900), 3);
    assertAge(900, Seen, 1000);
  }

  void olderVersionOfARestoredStoreConfirmsNothing() {
    ConfigAge Seen;
    Seen.apply(3);
    Seen.confirm(at(100), 3);
    Seen.confirm(at(900), 2);
    assertAge(900, Seen, 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigAgeTest);

} // namespace
} // namespace borageridge::authority
