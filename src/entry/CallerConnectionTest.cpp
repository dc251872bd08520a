#include "entry/CallerConnection.h"

#include "entry/FakeMember.h"
#include "entry/StateFixture.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace borageridge::entry {
namespace {

using runtime::error_code;
using runtime::tcp;
using std::chrono::milliseconds;

constexpr std::string_view Write = "QUERY q1 WRITE 1 x\r\n";

// Tests a daemon that forwards the session of its caller to the connection
// holder of the service, or serves it locally.
class CallerConnectionTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(CallerConnectionTest);
  CPPUNIT_TEST(forwardsStatementToTheHolder);
  CPPUNIT_TEST(closesIdleCallerWhenTheHolderEndsItsSession);
  CPPUNIT_TEST(closesIdleCallerAfterForwardedStatements);
  CPPUNIT_TEST(abortsTransactionWhenTheHolderIsLost);
  CPPUNIT_TEST(writeLostWithTheHolderIsInDoubt);
  CPPUNIT_TEST(closesIdleLocalSessionOnceOtherDaemonsAreHolders);
  CPPUNIT_TEST(keepsLocalSessionInATransaction);
  CPPUNIT_TEST(keepsSessionWhoseRequestHasArrivedButIsNotRead);
  CPPUNIT_TEST(keepsLocalSessionWhileNoHolderIsReachable);
  CPPUNIT_TEST(sessionWaitsUntilTheFleetIsKnown);
  CPPUNIT_TEST(forwardedSessionDoesNotWaitForTheFleet);
  CPPUNIT_TEST(stoppingDaemonClosesASessionAfterItsAnswer);
  CPPUNIT_TEST(stoppingDaemonAnswersPipelinedRequestsFirst);
  CPPUNIT_TEST(stoppingDaemonLetsATransactionEnd);
  CPPUNIT_TEST(stoppingDaemonKeepsASessionThatIsBeingSetUp);
  CPPUNIT_TEST(stoppingDaemonAnswersWhatItHasReadAtItsEnd);
  CPPUNIT_TEST(callerOfAnAbortedTransactionIsTold);
  CPPUNIT_TEST(callerOfAnAbortedForwardedTransactionIsTold);
  CPPUNIT_TEST(forwardedStatementIsAnsweredBeforeAStopEnds);
  CPPUNIT_TEST(forwardedStatementInWorkIsAnsweredWhenAStopEndsItsWait);
  CPPUNIT_TEST(holderGivesUpAStatementThatWaits);
  CPPUNIT_TEST(transactionWhoseNextStatementHasArrivedIsNotEnded);
  CPPUNIT_TEST(callerRefusedInAStopConnectsAgain);
  CPPUNIT_TEST_SUITE_END();

  State S{Io, settings(), tcp::endpoint(), Log};
  Forwarding Sessions{S};
  FakeMember Holder{Io, "entry-2"};
  tcp::acceptor Acceptor{
      Io, tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0)};
  tcp::socket Caller{Io};
  std::shared_ptr<CallerConnection> Subject;

public:
  void setUp() override {
    S.Loaded = true;
    catalog::Catalog Config;
    Config.Version = 1;
    catalog::Route &Jobs = Config.RoutesByDatabase["jobs"];
    Jobs.Database = "jobs";
    Jobs.Service = "db";
    Jobs.Timeout = Jobs.TargetLatency = milliseconds(300);
    S.StatementExecutor.setCatalog(Config);
    cluster::DaemonRecord Other;
    Other.Name = "entry-2";
    Other.Ip = "127.0.0.1";
    Other.PeerPort = static_cast<std::uint16_t>(Holder.port() - 1);
    Other.AvailabilityZone = "z1";
    S.Daemons["entry-2"] = S.Peers["entry-2"].Record = Other;
    S.HolderRanking.add(Other);
    S.Holders["db"] = {"entry-2"};
    connect();
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"), ask(Start));
  }

