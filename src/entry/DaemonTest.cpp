#include "entry/Daemon.h"

#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <vector>

namespace borageridge::entry {
namespace {

using runtime::tcp;
using std::chrono::milliseconds;

constexpr std::string_view Start = "START jobs caller\r\n";
constexpr std::string_view Config =
    R"({"version":3,"routes":[{"host":"jobs","backend":"db",)"
    R"("type":"primary"}],"backends":[{"name":"db","max_conns":20}]})";

/// Runs a whole daemon against a fake store, with all its listeners on loopback
/// ports.
class DaemonTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(DaemonTest);
  CPPUNIT_TEST(malformedBytesOnAnyPortDoNotEndTheDaemon);
  CPPUNIT_TEST(unknownConfigurationIsNotReportedAsAnUnknownDatabase);
  CPPUNIT_TEST(connectionsAcceptedUntilTheEndOfAStopAreAnswered);
  CPPUNIT_TEST(sessionsThatAreNeverIdleAreNotCutAtAStop);
  CPPUNIT_TEST(statementsThatWaitWhenAStopBeginsAreAnswered);
  CPPUNIT_TEST(stopEndsTheRoleOfCoordinatorBeforeTheProcess);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadinessPort = 0;
  std::uint16_t MetricsPort = 0;
  std::uint16_t PeerPort = 0;
  /// The last one has started; the others found a port in use.
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::vector<std::string> Errors;

  std::uint16_t freePort() {
    return runtime::listen(Io, {runtime::asio::ip::address_v4::loopback(), 0})
        .value()
        .local_endpoint()
        .port();
  }

public:
  // A port that was free may be taken by another process before the daemon
  // listens on it.
  void setUp() override {
    constexpr int MaxTries = 10;
    for (int Try = 0; Try < MaxTries; ++Try)
      if (start())
        return;
    CPPUNIT_FAIL("no free ports");
  }

private:
  bool start() {
    CallerPort = freePort();
    ReadinessPort = freePort();
    MetricsPort = freePort();
    PeerPort = freePort();
    instance::DaemonSettings Given = settings();
    const std::string Ip = "127.0.0.1";
    Given.Ip = Ip;
    Given.CallerAddress = Ip + ":" + std::to_string(CallerPort);
    Given.ReadinessAddress = Ip + ":" + std::to_string(ReadinessPort);
    Given.PeerPort = PeerPort;
    Daemons.push_back(std::make_unique<Daemon>(Io, Given, Store.address(),
                                               tcp::endpoint(), 1, Log));
    return Daemons.back()->start(MetricsPort).has_value();
  }

  static void unavailable(platform::FakeStore &Target) {
    Target.Intercept = [](const http::Request &) {
      return std::optional(http::Response{503, "{}"});
    };
  }

  /// Runs the loop and returns false once the daemon has stopped it.
  bool run(Duration Limit) {
    const Time End = runtime::bootTime() + Limit;
    while (!Io.stopped() && runtime::bootTime() < End) {
      try {
        Io.run_for(End - runtime::bootTime());
      } catch (const std::exception &Error) {
        Errors.emplace_back(Error.what());
      }
    }
    const bool Stopped = Io.stopped();
    Io.restart();
    return !Stopped;
  }

  tcp::socket connect(std::uint16_t Port, runtime::error_code &Error) {
    tcp::socket Socket(Io);
    Socket.connect({runtime::asio::ip::address_v4::loopback(), Port}, Error);
    Socket.non_blocking(!Error, Error.failed() ? Ignored : Error);
    return Socket;
  }

  /// Returns what has arrived, or "none" if nothing has.
  std::string received(tcp::socket &Socket) {
    std::string Bytes(4096, 0);
    runtime::error_code Error;
    Bytes.resize(Socket.read_some(runtime::asio::buffer(Bytes), Error));
    return Bytes.empty() ? "none" : Bytes;
  }

