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
  CPPUNIT_TEST(appliesAnEntryOfAMemberThatARestoredStoreGivesALowerRevision);
  CPPUNIT_TEST(leavingMemberStaysLeavingWhileARestoredStoreHoldsItsOlderEntry);
  CPPUNIT_TEST(daemonsAreKeptUntilTheyHadTimeToRegisterAfterARestore);
  CPPUNIT_TEST(coordinatorOfBeforeARestoreIsForgotten);
  CPPUNIT_TEST(departureDuringAnOutageCountsFromTheReadBefore);
  CPPUNIT_TEST(noticesThatItsOwnEntryIsGone);
  CPPUNIT_TEST(anOddEntryNamesNoMemberAndTheOthersHold);
  CPPUNIT_TEST(aMemberWhoseEntryBecomesOddIsNotUsed);
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

  void writeMember(std::string_view State, std::string_view Role,
                   std::int64_t Incarnation = 7) {
    write("servers/m", R"({"backend":"db","address":"127.0.0.1:1","zone":"z1",)"
                       R"("version":"v1","warmup_left_ms":0,"sequence":1,)"
                       R"("capacity":2,"state":")" +
                           std::string(State) + R"(","db_role":")" +
                           std::string(Role) + R"(","born":)" +
                           std::to_string(Incarnation) + "}");
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

  // Guards against entries of members that are passed over after a restore.
  void appliesAnEntryOfAMemberThatARestoredStoreGivesALowerRevision() {
    writeConfig(1);
    Store.takeCopy();
    write("servers/unused", "{}");
    writeMember("ready", "replica");
    start();
    CPPUNIT_ASSERT(!S.Members.at("m").ClaimsPrimary);
    Store.restore();
    writeMember("ready", "primary");
    runLoopFor(milliseconds(800));
    CPPUNIT_ASSERT(S.Members.at("m").ClaimsPrimary);
  }

  void leavingMemberStaysLeavingWhileARestoredStoreHoldsItsOlderEntry() {
    writeConfig(1);
    writeMember("ready", "replica");
    Store.takeCopy();
    writeMember("draining", "replica");
    start();
    CPPUNIT_ASSERT(S.Members.at("m").Leaving);
    Store.restore();
    runLoopFor(milliseconds(800));
    CPPUNIT_ASSERT(S.Members.at("m").Leaving);
    writeMember("ready", "replica", 8);
    runLoopFor(milliseconds(800));
    CPPUNIT_ASSERT(!S.Members.at("m").Leaving);
  }

  // A fleet that seems empty moves sessions and connections for nothing.
  void daemonsAreKeptUntilTheyHadTimeToRegisterAfterARestore() {
    writeConfig(1);
    Store.takeCopy();
    cluster::DaemonRecord Other;
    Other.Name = "entry-2";
    Other.Ip = "127.0.0.1";
    Other.PeerPort = 1;
    write("borageridge/daemons/entry-2", encode(Other));
    start();
    CPPUNIT_ASSERT(S.Daemons.contains("entry-2"));
    Store.restore();
    runLoopFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(S.Daemons.contains("entry-2"));
    runLoopFor(std::chrono::seconds(1));
    CPPUNIT_ASSERT(!S.Daemons.contains("entry-2"));
  }

  // The restored store reports no deletion of an entry that it never had.
  void coordinatorOfBeforeARestoreIsForgotten() {
    writeConfig(1);
    Store.takeCopy();
    write(cluster::PromoterKey, "entry-2");
    start();
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), S.Promoter.Value);
    Store.restore();
    runLoopFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(keyvalue::Revision(0), S.Promoter.ModRevision);
  }

  void departureDuringAnOutageCountsFromTheReadBefore() {
    S.Shared.LeavingPrimaryLimit = milliseconds(2000);
    write(platform::ConfigKey,
          R"({"version":1,"routes":[],"backends":[{"name":"db"}]})");
    writeMember("ready", "primary");
    start();
    S.Lease.confirm(7, runtime::bootTime(), std::chrono::seconds(60));
    pool::ServicePool &Pool = *S.ByService.at("db");
    Pool.setRecord({1, 1, "m", false, 7}, runtime::bootTime());
    Store.Intercept = [](const http::Request &) {
      return std::optional(http::Response{503, "{}"});
    };
    writeMember("draining", "primary");
    runLoopFor(milliseconds(1500));
    Store.Intercept = [](const http::Request &) { return std::nullopt; };
    runLoopFor(milliseconds(1000));
    CPPUNIT_ASSERT(S.Members.at("m").Leaving);
    CPPUNIT_ASSERT(!Pool.mayUsePrimary(runtime::bootTime()));
  }

  // The removal is read again after the history of the store was lost.
  void noticesThatItsOwnEntryIsGone() {
    S.Entry.written(Store.revision(), 7);
    start();
    CPPUNIT_ASSERT(!S.Entry.isLost());
    write("other", "");
    Store.Intercept =
        [](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-watch") == std::string::npos)
        return std::nullopt;
      return http::Response{410, "{}"};
    };
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(S.Entry.isLost());
  }

  // Guards against daemons that end, or stop following the members, over an
  // entry of another writer.
  void anOddEntryNamesNoMemberAndTheOthersHold() {
    constexpr std::size_t Depth = 200000;
    write("servers/a", std::string(Depth, '['));
    write("servers/b", "\xff\xfe");
    write("servers/c", R"({"backend":"db","address":"127.0.0.1:70000",)"
                       R"("zone":"z1","version":"v1","warmup_left_ms":0,)"
                       R"("sequence":1,"capacity":4294967296,)"
                       R"("state":"ready","db_role":"replica","born":1e30})");
    writeMember("ready", "replica");
    start();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.Members.size());
    CPPUNIT_ASSERT(hasLogged("entry_ignored"));
    writeMember("draining", "replica");
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(S.Members.at("m").Leaving);
  }

  void aMemberWhoseEntryBecomesOddIsNotUsed() {
    writeMember("ready", "replica");
    start();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.Members.size());
    write("servers/m", "{}");
    runLoopFor(milliseconds(600));
    Subject.tick(runtime::bootTime() + std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), S.Members.size());
    writeMember("ready", "replica");
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.Members.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreViewTest);

} // namespace
} // namespace borageridge::entry
