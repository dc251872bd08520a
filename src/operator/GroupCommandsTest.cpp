#include "operator/GroupCommands.h"
#include "operator/CommandFixture.h"
#include "store/StoreFixture.h"

namespace borageridge::operators {
namespace {

class GroupCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupCommandsTest);
  CPPUNIT_TEST(initWritesAFirstTermThatProxiesCanComplete);
  CPPUNIT_TEST(initRefusesAnExistingRecord);
  CPPUNIT_TEST(initRecognisesItsOwnSuccessAfterALostAnswer);
  CPPUNIT_TEST(initRefusesContradictoryMembers);
  CPPUNIT_TEST(showPrintsTheNewestViewOfEachGroup);
  CPPUNIT_TEST(showOfAnUnknownGroupIsNotFound);
  CPPUNIT_TEST(showWithoutAnyProxyIsUnreachable);
  CPPUNIT_TEST(changePrimaryPassesThePreferenceAndReportsTheResult);
  CPPUNIT_TEST(changePrimaryMovesOnOnlyFromProxiesThatCannotBeReached);
  CPPUNIT_TEST(changePrimaryThatDidNotHappenIsAFailure);
  CPPUNIT_TEST_SUITE_END();

  store::StoreFixture Server;
  FakeProxy Proxy;

  Outcome init(const std::vector<std::string> &More = {}) {
    std::vector<std::string> All = {"--store",
                                    Server.address(),
                                    "group",
                                    "init",
                                    "ledger-1",
                                    "--member",
                                    "m1=127.0.0.1:5001@az-1",
                                    "--member",
                                    "m2=127.0.0.1:5002@az-2",
                                    "--member",
                                    "m3=127.0.0.1:5003@az-3",
                                    "--primary",
                                    "m2"};
    All.insert(All.end(), More.begin(), More.end());
    return runCommand(All);
  }

  Expected<StoreValue> stored() {
    auto Options = store::optionsFor({Server.address()});
    Options.Prefix = "/borageridge/";
    store::EtcdStore Store(Options);
    return store::readNow(Store, "group/ledger-1");
  }

  void initWritesAFirstTermThatProxiesCanComplete() {
    assertCode(ExitCode::Ok, init());
    record::GroupRecord Written;
    CPPUNIT_ASSERT(Written.ParseFromString(stored().value().Value));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), std::uint64_t(Written.term()));
    CPPUNIT_ASSERT_EQUAL(record::PHASE_PROMOTING, Written.phase());
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), Written.primary());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), std::uint64_t(Written.version()));
    CPPUNIT_ASSERT_EQUAL(3, Written.members_size());
    CPPUNIT_ASSERT_EQUAL(std::string("az-3"),
                         Written.members(2).availability_zone());
    CPPUNIT_ASSERT_EQUAL(1, Written.history_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         std::uint64_t(Written.history(0).start_index()));
    CPPUNIT_ASSERT(!Written.attempt().empty());
  }

  // A second first record would forget a term that members already serve.
  void initRefusesAnExistingRecord() {
    assertCode(ExitCode::Ok, init());
    const std::int64_t Before = stored().value().Revision;
    assertCode(ExitCode::Conflict, init());
    CPPUNIT_ASSERT_EQUAL(Before, stored().value().Revision);
  }

  void initRecognisesItsOwnSuccessAfterALostAnswer() {
    Server.set([](control::Faults &F) { F.set_lose_answers(1); });
    assertCode(ExitCode::Ok, init({"--timeout-ms", "300"}));
  }

  void initRefusesContradictoryMembers() {
    const std::vector<std::vector<std::string>> Wrong = {
        {"m1"},
        {"m1=127.0.0.1:1"},
        {"=127.0.0.1:1@az"},
        {"m1=localhost:1@az"},
        {"m1=127.0.0.1@az"},
        {"m1=0.0.0.0:1@az"},
        {"m1=127.0.0.1:1@"},
        {"m2=127.0.0.1:1@az"},
        {"m1=127.0.0.1:1@az", "m1=127.0.0.1:2@az"},
        {"m1=127.0.0.1:1@az", "m2=127.0.0.1:1@az"}};
    for (const std::vector<std::string> &Members : Wrong) {
      const auto Record = firstRecord({"d", Members, "m1"});
      CPPUNIT_ASSERT_MESSAGE(Members[0], !Record.has_value());
      CPPUNIT_ASSERT_EQUAL(FailureKind::InvalidArgument, Record.error().Kind);
    }
    CPPUNIT_ASSERT(
        !firstRecord({"a/b", {"m1=127.0.0.1:1@az"}, "m1"}).has_value());
    CPPUNIT_ASSERT(firstRecord({"d", {"m1=[::1]:1@az"}, "m1"}).has_value());
  }

  static void describe(FakeProxy &Of, std::uint64_t Version,
                       const std::string &Primary) {
    admin::GroupStatus *Group = Of.StatusAnswer.add_groups();
    Group->mutable_record()->set_database("ledger-1");
    Group->mutable_record()->set_version(Version);
    Group->mutable_record()->set_primary(Primary);
    Group->add_members()->set_name("m1");
  }

  void showPrintsTheNewestViewOfEachGroup() {
    FakeProxy Newer;
    describe(Proxy, 4, "m1");
    describe(Newer, 5, "m2");
    const Outcome Done =
        runCommand({"--admin", Proxy.address(), "--admin", Newer.address(),
                    "group", "show", "ledger-1"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_MESSAGE(Done.Results,
                           Done.Results.starts_with("ledger-1\t0\t\tm2\t"));
  }

  void showOfAnUnknownGroupIsNotFound() {
    assertCode(ExitCode::NotFound, runCommand({"--admin", Proxy.address(),
                                               "group", "show", "other"}));
  }

  void showWithoutAnyProxyIsUnreachable() {
    assertCode(ExitCode::Unreachable,
               runCommand({"--admin", RefusedAddress, "group", "show"}));
  }

  void changePrimaryPassesThePreferenceAndReportsTheResult() {
    Proxy.ChangeAnswer.set_changed(true);
    Proxy.ChangeAnswer.mutable_record()->set_primary("m3");
    const Outcome Done =
        runCommand({"--admin", Proxy.address(), "group", "change-primary",
                    "ledger-1", "--to", "m3"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL(std::string("m3"), Proxy.Preferred);
  }

  // Guards against two changes for one command: a call that was sent may have
  // started one.
  void changePrimaryMovesOnOnlyFromProxiesThatCannotBeReached() {
    FakeProxy Second;
    Second.ChangeAnswer.set_changed(true);
    assertCode(ExitCode::Ok,
               runCommand({"--admin", RefusedAddress, "--admin",
                           Second.address(), "group", "change-primary", "d"}));
    Proxy.Hang = true;
    assertCode(
        ExitCode::Unknown,
        runCommand({"--admin", Proxy.address(), "--admin", Second.address(),
                    "--timeout-ms", "200", "group", "change-primary", "d"}));
    CPPUNIT_ASSERT_EQUAL(1, Second.Changes.load());
  }

  void changePrimaryThatDidNotHappenIsAFailure() {
    Proxy.ChangeAnswer.set_detail("a change is in progress");
    assertCode(ExitCode::Failure, runCommand({"--admin", Proxy.address(),
                                              "group", "change-primary", "d"}));
    Proxy.ChangeStatus = {grpc::StatusCode::NOT_FOUND, "no such database"};
    assertCode(ExitCode::NotFound,
               runCommand({"--admin", Proxy.address(), "group",
                           "change-primary", "d"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupCommandsTest);

} // namespace
} // namespace borageridge::operators
