#include "entry/Events.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace borageridge::entry {
namespace {

class EventsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsPageTest);
  CPPUNIT_TEST(operationsPageListsEveryEventWithItsFields);
  CPPUNIT_TEST_SUITE_END();

  void operationsPageListsEveryEventWithItsFields() {
    std::ifstream In(std::string(BORAGERIDGE_SOURCE_DIRECTORY) +
                     "/docs/OPERATIONS.md");
    std::ostringstream Page;
    Page << In.rdbuf();
    for (const telemetry::EventDescription &Event : allEvents()) {
      std::string Row = "| `" + std::string(Event.Name) + "` | " +
                        std::string(telemetry::name(Event.Level)) + " | ";
      for (std::size_t I = 0; I < Event.Keys.size(); ++I)
        Row.append(I == 0 ? "" : ", ").append(Event.Keys[I]);
      Row.append(" |");
      CPPUNIT_ASSERT_MESSAGE(Row, Page.str().find(Row) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsPageTest);

} // namespace
} // namespace borageridge::entry