  std::string ask(std::uint16_t Port, std::string_view Bytes) {
    runtime::error_code Error;
    tcp::socket Socket = connect(Port, Error);
    CPPUNIT_ASSERT(!Error);
    runtime::asio::write(Socket, runtime::asio::buffer(Bytes), Error);
    run(milliseconds(40));
    return received(Socket);
  }

  void malformedBytesOnAnyPortDoNotEndTheDaemon() {
    using namespace std::string_view_literals;
    keyvalue::Transaction Change;
    Change.Puts.push_back({"op/config", std::string(Config), 0});
    Store.commit(Change);
    run(milliseconds(300));
    const std::string Nested =
        std::string("\0\x7f\xff\xff", 4) + std::string(0x7fffff, '\x91');
    for (const std::uint16_t Port :
         {CallerPort, ReadinessPort, MetricsPort, PeerPort,
          static_cast<std::uint16_t>(PeerPort + 1)})
      for (const std::string_view Bytes :
           {"\0\0\0\x0d\x82\xa2id\1\xa4type\5"sv, "\0\0\0\1\xc1"sv,
            "\r\n\r\n"sv, "QUERY\r\n"sv, "START\r\n"sv,
            "START jobs\r\nQUERY\r\n"sv,
            "GET / HTTP/9.9\r\nContent-Length: -1\r\n\r\n"sv,
            "\xff\xfe\xfd\xfc\r\n"sv, std::string_view(Nested)})
        ask(Port, Bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Errors.size());
    CPPUNIT_ASSERT(hasLogged("peer_message_rejected"));
    CPPUNIT_ASSERT(ask(ReadinessPort, "GET /v1/readyz HTTP/1.1\r\n\r\n")
                       .starts_with("HTTP/1.1 200"));
  }

  void unknownConfigurationIsNotReportedAsAnUnknownDatabase() {
    unavailable(Store);
    runtime::error_code Error;
    tcp::socket Caller = connect(CallerPort, Error);
    runtime::asio::write(Caller, runtime::asio::buffer(Start));
    run(milliseconds(1700));
    CPPUNIT_ASSERT(received(Caller).starts_with("ERROR BUSY"));
  }

  // Load pattern: callers keep connecting while the load balancer has no other
  // daemon to offer.
  void connectionsAcceptedUntilTheEndOfAStopAreAnswered() {
    unavailable(Store);
    run(milliseconds(50));
    std::raise(SIGTERM);
    run(milliseconds(2250));
    std::vector<tcp::socket> Callers;
    bool Running = true;
    const Time Latest = runtime::bootTime() + settings().StopLimit;
    while (Running) {
      CPPUNIT_ASSERT(runtime::bootTime() < Latest);
      runtime::error_code Error;
      tcp::socket Caller = connect(CallerPort, Error);
      if (!Error) {
        runtime::asio::write(Caller, runtime::asio::buffer(Start));
        Callers.push_back(std::move(Caller));
      }
      Running = run(milliseconds(10));
    }
    CPPUNIT_ASSERT(!Callers.empty());
    for (tcp::socket &Caller : Callers)
      CPPUNIT_ASSERT(received(Caller).starts_with("ERROR BUSY"));
    CPPUNIT_ASSERT(hasLogged("stopped"));
  }

  /// A caller that sends the next statement as soon as it has the answer to the
  /// last one.
  struct BusyCaller {
    tcp::socket Socket;
    bool Waits = false;
    bool Closed = false;
    unsigned Answers = 0;
  };

  void advance(BusyCaller &Caller) {
    if (Caller.Closed)
      return;
    std::string Bytes(4096, 0);
    runtime::error_code Error;
    Bytes.resize(Caller.Socket.read_some(runtime::asio::buffer(Bytes), Error));
    if (!Bytes.empty()) {
      ++Caller.Answers;
      Caller.Waits = false;
      // The end of the connection may follow the answer.
      char Byte = 0;
      Caller.Socket.read_some(runtime::asio::buffer(&Byte, 1), Error);
    }
    if (Error && Error != runtime::asio::error::would_block) {
      Caller.Closed = true;
      return;
    }
    if (!Caller.Waits)
      runtime::asio::write(Caller.Socket, runtime::asio::buffer(std::string(
                                              "QUERY q1 WRITE 1 x\r\n")));
    Caller.Waits = true;
  }

