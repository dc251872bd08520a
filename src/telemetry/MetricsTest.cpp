#include "telemetry/Metrics.h"
#include "telemetry/MetricsServer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <prometheus/text_serializer.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace borageridge::telemetry {
namespace {

std::string scrape(const Metrics &Subject) {
  return prometheus::TextSerializer().Serialize(Subject.registry()->Collect());
}

// Fetches /metrics from a port of this machine.
std::string fetch(int Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CPPUNIT_ASSERT_EQUAL(0, connect(Socket,
                                  reinterpret_cast<const sockaddr *>(&Address),
                                  sizeof Address));
  const std::string_view Request = "GET /metrics HTTP/1.0\r\n\r\n";
  CPPUNIT_ASSERT_EQUAL(ssize_t(Request.size()),
                       send(Socket, Request.data(), Request.size(), 0));
  std::string Reply;
  std::array<char, 4096> Buffer{};
  ssize_t Size = 0;
  while ((Size = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0)
    Reply.append(Buffer.data(), static_cast<std::size_t>(Size));
  close(Socket);
  return Reply;
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(countsReadsByDatabaseAndRole);
  CPPUNIT_TEST(countsRefusalsByReason);
  CPPUNIT_TEST(countsStoreCallsByResult);
  CPPUNIT_TEST(returnsTheSameChildForTheSameName);
  CPPUNIT_TEST(boundsTheNumberOfCallerLabels);
  CPPUNIT_TEST(keepsMembersOfDifferentDatabasesApart);
  CPPUNIT_TEST(callerNamesCannotBreakAScrape);
  CPPUNIT_TEST(servesTheTextFormat);
  CPPUNIT_TEST(addressInUseIsATypedFailure);
  CPPUNIT_TEST_SUITE_END();

  Metrics Subject;

  void countsReadsByDatabaseAndRole() {
    Subject.database("ledger-1").addRead(ServedBy::Replica);
    Subject.database("ledger-1").addRead(ServedBy::Replica);
    Subject.database("ledger-1").addRead(ServedBy::Primary);
    assertScraped("borageridge_reads_total{database=\"ledger-1\",served_by="
                  "\"replica\"} 2");
    assertScraped("borageridge_reads_total{database=\"ledger-1\",served_by="
                  "\"primary\"} 1");
  }

  void countsRefusalsByReason() {
    Subject.addRefusal(caller::REFUSAL_REASON_QUEUE_FULL);
    Subject.addRefusal(static_cast<caller::RefusalReason>(9999));
    assertScraped("borageridge_refusals_total{reason=\"queue_full\"} 1");
    assertScraped("borageridge_refusals_total{reason=\"unspecified\"} 1");
    assertScraped("borageridge_refusals_total{reason=\"draining\"} 0");
  }

  void countsStoreCallsByResult() {
    Subject.addStoreCall(StoreCall::CompareAndSwap);
    Subject.addStoreCall(StoreCall::CompareAndSwap, FailureKind::Conflict);
    Subject.addStoreCall(StoreCall::Watch, FailureKind::Internal);
    assertScraped("borageridge_store_calls_total{call=\"compare_and_swap\","
                  "result=\"ok\"} 1");
    assertScraped("borageridge_store_calls_total{call=\"compare_and_swap\","
                  "result=\"conflict\"} 1");
    assertScraped("borageridge_store_calls_total{call=\"watch\",result="
                  "\"internal\"} 1");
  }

  void returnsTheSameChildForTheSameName() {
    CPPUNIT_ASSERT_EQUAL(&Subject.caller("crew"), &Subject.caller("crew"));
    CPPUNIT_ASSERT_EQUAL(&Subject.database("a"), &Subject.database("a"));
    CPPUNIT_ASSERT(&Subject.caller("crew") != &Subject.caller("dispatch"));
  }

  // Guards against memory and scrapes that grow with names that callers choose.
  void boundsTheNumberOfCallerLabels() {
    for (std::size_t I = 0; I < 3 * Metrics::MaxLabels; ++I)
      Subject.caller("caller" + std::to_string(I)).Observe(0.001);
    std::size_t Labels = 0;
    const std::string Text = scrape(Subject);
    const std::string_view Count = "borageridge_caller_request_seconds_count";
    for (std::size_t At = Text.find(Count); At != std::string::npos;
         At = Text.find(Count, At + 1))
      ++Labels;
    CPPUNIT_ASSERT_EQUAL(Metrics::MaxLabels + 1, Labels);
    assertScraped(std::string(Count) + "{caller=\"other\"} 400");
  }

  void keepsMembersOfDifferentDatabasesApart() {
    Subject.member("a", "m1").ConnectionsOpen.Set(3);
    Subject.member("b", "m1").ConnectionsOpen.Set(4);
    assertScraped("borageridge_connections_open{database=\"a\",member=\"m1\"} "
                  "3");
    assertScraped("borageridge_connections_open{database=\"b\",member=\"m1\"} "
                  "4");
  }

  void callerNamesCannotBreakAScrape() {
    Subject.caller("a\"\n\xff").Observe(1);
    assertScraped("borageridge_caller_request_seconds_count{caller=\"a\\\"??\"}"
                  " 1");
  }

  void servesTheTextFormat() {
    const auto Server = MetricsServer::start(Subject, "127.0.0.1:0");
    CPPUNIT_ASSERT(Server.has_value());
    Subject.setTableVersion(42);
    const std::string Reply = fetch(Server.value()->port());
    CPPUNIT_ASSERT_MESSAGE(Reply, Reply.find("borageridge_table_version 42") !=
                                      std::string::npos);
  }

  void addressInUseIsATypedFailure() {
    const auto First = MetricsServer::start(Subject, "127.0.0.1:0");
    CPPUNIT_ASSERT(First.has_value());
    const auto Second = MetricsServer::start(
        Subject, "127.0.0.1:" + std::to_string(First.value()->port()));
    CPPUNIT_ASSERT(!Second.has_value());
    CPPUNIT_ASSERT_EQUAL(borageridge::name(FailureKind::Unavailable),
                         borageridge::name(Second.error().Kind));
  }

  void assertScraped(const std::string &Line) {
    const std::string Text = scrape(Subject);
    CPPUNIT_ASSERT_MESSAGE(Line + " in\n" + Text,
                           Text.find(Line + "\n") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
} // namespace borageridge::telemetry
