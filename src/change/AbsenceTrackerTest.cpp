#include "change/AbsenceTracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace borageridge::change {
namespace {

using std::chrono::milliseconds;

class AbsenceTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AbsenceTrackerTest);
  CPPUNIT_TEST(anAbsenceIsMeasuredFromTheFirstReadThatShowsIt);
  CPPUNIT_TEST(anAbsenceIsCountedAnewWhileTheRegistryIsUnreachable);
  CPPUNIT_TEST(anAbsenceThatBeganBeforeAnOutageEndedTheMember);
  CPPUNIT_TEST(anAbsenceThatIsFirstSeenAfterAnOutageTellsNothingAtFirst);
  CPPUNIT_TEST(aMemberThatDoesNotAnswerHadEndedWhenItsEntryWasGone);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration Limit = milliseconds(1000);
  const Time Start = Time(std::chrono::seconds(50));
  std::set<std::string> Registered;
  bool Answers = true;
  AbsenceTracker<std::string> Subject;

  void update(Duration After, bool IsReachable = true) {
    Subject.update(
        {"a"}, [&](const std::string &M) { return Registered.contains(M); },
        [&](const std::string &) { return Answers; }, IsReachable,
        Start + After);
  }

  void anAbsenceIsMeasuredFromTheFirstReadThatShowsIt() {
    update(milliseconds(0));
    update(milliseconds(900));
    CPPUNIT_ASSERT(
        !Subject.hasLasted("a", milliseconds(1000), Start + milliseconds(999)));
    CPPUNIT_ASSERT(
        Subject.hasLasted("a", milliseconds(1000), Start + milliseconds(1000)));
    CPPUNIT_ASSERT(!Subject.endedBy("b", Limit));
    Registered = {"a"};
    update(milliseconds(1100));
    CPPUNIT_ASSERT(!Subject.endedBy("a", Limit));
  }

  // Entries expire while the store is down, and their members return later.
  void anAbsenceIsCountedAnewWhileTheRegistryIsUnreachable() {
    update(milliseconds(0));
    update(milliseconds(3000), false);
    update(milliseconds(3100));
    CPPUNIT_ASSERT(!Subject.hasLasted("a", Limit, Start + milliseconds(3999)));
    CPPUNIT_ASSERT(Subject.hasLasted("a", Limit, Start + milliseconds(4000)));
  }

  // Guards against a service that stops because its primary is lost soon after
  // an outage.
  void anAbsenceThatBeganBeforeAnOutageEndedTheMember() {
    update(milliseconds(0));
    update(milliseconds(3000), false);
    update(milliseconds(3100));
    CPPUNIT_ASSERT(Start == Subject.endedBy("a", Limit));
  }

  // Guards against the loss of commits that a member received between an outage
  // and its end.
  void anAbsenceThatIsFirstSeenAfterAnOutageTellsNothingAtFirst() {
    Registered = {"a"};
    update(milliseconds(0));
    update(milliseconds(3000), false);
    Registered.clear();
    update(milliseconds(3100));
    CPPUNIT_ASSERT(Start + milliseconds(4100) == Subject.endedBy("a", Limit));
  }

  void aMemberThatDoesNotAnswerHadEndedWhenItsEntryWasGone() {
    Registered = {"a"};
    update(milliseconds(0));
    update(milliseconds(3000), false);
    Registered.clear();
    Answers = false;
    update(milliseconds(3100));
    CPPUNIT_ASSERT(Start + milliseconds(3100) == Subject.endedBy("a", Limit));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbsenceTrackerTest);

} // namespace
} // namespace borageridge::change
