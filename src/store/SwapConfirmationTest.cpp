#include "store/SwapConfirmation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::store {
namespace {

using Step = SwapConfirmation::Step;

const Expected<std::int64_t> Lost = Failure{FailureKind::Unknown, "lost"};
const Expected<std::int64_t> Conflict = Failure{FailureKind::Conflict, "other"};
const Expected<StoreValue> Unreadable =
    Failure{FailureKind::Unavailable, "down"};

std::string kind(const SwapConfirmation &Decision) {
  CPPUNIT_ASSERT(Decision.step() == Step::Done);
  return Decision.outcome().has_value()
             ? "value"
             : std::string(name(Decision.outcome().error().Kind));
}

class SwapConfirmationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwapConfirmationTest);
  CPPUNIT_TEST(answeredSwapIsDone);
  CPPUNIT_TEST(conflictOfTheFirstSwapIsDone);
  CPPUNIT_TEST(lostAnswerIsSettledByTheEvidence);
  CPPUNIT_TEST(lateEffectOfALostSwapIsRecognisedAfterAConflict);
  CPPUNIT_TEST(conflictIsReportedOnlyAfterTheEvidenceWasRead);
  CPPUNIT_TEST(unavailableRepeatDoesNotHideAnUncertainSwap);
  CPPUNIT_TEST(exhaustedTriesStayUnknown);
  CPPUNIT_TEST(neverReportsTheOppositeOfWhatTookEffect);
  CPPUNIT_TEST_SUITE_END();

  SwapConfirmation Decision{3};

  void answeredSwapIsDone() {
    Decision.onSwap(std::int64_t(7));
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Decision));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), Decision.outcome().value());
  }

  void conflictOfTheFirstSwapIsDone() {
    Decision.onSwap(Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), kind(Decision));
  }

  void lostAnswerIsSettledByTheEvidence() {
    Decision.onSwap(Lost);
    CPPUNIT_ASSERT(Decision.step() == Step::ReadBack);
    Decision.onReadBack(StoreValue{"own", 9}, true);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), Decision.outcome().value());
  }

  // Guards against a success that is reported as somebody else's change.
  void lateEffectOfALostSwapIsRecognisedAfterAConflict() {
    Decision.onSwap(Lost);
    Decision.onReadBack(StoreValue{}, false);
    CPPUNIT_ASSERT(Decision.step() == Step::Swap);
    Decision.onSwap(Conflict);
    CPPUNIT_ASSERT(Decision.step() == Step::ReadBack);
    Decision.onReadBack(StoreValue{"own", 9}, true);
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Decision));
  }

  void conflictIsReportedOnlyAfterTheEvidenceWasRead() {
    Decision.onSwap(Lost);
    Decision.onReadBack(Unreadable, false);
    Decision.onSwap(Conflict);
    CPPUNIT_ASSERT(Decision.step() == Step::ReadBack);
    Decision.onReadBack(StoreValue{"theirs", 9}, false);
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), kind(Decision));
  }

  void unavailableRepeatDoesNotHideAnUncertainSwap() {
    SwapConfirmation Two{2};
    Two.onSwap(Lost);
    Two.onReadBack(Unreadable, false);
    Two.onSwap(Failure{FailureKind::Unavailable, "down"});
    CPPUNIT_ASSERT(Two.step() == Step::ReadBack);
    Two.onReadBack(Unreadable, false);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), kind(Two));
  }

  void exhaustedTriesStayUnknown() {
    SwapConfirmation One{1};
    One.onSwap(Lost);
    One.onReadBack(StoreValue{}, false);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), kind(One));
  }

  // Runs against a model in which lost swaps take effect at once, later or
  // never, and another writer may come first.
  void neverReportsTheOppositeOfWhatTookEffect() {
    CPPUNIT_ASSERT(rc::check("the outcome is true", [] {
      std::int64_t Revision = 0;
      bool Own = false;
      int InFlight = 0;
      const auto Apply = [&] {
        if (Revision == 0) {
          Own = true;
          Revision = 5;
        }
      };
      SwapConfirmation Model{*rc::gen::inRange(1, 5)};
      for (int I = 0; Model.step() != Step::Done; ++I) {
        RC_ASSERT(I < 50);
        if (InFlight > 0 && *rc::gen::arbitrary<bool>()) {
          --InFlight;
          Apply();
        }
        if (Revision == 0 && *rc::gen::inRange(0, 6) == 0)
          Revision = 4;
        if (Model.step() == Step::ReadBack) {
          if (*rc::gen::inRange(0, 3) == 0)
            Model.onReadBack(Unreadable, false);
          else
            Model.onReadBack(StoreValue{"", Revision}, Own);
          continue;
        }
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
          ++InFlight;
          Model.onSwap(Lost);
          break;
        case 1:
          Apply();
          Model.onSwap(Lost);
          break;
        case 2:
          Model.onSwap(Failure{FailureKind::Unavailable, "down"});
          break;
        default:
          if (Revision == 0) {
            Apply();
            Model.onSwap(Revision);
          } else {
            Model.onSwap(Conflict);
          }
        }
      }
      const auto &Outcome = Model.outcome();
      if (Outcome.has_value())
        RC_ASSERT(Own);
      else if (Outcome.error().Kind != FailureKind::Unknown)
        RC_ASSERT(!Own);
      // A definite failure stays true: nothing in flight can take effect.
      if (!Outcome.has_value() && Outcome.error().Kind == FailureKind::Conflict)
        RC_ASSERT(Revision != 0);
      if (!Outcome.has_value() &&
          Outcome.error().Kind == FailureKind::Unavailable)
        RC_ASSERT(InFlight == 0);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwapConfirmationTest);

} // namespace
} // namespace borageridge::store
