#include "database/DatabaseServer.h"
#include "database/TestClient.h"
#include "database/TestDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <thread>

namespace borageridge::database {
namespace {

using namespace std::chrono_literals;

/// A member on ports of its own that can be stopped and started again.
class TestMember {
public:
  TestMember() {
    std::string Template =
        std::filesystem::temp_directory_path() / "borageridge-member-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(Template.data()) != nullptr);
    Options.Storage.Directory = Template;
    start();
  }

  ~TestMember() {
    Endpoint.reset();
    Server.reset();
  }

  void start() {
    Server = DatabaseServer::start(Options, Addresses);
    CPPUNIT_ASSERT(Server);
    Addresses.Listen = address();
    Endpoint = std::make_unique<endpoint::GrpcEndpoint>(
        address(), grpc::InsecureChannelCredentials());
  }

  void stop() { Server.reset(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server->port());
  }

  endpoint::MemberStatus status() { return Server->core().status(); }
  Member &member() { return Server->core().member(); }

  void set(const control::Faults &Change) { Server->core().setFaults(Change); }

  bool promote(Term New) {
    endpoint::PromoteRequest Request;
    Request.set_term(New);
    *Request.mutable_start() = status().received();
    Inbox<endpoint::PromoteReply> Replies;
    Endpoint->promote(Request, 3s,
                      [&](auto Reply) { Replies.put(std::move(Reply)); });
    const auto Reply = Replies.take(4s);
    return Reply && Reply->has_value() && Reply->value().accepted();
  }

  bool seal(Term Sealed) {
    endpoint::SealRequest Request;
    Request.set_term(Sealed);
    Inbox<endpoint::SealReply> Replies;
    Endpoint->seal(Request, 500ms,
                   [&](auto Reply) { Replies.put(std::move(Reply)); });
    const auto Reply = Replies.take(1s);
    return Reply && Reply->has_value() && Reply->value().accepted();
  }

  bool follow(Term New, const TestMember &Primary) {
    endpoint::FollowRequest Request;
    Request.set_term(New);
    Request.set_primary_address(Primary.address());
    Inbox<endpoint::FollowReply> Replies;
    Endpoint->follow(Request, 1s,
                     [&](auto Reply) { Replies.put(std::move(Reply)); });
    const auto Reply = Replies.take(2s);
    return Reply && Reply->has_value() && Reply->value().accepted();
  }

  TestDirectory Directory;
  ServerOptions Options;
  ServerAddresses Addresses;
  std::unique_ptr<DatabaseServer> Server;
  std::unique_ptr<endpoint::GrpcEndpoint> Endpoint;
};

/// Returns whether Condition becomes true within a few seconds.
template <typename F> bool eventually(F Condition) {
  for (int Attempt = 0; Attempt < 500; ++Attempt) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

bool sameLog(TestMember &Left, TestMember &Right) {
  const auto Wanted = fromProto(Left.status().received());
  return fromProto(Right.status().received()) == Wanted &&
         fromProto(Right.status().applied()) == Wanted;
}

class DatabaseServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseServerTest);
  CPPUNIT_TEST(replicasApplyWhatThePrimaryCommits);
  CPPUNIT_TEST(replacedPrimaryRejoinsWithoutItsUnconfirmedWrites);
  CPPUNIT_TEST(membersKeepTheirRoleAndLogOverARestart);
  CPPUNIT_TEST(memberCutOffFromMembersReceivesNothingUntilItIsBack);
  CPPUNIT_TEST(receiveLagDelaysEntriesInOrder);
  CPPUNIT_TEST(connectionsAboveTheLimitAreRefused);
  CPPUNIT_TEST(brokenConnectionRollsBackAtOnce);
  CPPUNIT_TEST(silencedConnectionStaysSilentAndANewOneWorks);
  CPPUNIT_TEST(lostAnswerLeavesTheWriteInEffect);
  CPPUNIT_TEST(cutOffMemberAnswersNobodyUntilItIsBack);
  CPPUNIT_TEST(downMemberEndsEveryCall);
  CPPUNIT_TEST(delayedAnswersArriveLateAndInOrder);
  CPPUNIT_TEST(statementsBeyondTheSlotsWait);
  CPPUNIT_TEST(pingsAreAnsweredAndChangesArePushed);
  CPPUNIT_TEST_SUITE_END();

