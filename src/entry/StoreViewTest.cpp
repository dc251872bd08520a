#include "entry/StoreView.h"

#include "entry/StateFixture.h"
#include "platform/Registry.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

class StoreViewTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(StoreViewTest);
  CPPUNIT_TEST(appliesAConfigurationThatARestoredStoreGivesALowerRevision);
  CPPUNIT_TEST(keepsTheConfigurationWhileARestoredStoreHoldsAnOlderOne);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  State S{Io, settings(), Store.address(), Log};
  StoreView Subject{S};

  void write(std::string_view Key, std::string Value) {
    keyvalue::Transaction Change;
    Change.Puts.push_back({std::string(Key), std::move(Value), 0});
    Store.commit(Change);
  }

  void writeConfig(unsigned Version) {
    write(platform::ConfigKey, R"({"version":)" + std::to_string(Version) +
                                   R"(,"routes":[],"backends":[]})");
  }

  std::uint64_t appliedVersion() const {
    return S.StatementExecutor.catalog().Version;
  }

  void start() {
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
  }

  // Guards against revisions that are compared across a restore of the store.
  void appliesAConfigurationThatARestoredStoreGivesALowerRevision() {
    Store.takeCopy();
    write("servers/unused", "{}");
    writeConfig(4);
    start();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), appliedVersion());
    const keyvalue::Revision Former = Store.revision();
    Store.restore();
    writeConfig(5);
    CPPUNIT_ASSERT(Store.revision() < Former);
    runLoopFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), appliedVersion());
  }

  void keepsTheConfigurationWhileARestoredStoreHoldsAnOlderOne() {
    writeConfig(4);
    Store.takeCopy();
    writeConfig(5);
    start();
    Store.restore();
    runLoopFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), appliedVersion());
    CPPUNIT_ASSERT(hasLogged("config_skipped"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

} // namespace
} // namespace borageridge::entry
