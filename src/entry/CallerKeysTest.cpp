#include "authority/Fingerprint.h"
#include "entry/CallerConnection.h"
#include "entry/FakeMember.h"
#include "entry/StateFixture.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using runtime::tcp;
using std::chrono::milliseconds;

constexpr std::string_view Write = "QUERY q1 WRITE 1 x\r\n";

// Tests a daemon that serves callers with keys at its own member connections.
class CallerKeysTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(CallerKeysTest);
  CPPUNIT_TEST(memberIsToldTheOrganisationAndNeverTheKey);
  CPPUNIT_TEST(unknownKeyIsRefusedAtTheStart);
  CPPUNIT_TEST(knownKeyWithTrailingWordsIsUnknown);
  CPPUNIT_TEST(unknownDatabaseIsToldOnlyToKnownKeys);
  CPPUNIT_TEST(statementOfARevokedKeyDoesNotRun);
  CPPUNIT_TEST(transactionOfARevokedKeyIsRolledBack);
  CPPUNIT_TEST(idleSessionOfARevokedKeyIsClosed);
  CPPUNIT_TEST(outdatedConfigurationRunsNothingUntilItIsConfirmed);
  CPPUNIT_TEST(organisationsDoNotShareConnections);
  CPPUNIT_TEST(forwardedSessionIsIdentifiedByItsFingerprint);
  CPPUNIT_TEST(withoutOrganisationsTheMemberIsToldTheDaemon);
  CPPUNIT_TEST_SUITE_END();

  State S{Io, settings(), tcp::endpoint(), Log};
  Forwarding Sessions{S};
  FakeMember Primary{Io, "p"};
  tcp::acceptor Acceptor{
      Io, tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0)};
  tcp::socket Caller{Io};
  std::shared_ptr<CallerConnection> Subject;
  catalog::Catalog Config;

public:
  void setUp() override {
    const Time Now = runtime::bootTime();
    S.Loaded = true;
    S.Lease.confirm(7, Now, std::chrono::seconds(60));
    Config.Version = 1;
    Config.HasOrganisations = true;
    catalog::Route &Jobs = Config.RoutesByDatabase["jobs"];
    Jobs.Database = "jobs";
    Jobs.Service = "db";
    Jobs.Timeout = Jobs.TargetLatency = milliseconds(300);
    Config.TransactionIdle = std::chrono::seconds(3);
    addKey("k1", "mill");
    addKey("k2", "farm");
    S.StatementExecutor.setCatalog(Config);
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    catalog::ServiceSpec Spec;
    Spec.Name = "db";
    Spec.MaxConnections = 20;
    Pool->setSpec(Spec);
    Pool->setMembers({Primary.info()}, Now);
    cluster::GroupRecord Record;
    Record.Epoch = 1;
    Record.Primary = "p";
    Record.PrimaryTerm = 1;
    Pool->setRecord(Record, Now);
  }

