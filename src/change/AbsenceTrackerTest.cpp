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
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(50));
  std::set<std::string> Registered;
  AbsenceTracker<std::string> Subject;

  void update(Duration After, bool IsReachable = true) {
    Subject.update(
        {"a"}, [&](const std::string &M) { return Registered.contains(M); },
        IsReachable, Start + After);
  }

  void anAbsenceIsMeasuredFromTheFirstReadThatShowsIt() {
    update(milliseconds(0));
    update(milliseconds(900));
    CPPUNIT_ASSERT(
        !Subject.hasLasted("a", milliseconds(1000), Start + milliseconds(999)));
    CPPUNIT_ASSERT(
        Subject.hasLasted("a", milliseconds(1000), Start + milliseconds(1000)));
    CPPUNIT_ASSERT(!Subject.since("b"));
    Registered = {"a"};
    update(milliseconds(1100));
    CPPUNIT_ASSERT(!Subject.since("a"));
  }

  // Entries expire while the store is down, and their members return later.
  void anAbsenceIsCountedAnewWhileTheRegistryIsUnreachable() {
    update(milliseconds(0));
    update(milliseconds(3000), false);
    update(milliseconds(3100));
    CPPUNIT_ASSERT(Start + milliseconds(3000) == Subject.since("a"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbsenceTrackerTest);

} // namespace
} // namespace borageridge::change
