#include "telemetry/Events.h"
#include "telemetry/Metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

namespace borageridge::telemetry {
namespace {

std::string readSource(const std::string &Name) {
  std::ifstream In(std::string(BORAGERIDGE_SOURCE_DIRECTORY) + "/" + Name);
  CPPUNIT_ASSERT_MESSAGE(Name, In.good());
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

// The first three cells of each table row that starts with a name in code
// style; the fourth explains it.
std::set<std::string> pageRows(const std::string &Page, std::string_view Part) {
  const std::size_t Begin = Page.find("\n## " + std::string(Part) + "\n");
  CPPUNIT_ASSERT(Begin != std::string::npos);
  std::istringstream In(
      Page.substr(Begin, Page.find("\n## ", Begin + 1) - Begin));
  std::set<std::string> Rows;
  std::string Line;
  while (std::getline(In, Line)) {
    if (!Line.starts_with("| `"))
      continue;
    const std::size_t Last = Line.rfind(" | ");
    CPPUNIT_ASSERT_MESSAGE(Line, Line.size() > Last + 10);
    Rows.insert(Line.substr(0, Last));
  }
  return Rows;
}

std::string eventRow(const EventDescription &Event) {
  std::string Keys;
  for (const std::string_view Key : Event.Keys)
    Keys.append(Keys.empty() ? "" : ", ").append(Key);
  return "| `" + std::string(Event.Name) + "` | " +
         std::string(name(Event.Level)) + " | " + Keys;
}

std::string typeName(prometheus::MetricType Type) {
  if (Type == prometheus::MetricType::Counter)
    return "counter";
  return Type == prometheus::MetricType::Gauge ? "gauge" : "histogram";
}

std::string metricRow(const prometheus::MetricFamily &Family) {
  std::string Labels;
  for (const auto &Label : Family.metric.at(0).label)
    Labels.append(Labels.empty() ? "" : ", ").append(Label.name);
  return "| `" + Family.name + "` | " + typeName(Family.type) + " | " +
         (Labels.empty() ? "none" : Labels);
}

// Creates a child of each family, so that the labels are known.
std::set<std::string> metricRows() {
  Metrics Subject;
  Subject.caller("c");
  Subject.requestClass("c");
  Subject.database("d");
  Subject.member("d", "m");
  std::set<std::string> Rows;
  for (const auto &Family : Subject.registry()->Collect())
    Rows.insert(metricRow(Family));
  return Rows;
}

class TelemetryPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TelemetryPageTest);
  CPPUNIT_TEST(pageListsEveryEvent);
  CPPUNIT_TEST(pageListsEveryMetric);
  CPPUNIT_TEST(listOfEventsIsComplete);
  CPPUNIT_TEST_SUITE_END();

  const std::string Page = readSource("docs/telemetry.md");

  void pageListsEveryEvent() {
    std::set<std::string> Wanted;
    for (const EventDescription &Event : allEvents())
      Wanted.insert(eventRow(Event));
    assertSame(Wanted, pageRows(Page, "Log events"));
  }

  void pageListsEveryMetric() {
    assertSame(metricRows(), pageRows(Page, "Metrics"));
  }

  // An event that is declared but not in allEvents() would be missing above.
  void listOfEventsIsComplete() {
    const std::string Header = readSource("src/telemetry/Events.h");
    const std::string_view Declaration = "inline constexpr EventType<";
    std::size_t Declared = 0;
    for (std::size_t At = Header.find(Declaration); At != std::string::npos;
         At = Header.find(Declaration, At + 1))
      ++Declared;
    CPPUNIT_ASSERT_EQUAL(Declared, allEvents().size());
  }

  static void assertSame(const std::set<std::string> &Wanted,
                         const std::set<std::string> &Found) {
    for (const std::string &Row : Wanted)
      CPPUNIT_ASSERT_MESSAGE("missing: " + Row, Found.contains(Row));
    for (const std::string &Row : Found)
      CPPUNIT_ASSERT_MESSAGE("not in the code: " + Row, Wanted.contains(Row));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TelemetryPageTest);

} // namespace
} // namespace borageridge::telemetry