private:
  void addKey(const std::string &Key, const std::string &Organisation) {
    Config.Organisations[Organisation].Name = Organisation;
    Config.OrganisationByFingerprint[authority::fingerprintOf(Key)] =
        Organisation;
  }

  void revoke(const std::string &Key) {
    Config.Version = 2;
    Config.OrganisationByFingerprint.erase(authority::fingerprintOf(Key));
    S.StatementExecutor.setCatalog(Config);
  }

  runtime::Task<void> accept(Forwarding *Forwarder) {
    tcp::socket Accepted =
        co_await Acceptor.async_accept(runtime::asio::use_awaitable);
    Subject =
        std::make_shared<CallerConnection>(S, std::move(Accepted), Forwarder);
    co_await Subject->run();
  }

  std::string connect(std::string_view Start, bool Forwarded = false) {
    Caller = tcp::socket(Io);
    runtime::spawn(Io, accept(Forwarded ? nullptr : &Sessions));
    Caller.connect(Acceptor.local_endpoint());
    return ask(Start);
  }

  std::string received() {
    runLoopFor(milliseconds(50));
    std::string Bytes(4096, 0);
    runtime::error_code Error;
    Caller.non_blocking(true);
    Bytes.resize(Caller.read_some(runtime::asio::buffer(Bytes), Error));
    return Error && Error != runtime::asio::error::would_block ? "closed"
                                                               : Bytes;
  }

  std::string ask(std::string_view Text) {
    runtime::asio::write(Caller, runtime::asio::buffer(Text));
    return received();
  }

  static void assertStarts(std::string_view Expected, const std::string &Seen) {
    CPPUNIT_ASSERT_MESSAGE(Seen, Seen.starts_with(Expected));
  }

  void memberIsToldTheOrganisationAndNeverTheKey() {
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"),
                         connect("START jobs k1\r\n"));
    assertStarts("COMPLETE 7.1", ask(Write));
    CPPUNIT_ASSERT(!Primary.Starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("START db mill p"), Primary.Starts[0]);
  }

  void unknownKeyIsRefusedAtTheStart() {
    assertStarts("ERROR UNAUTH", connect("START jobs k3\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
    CPPUNIT_ASSERT(hasLogged("caller_refused"));
    CPPUNIT_ASSERT(Lines.str().find("k3") == std::string::npos);
  }

  void knownKeyWithTrailingWordsIsUnknown() {
    assertStarts("ERROR UNAUTH", connect("START jobs k1 k1\r\n"));
  }

  void unknownDatabaseIsToldOnlyToKnownKeys() {
    assertStarts("ERROR UNAUTH", connect("START none k3\r\n"));
    assertStarts("ERROR NODB", connect("START none k1\r\n"));
  }

  void statementOfARevokedKeyDoesNotRun() {
    connect("START jobs k1\r\n");
    revoke("k1");
    assertStarts("ERROR UNAUTH", ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Primary.count("WRITE"));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void transactionOfARevokedKeyIsRolledBack() {
    connect("START jobs k1\r\n");
    ask("QUERY q1 BEGIN\r\n");
    ask("QUERY q2 WRITE 1 x\r\n");
    revoke("k1");
    assertStarts("ERROR UNAUTH", ask("QUERY q3 COMMIT\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Primary.count("COMMIT"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Primary.count("ROLLBACK"));
  }

  void idleSessionOfARevokedKeyIsClosed() {
    connect("START jobs k1\r\n");
    revoke("k2");
    Subject->closeIfRevoked();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    revoke("k1");
    Subject->closeIfRevoked();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  // Guards against a partitioned daemon that serves a key which was revoked.
  void outdatedConfigurationRunsNothingUntilItIsConfirmed() {
    S.StatementExecutor.recency().setLimit(std::chrono::seconds(5));
    assertStarts("ERROR BUSY", connect("START jobs k1\r\n"));
    const Time Now = runtime::bootTime();
    S.StatementExecutor.recency().config().confirm(Now, 1);
    connect("START jobs k1\r\n");
    assertStarts("COMPLETE 7.1", ask(Write));
    S.StatementExecutor.recency().setLimit(milliseconds(100));
    assertStarts("ERROR BUSY", ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Primary.count("WRITE"));
  }

  void organisationsDoNotShareConnections() {
    connect("START jobs k1\r\n");
    ask(Write);
    connect("START jobs k2\r\n");
    assertStarts("COMPLETE 7.1", ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Primary.Starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("START db farm p"), Primary.Starts[1]);
    CPPUNIT_ASSERT(Primary.Requests[0].Connection !=
                   Primary.Requests[1].Connection);
  }

  void forwardedSessionIsIdentifiedByItsFingerprint() {
    const std::string Known = authority::fingerprintOf("k1");
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"),
                         connect("START jobs entry-2 " + Known + "\r\n", true));
    assertStarts(
        "ERROR UNAUTH",
        connect("START jobs entry-2 " + authority::fingerprintOf("k3") + "\r\n",
                true));
  }

  void withoutOrganisationsTheMemberIsToldTheDaemon() {
    S.StatementExecutor.setCatalog([&] {
      catalog::Catalog Plain = Config;
      Plain.HasOrganisations = false;
      return Plain;
    }());
    connect("START jobs anybody\r\n");
    assertStarts("COMPLETE 7.1", ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::string("START db entry-1 p"), Primary.Starts[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerKeysTest);

} // namespace
} // namespace borageridge::entry
