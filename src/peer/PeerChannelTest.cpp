#include "peer/PeerChannel.h"

#include "runtime/Listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace borageridge::peer {
namespace {

using runtime::tcp;
using std::chrono::milliseconds;

class PeerChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerChannelTest);
  CPPUNIT_TEST(deliversTheReply);
  CPPUNIT_TEST(invalidFrameClosesOnlyItsConnection);
  CPPUNIT_TEST(frameThatIsNotCompleteYetIsAwaited);
  CPPUNIT_TEST(failureOfTheHandlerClosesTheConnection);
  CPPUNIT_TEST_SUITE_END();

  runtime::asio::io_context Io;
  tcp::endpoint Address;
  std::vector<std::string> Rejected;

public:
  void setUp() override {
    Address =
        runtime::listen(Io, {runtime::asio::ip::address_v4::loopback(), 0})
            .value()
            .local_endpoint();
    const auto Bound = serve(
        Io, Address,
        [](Message Request) -> runtime::Task<Expected<Message>> {
          if (Request.contains("fail"))
            co_return Failure{FailureKind::Corrupt, "failed"};
          co_return Request;
        },
        [this](const std::string &, const Failure &Reason) {
          Rejected.push_back(Reason.Detail);
        });
    CPPUNIT_ASSERT(Bound.has_value());
  }

private:
  std::optional<Message> ask(Message Request) {
    std::optional<Message> Result;
    const auto Channel = std::make_shared<PeerChannel>(Io, Address);
    const auto Ask = [&]() -> runtime::Task<void> {
      Expected<Message> Reply =
          co_await Channel->request(Request, milliseconds(500));
      if (Reply)
        Result = std::move(Reply).value();
      Io.stop();
    };
    runtime::spawn(Io, Ask());
    Io.restart();
    Io.run_for(std::chrono::seconds(2));
    return Result;
  }

  /// Sends bytes and returns whether the server then closes the connection.
  bool closesAfter(std::string_view Bytes) {
    tcp::socket Socket(Io);
    Socket.connect(Address);
    runtime::asio::write(Socket, runtime::asio::buffer(Bytes));
    Io.restart();
    Io.run_for(milliseconds(50));
    Socket.non_blocking(true);
    char Byte = 0;
    runtime::error_code Error;
    Socket.read_some(runtime::asio::buffer(&Byte, 1), Error);
    return Error && Error != runtime::asio::error::would_block;
  }

  void deliversTheReply() {
    const auto Reply = ask({{"type", "echo"}});
    CPPUNIT_ASSERT(Reply.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("echo"),
                         (*Reply)["type"].get<std::string>());
  }

  void invalidFrameClosesOnlyItsConnection() {
    using namespace std::string_view_literals;
    for (const std::string_view Bytes :
         {"\xff\xff\xff\xff"sv, "\0\0\0\0"sv, "\0\0\0\1\xc1"sv,
          "\0\0\0\2\x91\1"sv, "\0\0\0\6\x81\xa2id\xa1x"sv})
      CPPUNIT_ASSERT(closesAfter(Bytes));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Rejected.size());
    CPPUNIT_ASSERT(ask({{"type", "echo"}}).has_value());
  }

  void frameThatIsNotCompleteYetIsAwaited() {
    const std::string Header =
        encodeFrame({{"data", std::string(4 << 20, 'x')}})
            .substr(0, FrameHeaderBytes);
    CPPUNIT_ASSERT(!closesAfter(Header));
    CPPUNIT_ASSERT(Rejected.empty());
  }

  void failureOfTheHandlerClosesTheConnection() {
    CPPUNIT_ASSERT(!ask({{"fail", true}}).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Rejected.size());
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), Rejected.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerChannelTest);

} // namespace
} // namespace borageridge::peer
