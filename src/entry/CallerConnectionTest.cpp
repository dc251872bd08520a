#include "entry/CallerConnection.h"

#include "entry/FakeMember.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace borageridge::entry {
namespace {

using runtime::error_code;
using runtime::tcp;
using std::chrono::milliseconds;

constexpr std::string_view Write = "QUERY q1 WRITE 1 x\r\n";

boot::DaemonSettings settings() {
  boot::DaemonSettings Result;
  Result.InstanceName = "entry-1";
  Result.AvailabilityZone = "z1";
  return Result;
}

// A caller whose daemon forwards its session to the daemon that holds the
// connections of the service.
class CallerConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerConnectionTest);
  CPPUNIT_TEST(aStatementIsForwardedToTheHolder);
  CPPUNIT_TEST(anIdleCallerIsClosedWhenTheHolderEndsItsSession);
  CPPUNIT_TEST(anIdleCallerIsClosedAfterForwardedStatementsToo);
  CPPUNIT_TEST(aTransactionWhoseHolderEndedIsAborted);
  CPPUNIT_TEST(aWriteLostWithTheHolderIsInDoubt);
  CPPUNIT_TEST_SUITE_END();

  runtime::asio::io_context Io;
  std::ostringstream Lines;
  telemetry::Log Log{"test", telemetry::LogLevel::Info, Lines};
  State S{Io, settings(), tcp::endpoint(), Log};
  Forwarding Sessions{S};
  FakeMember Holder{Io, "entry-2"};
  tcp::acceptor Acceptor{
      Io, tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0)};
  tcp::socket Caller{Io};

public:
  void setUp() override {
    S.Loaded = true;
    catalog::Catalog Config;
    Config.Version = 1;
    catalog::Route &Jobs = Config.RoutesByDatabase["jobs"];
    Jobs.Database = "jobs";
    Jobs.Service = "db";
    Jobs.Timeout = Jobs.TargetLatency = milliseconds(300);
    S.Runner.setCatalog(Config);
    cluster::DaemonRecord Other;
    Other.Name = "entry-2";
    Other.Ip = "127.0.0.1";
    Other.PeerPort = static_cast<std::uint16_t>(Holder.port() - 1);
    Other.AvailabilityZone = "z1";
    S.Daemons["entry-2"] = S.Peers["entry-2"].Record = Other;
    S.DaemonsVersion = 1;
    S.Holders["db"] = {"entry-2"};
    runtime::spawn(Io, accept());
    Caller.connect(Acceptor.local_endpoint());
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -\r\n"),
                         ask("START jobs caller\r\n"));
  }

private:
  runtime::Task<void> accept() {
    tcp::socket Accepted =
        co_await Acceptor.async_accept(runtime::asio::use_awaitable);
    co_await std::make_shared<CallerConnection>(S, std::move(Accepted),
                                                &Sessions)
        ->run();
  }

  void work() {
    Io.restart();
    Io.run_for(milliseconds(50));
  }

  /// What the caller has received; "closed" if the connection has ended.
  std::string received() {
    work();
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

  void aStatementIsForwardedToTheHolder() {
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE 7.1\r\nREADY I 1.5\r\n"),
                         ask(Write));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Holder.count("QUERY q1 WRITE 1 x"));
  }

  void anIdleCallerIsClosedWhenTheHolderEndsItsSession() {
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void anIdleCallerIsClosedAfterForwardedStatementsToo() {
    ask(Write);
    ask(Write);
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), received());
  }

  void aTransactionWhoseHolderEndedIsAborted() {
    ask("QUERY q1 BEGIN\r\n");
    Holder.closeConnections();
    CPPUNIT_ASSERT_EQUAL(std::string(), received());
    const std::string Answer = ask("QUERY q2 WRITE 1 x\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("ERROR ABORTED"));
  }

  void aWriteLostWithTheHolderIsInDoubt() {
    Holder.Answer = [](const std::string &) { return CloseConnection; };
    CPPUNIT_ASSERT(ask(Write).starts_with("ERROR INDOUBT"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTest);

} // namespace
} // namespace borageridge::entry
