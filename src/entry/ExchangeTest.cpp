#include "entry/Exchange.h"

#include "entry/StateFixture.h"
#include "runtime/Clock.h"
#include "runtime/Listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace borageridge::entry {
namespace {

using peer::Message;
using std::chrono::milliseconds;

class ExchangeTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(ExchangeTest);
  CPPUNIT_TEST(reportContainsTheVersionOfTheConfiguration);
  CPPUNIT_TEST(storesNewerConfigurationVersionOfAPeer);
  CPPUNIT_TEST(marksPeerThatDoesNotAnswerAsUnreachable);
  CPPUNIT_TEST(peersThatAreLostTogetherGetOneLine);
  CPPUNIT_TEST(relinquishingEndsTheUseOfThePrimary);
  CPPUNIT_TEST(confirmsRelinquishingOfAnUnknownServiceAtOnce);
  CPPUNIT_TEST(undecodableRequestFailsWithoutEffect);
  CPPUNIT_TEST(peerWithAnUndecodableReportIsUnreachable);
  CPPUNIT_TEST(countsADaemonThatIsAlsoASeedOnce);
  CPPUNIT_TEST(peerRemovedBeforeItsQueryIsNotAddedAgain);
  CPPUNIT_TEST(seedThatIsNotYetKnownAsADaemonIsQueriedButNotCounted);
  CPPUNIT_TEST(queriesFewPeersOfALargeFleetAtEachInterval);
  CPPUNIT_TEST(queriesAPeerThatMayHaveFailedAtTheNextInterval);
  CPPUNIT_TEST_SUITE_END();

  int Queries = 0;
  State S{Io, settings(), runtime::tcp::endpoint(), Log};
  Exchange Subject{S};

  static void ignoreRejection(const std::string & /*Sender*/,
                              const Failure & /*Reason*/) {}

  Message answerTo(Message Request) {
    const Expected<Message> Answer = resultOf(std::move(Request));
    CPPUNIT_ASSERT(Answer.has_value());
    return Answer.value();
  }

  Expected<Message> resultOf(Message Request) {
    std::optional<Expected<Message>> Result;
    const auto Await = [&]() -> runtime::Task<void> {
      Result.emplace(co_await Subject.answer(Request));
      Io.stop();
    };
    runtime::spawn(Io, Await());
    runLoopFor(std::chrono::seconds(2));
    CPPUNIT_ASSERT(Result.has_value());
    return *Result;
  }

  /// Returns a port on which nothing listens.
  std::uint16_t freePort() {
    return runtime::listen(Io, {runtime::asio::ip::address_v4::loopback(), 0})
        .value()
        .local_endpoint()
        .port();
  }