  // Members cannot be moved.
  std::deque<TestMember> Members;

public:
  void setUp() override {
    for (int I = 0; I < 3; ++I)
      Members.emplace_back();
  }
  void tearDown() override { Members.clear(); }

private:
  void startTerm(Term New, std::size_t Primary) {
    CPPUNIT_ASSERT(Members.at(Primary).promote(New));
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (I != Primary)
        CPPUNIT_ASSERT(Members.at(I).follow(New, Members.at(Primary)));
  }

  // Guards against replicas that miss entries or apply them differently.
  void replicasApplyWhatThePrimaryCommits() {
    startTerm(1, 0);
    TestConnection Primary(*Members[0].Endpoint);
    auto Reply = Primary.call(write(1, "CREATE TABLE t(a INTEGER)"));
    CPPUNIT_ASSERT(Reply);
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 2}),
                         fromProto(Reply->position()));
    Reply = Primary.call(write(1, "INSERT INTO t VALUES(7)"));
    CPPUNIT_ASSERT(Reply);
    CPPUNIT_ASSERT(eventually([&] { return sameLog(Members[0], Members[1]); }));
    CPPUNIT_ASSERT(eventually([&] { return sameLog(Members[0], Members[2]); }));
    TestConnection Replica(*Members[2].Endpoint);
    Reply = Replica.call(read(1, "SELECT a FROM t"));
    CPPUNIT_ASSERT(Reply);
    CPPUNIT_ASSERT_EQUAL(std::string(), Reply->detail());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7),
                         Reply->results(0).rows(0).values(0).integer());
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}),
                         fromProto(Reply->position()));
  }

  void startWithTable() {
    startTerm(1, 0);
    TestConnection Primary(*Members[0].Endpoint);
    assertRan(Primary.call(write(1, "CREATE TABLE t(a)")));
    assertInSync();
  }

  void assertInSync(std::size_t Primary = 0) {
    for (auto &Member : Members)
      CPPUNIT_ASSERT(
          eventually([&] { return sameLog(Members.at(Primary), Member); }));
  }

  static void assertRan(const std::optional<endpoint::ConnectionReply> &Reply) {
    CPPUNIT_ASSERT(Reply);
    CPPUNIT_ASSERT_EQUAL(
        endpoint::EndpointError_Name(endpoint::ENDPOINT_ERROR_NONE),
        endpoint::EndpointError_Name(Reply->error()));
  }

  std::int64_t count(std::size_t Index) {
    TestConnection Connection(*Members.at(Index).Endpoint);
    const auto Reply = Connection.call(read(0, "SELECT count(*) FROM t"));
    assertRan(Reply);
    return Reply->results(0).rows(0).values(0).integer();
  }

  static control::Faults cutOff(bool On) {
    control::Faults Change;
    Change.set_cut_off(On);
    return Change;
  }

  // Guards against a write of a replaced primary that survives or is confirmed
  // (P2), and against members that differ after a change of the primary.
  void replacedPrimaryRejoinsWithoutItsUnconfirmedWrites() {
    startWithTable();
    control::Faults Alone;
    Alone.set_cut_off_from_members(true);
    Members[0].set(Alone);
    TestConnection Old(*Members[0].Endpoint);
    assertRan(Old.call(write(1, "INSERT INTO t VALUES(1)")));
    Members[0].set(cutOff(true));
    CPPUNIT_ASSERT(!Members[0].seal(2));
    CPPUNIT_ASSERT(Members[1].seal(2));
    CPPUNIT_ASSERT(Members[2].seal(2));
    CPPUNIT_ASSERT(Members[1].promote(2));
    CPPUNIT_ASSERT(Members[2].follow(2, Members[1]));
    TestConnection New(*Members[1].Endpoint);
    assertRan(New.call(write(2, "INSERT INTO t VALUES(2)")));
    assertRan(New.call(write(2, "INSERT INTO t VALUES(3)")));
    Members[0].set(cutOff(false));
    Alone.set_cut_off_from_members(false);
    Members[0].set(Alone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         std::uint64_t(Members[0].status().term()));
    CPPUNIT_ASSERT(Members[0].follow(2, Members[1]));
    assertInSync(1);
    const auto Late = Old.call(write(1, "INSERT INTO t VALUES(4)"));
    CPPUNIT_ASSERT(Late);
    CPPUNIT_ASSERT_EQUAL(
        endpoint::EndpointError_Name(endpoint::ENDPOINT_ERROR_WRONG_TERM),
        endpoint::EndpointError_Name(Late->error()));
    for (std::size_t I = 0; I < Members.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(std::int64_t(2), count(I));
  }

  void membersKeepTheirRoleAndLogOverARestart() {
    startWithTable();
    for (auto &Member : Members)
      Member.stop();
    for (auto &Member : Members)
      Member.start();
    CPPUNIT_ASSERT_EQUAL(endpoint::ROLE_PRIMARY, Members[0].status().role());
    TestConnection Primary(*Members[0].Endpoint);
    assertRan(Primary.call(write(1, "INSERT INTO t VALUES(1)")));
    assertInSync();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(2));
  }

  void memberCutOffFromMembersReceivesNothingUntilItIsBack() {
    startWithTable();
    control::Faults Alone;
    Alone.set_cut_off_from_members(true);
    Members[1].set(Alone);
    const auto Before = fromProto(Members[1].status().received());
    TestConnection Primary(*Members[0].Endpoint);
    assertRan(Primary.call(write(1, "INSERT INTO t VALUES(1)")));
    CPPUNIT_ASSERT(eventually([&] { return sameLog(Members[0], Members[2]); }));
    CPPUNIT_ASSERT_EQUAL(Before, fromProto(Members[1].status().received()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), count(1));
    Alone.set_cut_off_from_members(false);
    Members[1].set(Alone);
    assertInSync();
  }

  void receiveLagDelaysEntriesInOrder() {
    startWithTable();
    control::Faults Lag;
    Lag.set_receive_lag_ms(150);
    Members[1].set(Lag);
    const Time Start = std::chrono::steady_clock::now();
    TestConnection Primary(*Members[0].Endpoint);
    for (int I = 0; I < 20; ++I)
      assertRan(Primary.call(write(1, "INSERT INTO t VALUES(1)")));
    assertInSync();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start >= 150ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(20), count(1));
  }

  void connectionsAboveTheLimitAreRefused() {
    Members[0].stop();
    Members[0].Options.ConnectionLimit = 2;
    Members[0].start();
    endpoint::ConnectionRequest Hello;
    Hello.set_hello(true);
    TestConnection First(*Members[0].Endpoint);
    assertRan(First.call(Hello));
    {
      TestConnection Second(*Members[0].Endpoint);
      assertRan(Second.call(Hello));
      TestConnection Third(*Members[0].Endpoint);
      const auto Refused = Third.call(Hello);
      CPPUNIT_ASSERT(Refused);
      CPPUNIT_ASSERT_EQUAL(endpoint::EndpointError_Name(
                               endpoint::ENDPOINT_ERROR_TOO_MANY_CONNECTIONS),
                           endpoint::EndpointError_Name(Refused->error()));
    }
    CPPUNIT_ASSERT(eventually(
        [&] { return Members[0].status().open_connections() == 1; }));
    TestConnection Next(*Members[0].Endpoint);
    assertRan(Next.call(Hello));
  }

  // Guards against locks that a dead proxy keeps until the time limit.
  void brokenConnectionRollsBackAtOnce() {
    startWithTable();
    {
      TestConnection Broken(*Members[0].Endpoint);
      assertRan(Broken.call(begin(1)));
      assertRan(Broken.call(step("INSERT INTO t VALUES(1)")));
    }
    TestConnection Other(*Members[0].Endpoint);
    assertRan(Other.call(write(1, "INSERT INTO t VALUES(2)"), 1s));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(0));
  }

  void silencedConnectionStaysSilentAndANewOneWorks() {
    startWithTable();
    TestConnection Open(*Members[0].Endpoint);
    assertRan(Open.call(read(1, "SELECT 1")));
    control::Faults Silence;
    Silence.set_silence_open_connections(true);
    Members[0].set(Silence);
    CPPUNIT_ASSERT(!Open.call(read(1, "SELECT 1"), 200ms));
    TestConnection New(*Members[0].Endpoint);
    assertRan(New.call(write(1, "INSERT INTO t VALUES(2)")));
    // The replicas' connections are silent, too, and must be replaced.
    assertInSync();
  }

  void lostAnswerLeavesTheWriteInEffect() {
    startWithTable();
    control::Faults Lose;
    Lose.set_lose_answers(1);
    Members[0].set(Lose);
    TestConnection Connection(*Members[0].Endpoint);
    CPPUNIT_ASSERT(
        !Connection.call(write(1, "INSERT INTO t VALUES(1)", "r"), 200ms));
    const auto Again =
        Connection.call(write(1, "INSERT INTO t VALUES(1)", "r"));
    assertRan(Again);
    CPPUNIT_ASSERT(Again->replayed());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(0));
  }

  void cutOffMemberAnswersNobodyUntilItIsBack() {
    startWithTable();
    TestConnection Open(*Members[0].Endpoint);
    assertRan(Open.call(read(1, "SELECT 1")));
    Members[0].set(cutOff(true));
    CPPUNIT_ASSERT(!Open.call(write(1, "INSERT INTO t VALUES(1)"), 200ms));
    TestConnection New(*Members[0].Endpoint);
    CPPUNIT_ASSERT(!New.call(read(1, "SELECT 1"), 200ms));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         std::uint64_t(Members[0].status().received().index()));
    Members[0].set(cutOff(false));
    assertRan(Open.take());
    assertRan(New.take());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), count(0));
  }

  void downMemberEndsEveryCall() {
    startWithTable();
    TestConnection Open(*Members[0].Endpoint);
    assertRan(Open.call(read(1, "SELECT 1")));
    control::Faults Down;
    Down.set_down(true);
    Members[0].set(Down);
    CPPUNIT_ASSERT(Open.ended());
    TestConnection New(*Members[0].Endpoint);
    CPPUNIT_ASSERT(New.ended());
    CPPUNIT_ASSERT(!Members[0].seal(2));
    Down.set_down(false);
    Members[0].set(Down);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), count(0));
    assertInSync();
  }

  void delayedAnswersArriveLateAndInOrder() {
    startWithTable();
    control::Faults Slow;
    Slow.set_delay_ms(60);
    Members[0].set(Slow);
    const Time Start = std::chrono::steady_clock::now();
    TestConnection Connection(*Members[0].Endpoint);
    Connection.send(read(1, "SELECT 1"));
    Connection.send(read(1, "SELECT 2"));
    for (std::uint64_t Sequence = 1; Sequence <= 2; ++Sequence) {
      const auto Reply = Connection.take();
      assertRan(Reply);
      CPPUNIT_ASSERT_EQUAL(Sequence, std::uint64_t(Reply->sequence()));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start >= 120ms);
  }

  // Guards against trials in which a member never saturates.
  void statementsBeyondTheSlotsWait() {
    startWithTable();
    control::Faults Slow;
    Slow.set_statement_delay_ms(50);
    Members[0].set(Slow);
    std::vector<std::unique_ptr<TestConnection>> Connections;
    const Time Start = std::chrono::steady_clock::now();
    for (std::size_t I = 0; I < 2 * Members[0].Options.Storage.Slots; ++I) {
      Connections.push_back(
          std::make_unique<TestConnection>(*Members[0].Endpoint));
      Connections.back()->send(read(1, "SELECT 1"));
    }
    for (auto &Connection : Connections)
      assertRan(Connection->take());
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start >= 100ms);
  }

  void pingsAreAnsweredAndChangesArePushed() {
    startWithTable();
    Inbox<endpoint::MemberStatus> Statuses;
    const auto Observation = Members[1].Endpoint->observe(
        [&](auto Status) { Statuses.put(std::move(Status)); });
    const auto Await = [&](auto Matches) {
      for (auto Status = Statuses.take(2s); Status && Status->has_value();
           Status = Statuses.take(2s))
        if (Matches(Status->value()))
          return true;
      return false;
    };
    Observation->ping(7);
    CPPUNIT_ASSERT(Await([](const auto &S) { return S.ping_sequence() == 7; }));
    TestConnection Primary(*Members[0].Endpoint);
    assertRan(Primary.call(write(1, "INSERT INTO t VALUES(1)")));
    CPPUNIT_ASSERT(
        Await([](const auto &S) { return S.applied().index() == 3; }));
    control::Faults Leaving;
    Leaving.set_leaving(true);
    Members[1].set(Leaving);
    CPPUNIT_ASSERT(Await([](const auto &S) { return S.leaving(); }));
    CPPUNIT_ASSERT(Members[1].seal(2));
    CPPUNIT_ASSERT(Await(
        [](const auto &S) { return S.sealed_term() == 2 && S.term() == 0; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseServerTest);

} // namespace
} // namespace borageridge::database