private:
  static constexpr std::string_view Start = "START jobs caller\r\n";

  void connect(bool Forwarded = false) {
    Caller = tcp::socket(Io);
    runtime::spawn(Io, accept(Forwarded ? nullptr : &Sessions));
    Caller.connect(Acceptor.local_endpoint());
  }

  /// Starts a session before any holder is known, so that it runs locally.
  void connectLocally() {
    const auto Holders = std::exchange(S.Holders, {});
    connect();
    ask(Start);
    S.Holders = Holders;
  }

  runtime::Task<void> accept(Forwarding *Forwarder) {
    tcp::socket Accepted =
        co_await Acceptor.async_accept(runtime::asio::use_awaitable);
    Subject =
        std::make_shared<CallerConnection>(S, std::move(Accepted), Forwarder);
    co_await Subject->run();
  }

  void runLoop() { runLoopFor(milliseconds(50)); }

  /// Returns what the caller has received, or "closed" if the connection is
  /// closed.
  std::string received() {
    runLoop();
    std::string Bytes(4096, 0);
    error_code Error;
    Caller.non_blocking(true);
    Bytes.resize(Caller.read_some(runtime::asio::buffer(Bytes), Error));
    return Error && Error != runtime::asio::error::would_block ? "closed"
                                                               : Bytes;
  }

  std::string ask(std::string_view Text) {
    runtime::asio::write(Caller, runtime::asio::buffer(Text));
    return received();
  }

  void forwardsStatementToTheHolder() {
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE 7.1\r\nREADY I 1.5\r\n"),
                         ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holder.count("QUERY q1 WRITE 1 x"));
  }

  void closesIdleCallerWhenTheHolderEndsItsSession() {
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void closesIdleCallerAfterForwardedStatements() {
    ask(Write);
    ask(Write);
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void abortsTransactionWhenTheHolderIsLost() {
    ask("QUERY q1 BEGIN\r\n");
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    const std::string Answer = ask("QUERY q2 WRITE 1 x\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("ERROR ABORTED"));
  }

  void writeLostWithTheHolderIsInDoubt() {
    Holder.Answer = [](const std::string &) { return CloseConnection; };
    CPPUNIT_ASSERT(ask(Write).starts_with("ERROR INDOUBT"));
  }

  void closesIdleLocalSessionOnceOtherDaemonsAreHolders() {
    connectLocally();
    Subject->closeIfHeldElsewhere();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void keepsLocalSessionInATransaction() {
    connectLocally();
    ask("QUERY q1 BEGIN\r\n");
    Subject->closeIfHeldElsewhere();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
  }

  void keepsSessionWhoseRequestHasArrivedButIsNotRead() {
    connectLocally();
    runtime::asio::write(
        Caller, runtime::asio::buffer(std::string("QUERY q1 SET a 1\r\n")));
    CPPUNIT_ASSERT(!Subject->isIdle());
    Subject->closeIfHeldElsewhere();
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE -\r\nREADY I -\r\n"),
                         received());
  }

  void keepsLocalSessionWhileNoHolderIsReachable() {
    connectLocally();
    S.Peers["entry-2"].Unreachable = true;
    Subject->closeIfHeldElsewhere();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
  }

  void forwardedSessionDoesNotWaitForTheFleet() {
    S.FleetKnownFrom = runtime::bootTime() + std::chrono::seconds(1);
    connect(true);
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"), ask(Start));
  }

  void sessionWaitsUntilTheFleetIsKnown() {
    S.FleetKnownFrom = runtime::bootTime() + milliseconds(130);
    connect();
    CPPUNIT_ASSERT_EQUAL(std::string(), ask(Start));
    runLoop();
    runLoop();
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"), received());
  }

  // Guards against a busy session that is never idle when the daemon looks, and
  // is cut when the process ends.
  void stoppingDaemonClosesASessionAfterItsAnswer() {
    S.ClosesSessions = true;
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE 7.1\r\nREADY I 1.5\r\n"),
                         ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void stoppingDaemonAnswersPipelinedRequestsFirst() {
    S.ClosesSessions = true;
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE 7.1\r\nREADY I 1.5\r\n"
                                     "COMPLETE 7.1\r\nREADY I 1.5\r\n"),
                         ask(std::string(Write) + std::string(Write)));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void stoppingDaemonLetsATransactionEnd() {
    connectLocally();
    S.ClosesSessions = true;
    ask("QUERY q1 BEGIN\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE -\r\nREADY I -\r\n"),
                         ask("QUERY q2 ROLLBACK\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  // Guards against callers that set up their session again and again, if the
  // load balancer has no other daemon.
  void stoppingDaemonKeepsASessionThatIsBeingSetUp() {
    connectLocally();
    S.ClosesSessions = true;
    ask("QUERY q1 SET a 1\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
  }

  // The caller does not wait for its answers.
  void stoppingDaemonAnswersWhatItHasReadAtItsEnd() {
    connectLocally();
    S.ClosesSessions = true;
    S.StatementExecutor.setAnswerLimits(
        {runtime::bootTime(), runtime::bootTime()});
    const std::string Answers = ask("QUERY q1 SET a 1\r\nQUERY q2 SET a 2\r\n"
                                    "QUERY q3 SET");
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE -\r\nREADY I -\r\n"
                                     "COMPLETE -\r\nREADY I -\r\n"),
                         Answers);
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  // A promise that nothing is kept, so that the caller may begin again.
  void callerOfAnAbortedTransactionIsTold() {
    connectLocally();
    ask("QUERY q1 BEGIN\r\n");
    Subject->abortTransaction(runtime::bootTime());
    const std::string Answer = ask("QUERY q2 WRITE 1 x\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("ERROR ABORTED"));
    CPPUNIT_ASSERT(Answer.find("READY E") != std::string::npos);
    CPPUNIT_ASSERT(
        ask("QUERY q3 WRITE 1 x\r\n").starts_with("ERROR MALFORMED"));
    CPPUNIT_ASSERT(ask("QUERY q4 ROLLBACK\r\n").starts_with("COMPLETE"));
  }

  void callerOfAnAbortedForwardedTransactionIsTold() {
    Holder.Answer = [](const std::string &) { return SuccessInTransaction; };
    ask("QUERY q1 BEGIN\r\n");
    Subject->abortTransaction(runtime::bootTime());
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    CPPUNIT_ASSERT(ask("QUERY q2 COMMIT\r\n").starts_with("ERROR ABORTED"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Holder.count("COMMIT"));
  }

  void forwardedStatementIsAnsweredBeforeAStopEnds() {
    Holder.Answer = [](const std::string &) { return ""; };
    S.StatementExecutor.setAnswerLimits(
        {runtime::bootTime() + milliseconds(30),
         runtime::bootTime() + milliseconds(30)});
    CPPUNIT_ASSERT(ask(Write).starts_with("ERROR INDOUBT"));
  }

  // Guards against a statement that was forwarded before the stop and keeps the
  // time-out of its route.
  void forwardedStatementInWorkIsAnsweredWhenAStopEndsItsWait() {
    Holder.Answer = [](const std::string &) { return ""; };
    CPPUNIT_ASSERT_EQUAL(std::string(), ask(Write));
    Subject->endForwardedWait();
    CPPUNIT_ASSERT(received().starts_with("ERROR INDOUBT"));
  }

  // Guards against a caller in doubt about a write that did not run.
  void holderGivesUpAStatementThatWaits() {
    S.ByService["db"] = std::make_unique<pool::ServicePool>(S.Shared, "db");
    connect(true);
    ask(Start);
    CPPUNIT_ASSERT_EQUAL(std::string(), ask(Write));
    Subject->endAbandonedWait();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    Caller.shutdown(tcp::socket::shutdown_send);
    runLoop();
    Subject->endAbandonedWait();
    CPPUNIT_ASSERT(received().starts_with("ERROR BUSY"));
  }

  // Guards against a close or an abort that crosses a commit, whose caller is
  // then in doubt.
  void transactionWhoseNextStatementHasArrivedIsNotEnded() {
    connectLocally();
    ask("QUERY q1 BEGIN\r\n");
    CPPUNIT_ASSERT(Subject->waitsInTransaction());
    runtime::asio::write(
        Caller, runtime::asio::buffer(std::string("QUERY q2 COMMIT\r\n")));
    CPPUNIT_ASSERT(!Subject->waitsInTransaction());
  }

  // Guards against a caller that is refused again and again by a daemon that
  // cannot serve it any more.
  void callerRefusedInAStopConnectsAgain() {
    connectLocally();
    S.Stopping = true;
    CPPUNIT_ASSERT(ask(Write).starts_with("ERROR BUSY"));
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTest);

} // namespace
} // namespace borageridge::entry