  void addPeer(const std::string &Name, std::uint16_t Port) {
    S.Peers[Name].Channel = std::make_shared<peer::PeerChannel>(
        Io, runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(),
                                   Port));
    S.Daemons[Name].Name = Name;
  }

  void reportContainsTheVersionOfTheConfiguration() {
    catalog::Catalog Config;
    Config.Version = 12;
    S.StatementExecutor.setCatalog(Config);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(12),
        answerTo({{"type", "exchange"}}).value("config", std::uint64_t(0)));
  }

  void storesNewerConfigurationVersionOfAPeer() {
    const std::uint16_t Port = freePort();
    const auto Bound = peer::serve(
        Io, {runtime::asio::ip::address_v4::loopback(), Port},
        [](Message) -> runtime::Task<Expected<Message>> {
          Message Report = {{"config", 9}, {"store", true}};
          co_return Report;
        },
        ignoreRejection);
    CPPUNIT_ASSERT(Bound.has_value());
    addPeer("entry-2", Port);
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), S.NewestConfigSeen);
  }

  void undecodableRequestFailsWithoutEffect() {
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    const Time Now = runtime::bootTime();
    S.Lease.confirm(7, Now, std::chrono::seconds(60));
    Pool->setRecord({9, 1, "p", false, 0}, Now);
    for (const Message &Request :
         {Message{{"type", 5}},
          Message{{"type", "relinquish"}, {"service", "db"}, {"ends", "9"}},
          Message{{"type", "relinquish"}, {"service", 1}, {"ends", 9}},
          Message{{"type", "record"}, {"service", "db"}, {"record", 1}}})
      CPPUNIT_ASSERT(resultOf(Request).error().Kind == FailureKind::Corrupt);
    CPPUNIT_ASSERT(Pool->mayUsePrimary(Now));
  }

  void peerWithAnUndecodableReportIsUnreachable() {
    const std::uint16_t Port = freePort();
    const auto Bound = peer::serve(
        Io, {runtime::asio::ip::address_v4::loopback(), Port},
        [](Message) -> runtime::Task<Expected<Message>> {
          Message Report = {{"in_flight", {{"m", "many"}}}, {"config", 9}};
          co_return Report;
        },
        ignoreRejection);
    CPPUNIT_ASSERT(Bound.has_value());
    addPeer("entry-2", Port);
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(400));
    CPPUNIT_ASSERT(S.Peers["entry-2"].Unreachable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), S.NewestConfigSeen);
  }

  /// Serves reports with two statements in flight at member "m" on the peer
  /// port of a loopback address.
  void serveReports(const std::string &Ip) {
    S.Settings.PeerPort = freePort();
    const auto Bound = peer::serve(
        Io, {runtime::asio::ip::make_address_v4(Ip), S.Settings.PeerPort},
        [](Message) -> runtime::Task<Expected<Message>> {
          Message Report = {{"in_flight", {{"m", 2}}}, {"config", 4}};
          co_return Report;
        },
        ignoreRejection);
    CPPUNIT_ASSERT(Bound.has_value());
  }

  void countsADaemonThatIsAlsoASeedOnce() {
    S.Settings.SeedIps = {"127.0.0.1"};
    serveReports("127.0.0.1");
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(350));
    addPeer("entry-2", S.Settings.PeerPort);
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), S.Shared.LiveDaemons);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.Peers.size());
  }

  // The query of a peer starts after its expiry has been checked.
  void peerRemovedBeforeItsQueryIsNotAddedAgain() {
    addPeer("entry-2", freePort());
    S.Daemons.clear();
    S.Daemons["entry-1"].Name = "entry-1";
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(50));
    CPPUNIT_ASSERT(S.Peers.empty());
  }

  /// Adds peers that share one server; Queries counts their requests.
  void addFleet(int Size) {
    const std::uint16_t Port = freePort();
    const auto Bound = peer::serve(
        Io, {runtime::asio::ip::address_v4::loopback(), Port},
        [this](Message) -> runtime::Task<Expected<Message>> {
          ++Queries;
          Message Report = {{"config", 1}};
          co_return Report;
        },
        ignoreRejection);
    CPPUNIT_ASSERT(Bound.has_value());
    for (int I = 0; I < Size; ++I)
      addPeer("entry-" + std::to_string(100 + I), Port);
  }

  // Load pattern: a fleet of three hundred, in which each exchange of reports
  // costs both daemons processor time.
  void queriesFewPeersOfALargeFleetAtEachInterval() {
    addFleet(300);
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(1100));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Queries),
                           Queries >= 12 && Queries <= 20);
  }

  void queriesAPeerThatMayHaveFailedAtTheNextInterval() {
    addFleet(300);
    addPeer("entry-150b", freePort());
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(100));
    CPPUNIT_ASSERT(!S.Peers["entry-150b"].Unreachable);
    S.PeersToCheck.insert("entry-150b");
    runLoopFor(milliseconds(350));
    CPPUNIT_ASSERT(S.Peers["entry-150b"].Unreachable);
  }

  void seedThatIsNotYetKnownAsADaemonIsQueriedButNotCounted() {
    S.Settings.SeedIps = {"127.0.0.1"};
    serveReports("127.0.0.1");
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), S.NewestConfigSeen);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.Shared.LiveDaemons);
  }

  void marksPeerThatDoesNotAnswerAsUnreachable() {
    const std::uint16_t Port = freePort();
    addPeer("entry-2", Port);
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(S.Peers["entry-2"].Unreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), S.UnreachablePeers.size());
  }

  // Guards against a restart of the fleet that displaces the lines about its
  // cause from a short excerpt.
  void peersThatAreLostTogetherGetOneLine() {
    for (int I = 0; I < 12; ++I)
      addPeer("entry-" + std::to_string(10 + I), freePort());
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(400));
    Log.flush();
    const std::string All = Lines.str();
    const std::size_t First = All.find("\"event\":\"peers_lost\"");
    CPPUNIT_ASSERT(First != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string::npos, All.find("peers_lost", First + 20));
    CPPUNIT_ASSERT(All.find("\"count\":12") != std::string::npos);
    CPPUNIT_ASSERT(All.find("entry-17") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string::npos, All.find("entry-18"));
  }

  void relinquishingEndsTheUseOfThePrimary() {
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    const Time Now = runtime::bootTime();
    S.Lease.confirm(7, Now, std::chrono::seconds(60));
    Pool->setRecord({9, 1, "p", false, 0}, Now);
    CPPUNIT_ASSERT(Pool->mayUsePrimary(Now));
    const Message Done = answerTo({{"type", "relinquish"},
                                   {"service", "db"},
                                   {"ends", 9},
                                   {"epoch", 0},
                                   {"record", ""}});
    CPPUNIT_ASSERT(Done.value("done", false));
    CPPUNIT_ASSERT(!Pool->mayUsePrimary(Now));
    CPPUNIT_ASSERT(!Pool->mayAcknowledge(9, Now));
  }

  void confirmsRelinquishingOfAnUnknownServiceAtOnce() {
    CPPUNIT_ASSERT(
        answerTo({{"type", "relinquish"}, {"service", "other"}, {"ends", 9}})
            .value("done", false));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);

} // namespace
} // namespace borageridge::entry