  // Load pattern: long sessions that always have a statement in work. Without a
  // primary, each takes as long as its route allows.
  void sessionsThatAreNeverIdleAreNotCutAtAStop() {
    keyvalue::Transaction Change;
    Change.Puts.push_back({"op/config", std::string(Config), 0});
    Store.commit(Change);
    run(milliseconds(900));
    std::vector<BusyCaller> Callers;
    constexpr int Sessions = 20;
    for (int I = 0; I < Sessions; ++I) {
      runtime::error_code Error;
      Callers.push_back({connect(CallerPort, Error)});
      CPPUNIT_ASSERT(!Error);
      runtime::asio::write(Callers.back().Socket, runtime::asio::buffer(Start));
      Callers.back().Waits = true;
      run(milliseconds(40));
    }
    std::raise(SIGTERM);
    const Time Latest = runtime::bootTime() + settings().StopLimit;
    while (run(milliseconds(5))) {
      CPPUNIT_ASSERT(runtime::bootTime() < Latest);
      for (BusyCaller &Caller : Callers)
        advance(Caller);
    }
    for (BusyCaller &Caller : Callers) {
      advance(Caller);
      CPPUNIT_ASSERT(Caller.Answers > 1);
      CPPUNIT_ASSERT(Caller.Closed);
      CPPUNIT_ASSERT(!Caller.Waits);
    }
  }

  // Guards against review/7: statements on a route with a time-out that is
  // longer than a stop, which came before it and wait without a member.
  void statementsThatWaitWhenAStopBeginsAreAnswered() {
    keyvalue::Transaction Change;
    Change.Puts.push_back(
        {"op/config",
         R"({"version":3,"routes":[{"host":"jobs","backend":"db",)"
         R"("type":"primary","timeout_ms":10000,"target_latency_ms":9000}],)"
         R"("backends":[{"name":"db","max_conns":20}]})",
         0});
    Store.commit(Change);
    run(milliseconds(900));
    runtime::error_code Error;
    tcp::socket Caller = connect(CallerPort, Error);
    runtime::asio::write(
        Caller,
        runtime::asio::buffer(std::string(Start) + "QUERY q1 WRITE 1 x\r\n"));
    run(milliseconds(100));
    CPPUNIT_ASSERT(received(Caller).starts_with("READY"));
    std::raise(SIGTERM);
    const Time Latest = runtime::bootTime() + settings().StopLimit;
    while (run(milliseconds(20)))
      CPPUNIT_ASSERT(runtime::bootTime() < Latest);
    CPPUNIT_ASSERT(received(Caller).starts_with("ERROR BUSY"));
  }

  // Guards against a change that is cut when no session is left: the next
  // coordinator would wait for the lease to expire.
  void stopEndsTheRoleOfCoordinatorBeforeTheProcess() {
    keyvalue::Transaction Change;
    Change.Puts.push_back({"op/config", std::string(Config), 0});
    Change.Puts.push_back({"borageridge/groups/db",
                           cluster::encode({0, 1, "p", true, 0, ""}), 0});
    Store.commit(Change);
    run(milliseconds(900));
    CPPUNIT_ASSERT(hasLogged("change_started"));
    std::raise(SIGTERM);
    const Time Latest = runtime::bootTime() + settings().StopLimit;
    while (run(milliseconds(20)))
      CPPUNIT_ASSERT(runtime::bootTime() < Latest);
    CPPUNIT_ASSERT(hasLogged("duty_lost"));
    // The lease of the coordinator and the one that permits to use primaries.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store.count("kv-lease-end"));
  }

  runtime::error_code Ignored;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);

} // namespace
} // namespace borageridge::entry
