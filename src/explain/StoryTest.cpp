#include "explain/Story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace borageridge::explain {
namespace {

// As written on a played day, shortened.
constexpr const char *Recorded =
    R"(  8.95 entry-2 {"time":"2026-10-12T08:33:52.911Z","level":"warning",)"
    R"("event":"member_suspected","instance":"entry-2","service":"db1",)"
    R"("member":"i-1","evidence":"silent"})"
    "\n"
    R"({"time":"2026-10-12T08:33:54.000Z","level":"warning",)"
    R"("event":"request_refused","instance":"entry-1","request":"q7",)"
    R"("database":"jobs","service":"db1","error":"busy",)"
    R"("reason":"no primary in time","member":"","waited_ms":800,)"
    R"("config_version":4,"epoch":16})"
    "\n"
    R"({"time":"2026-10-12T08:33:53.200Z","level":"info",)"
    R"("event":"request_retried","instance":"entry-1","request":"q7",)"
    R"("member":"i-1","cause":"answer lost","attempt":1})"
    "\n"
    "not a log line\n"
    R"({"time":"2026-10-12T08:30:00.000Z","level":"warning",)"
    R"("event":"member_leaving","instance":"entry-2","service":"db1",)"
    R"("member":"i-9"})"
    "\n"
    R"({"time":"2026-10-12T08:33:53.500Z","level":"warning",)"
    R"("event":"member_suspected","instance":"entry-2","service":"db2",)"
    R"("member":"i-5","evidence":"silent"})"
    "\n";

class StoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoryTest);
  CPPUNIT_TEST(aRequestIsToldInTheOrderOfTimeWithItsService);
  CPPUNIT_TEST(aServiceIsToldWithoutItsRequests);
  CPPUNIT_TEST(otherLinesAreCounted);
  CPPUNIT_TEST(anUnknownRequestHasNoStory);
  CPPUNIT_TEST(aLineNamesTheInputsOfTheDecision);
  CPPUNIT_TEST_SUITE_END();

  Story Subject;

public:
  void setUp() override {
    std::istringstream In(Recorded);
    Subject.read(In);
  }

private:
  void aRequestIsToldInTheOrderOfTimeWithItsService() {
    const std::vector<Entry> Told = Subject.ofRequest("q7");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Told.size());
    CPPUNIT_ASSERT_EQUAL(std::string("member_suspected"), Told[0].Event);
    CPPUNIT_ASSERT_EQUAL(std::string("request_retried"), Told[1].Event);
    CPPUNIT_ASSERT_EQUAL(std::string("request_refused"), Told[2].Event);
  }

  void aServiceIsToldWithoutItsRequests() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Subject.ofService("db1").size());
  }

  void otherLinesAreCounted() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Subject.ignoredLines());
  }

  void anUnknownRequestHasNoStory() {
    CPPUNIT_ASSERT(Subject.ofRequest("q8").empty());
  }

  void aLineNamesTheInputsOfTheDecision() {
    const std::string Line = format(Subject.ofRequest("q7").back());
    for (const char *Part : {"entry-1", "reason=no primary in time",
                             "waited_ms=800", "config_version=4", "epoch=16"})
      CPPUNIT_ASSERT_MESSAGE(Line, Line.find(Part) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoryTest);

} // namespace
} // namespace borageridge::explain
