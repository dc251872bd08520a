#include "change/PromotionCalls.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::change {
namespace {

using Names = std::vector<std::string>;
using std::chrono::milliseconds;

const Time Now = Time(std::chrono::seconds(100));

class PromotionCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionCallsTest);
  CPPUNIT_TEST(aSingleCallIsSettledByItsEffect);
  CPPUNIT_TEST(anAnswerThatNothingWasDoneSettlesOnlyItsOwnCall);
  CPPUNIT_TEST(effectOfOneOfSeveralCallsSettlesNone);
  CPPUNIT_TEST(whatAnotherCoordinatorLeftIsNotSettledByAnEffect);
  CPPUNIT_TEST(aChangeThatIsNotInProgressLeavesNoCandidate);
  CPPUNIT_TEST(callsAreForgottenAfterTheirLifetime);
  CPPUNIT_TEST_SUITE_END();

  void aSingleCallIsSettledByItsEffect() {
    PromotionCalls Calls;
    CPPUNIT_ASSERT(Calls.unsettled(Now).empty());
    Calls.add("q", Now);
    CPPUNIT_ASSERT(Calls.unsettled(Now) == Names{"q"});
    Calls.recordEffect("r");
    CPPUNIT_ASSERT(Calls.unsettled(Now) == Names{"q"});
    Calls.recordEffect("q");
    CPPUNIT_ASSERT(Calls.unsettled(Now).empty());
  }

  void anAnswerThatNothingWasDoneSettlesOnlyItsOwnCall() {
    PromotionCalls Calls;
    Calls.add("q", Now);
    Calls.add("q", Now);
    Calls.removeLast("q");
    CPPUNIT_ASSERT(Calls.unsettled(Now) == Names{"q"});
    Calls.removeLast("q");
    Calls.removeLast("q");
    CPPUNIT_ASSERT(Calls.unsettled(Now).empty());
  }

  // Guards against a call of before a change that takes effect after the next
  // change has named another member.
  void effectOfOneOfSeveralCallsSettlesNone() {
    PromotionCalls Calls;
    Calls.add("q", Now);
    Calls.add("q", Now);
    Calls.recordEffect("q");
    CPPUNIT_ASSERT(Calls.unsettled(Now) == Names{"q"});
  }

  void whatAnotherCoordinatorLeftIsNotSettledByAnEffect() {
    cluster::GroupRecord Record{12, 3, "p", true, 0, "r"};
    Record.Unsettled = {"q"};
    PromotionCalls Calls(Record, Now);
    CPPUNIT_ASSERT((Calls.unsettled(Now) == Names{"q", "r"}));
    Calls.add("r", Now);
    Calls.recordEffect("r");
    Calls.removeLast("r");
    CPPUNIT_ASSERT((Calls.unsettled(Now) == Names{"q", "r"}));
  }

  void aChangeThatIsNotInProgressLeavesNoCandidate() {
    const PromotionCalls Calls({12, 3, "p", false, 0, "r"}, Now);
    CPPUNIT_ASSERT(Calls.unsettled(Now).empty());
  }

  void callsAreForgottenAfterTheirLifetime() {
    PromotionCalls Calls;
    Calls.add("q", Now);
    Calls.addUnknown("r", Now + milliseconds(1));
    const Time End = Now + PromotionCalls::Lifetime;
    CPPUNIT_ASSERT((Calls.unsettled(End - milliseconds(1)) == Names{"q", "r"}));
    CPPUNIT_ASSERT(Calls.unsettled(End) == Names{"r"});
    CPPUNIT_ASSERT(Calls.unsettled(End + milliseconds(1)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionCallsTest);

} // namespace
} // namespace borageridge::change
