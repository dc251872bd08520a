#include "runtime/Listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace borageridge::runtime {
namespace {

class ListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListenerTest);
  CPPUNIT_TEST(closingPassesOnTheConnectionsThatWaitToBeAccepted);
  CPPUNIT_TEST(refusesConnectionsOnceClosed);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;
  std::vector<tcp::socket> Accepted;

  std::shared_ptr<Listener> open() {
    return Listener::open(Io, {asio::ip::address_v4::loopback(), 0},
                          [this](tcp::socket Socket) {
                            Accepted.push_back(std::move(Socket));
                          })
        .value();
  }

  error_code connect(tcp::endpoint Address) {
    tcp::socket Caller(Io);
    error_code Error;
    Caller.connect(Address, Error);
    Callers.push_back(std::move(Caller));
    return Error;
  }

  void closingPassesOnTheConnectionsThatWaitToBeAccepted() {
    const auto Subject = open();
    CPPUNIT_ASSERT(!connect(Subject->address()));
    CPPUNIT_ASSERT(!connect(Subject->address()));
    Subject->close();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Accepted.size());
  }

  void refusesConnectionsOnceClosed() {
    const auto Subject = open();
    const tcp::endpoint Address = Subject->address();
    Io.run_for(std::chrono::milliseconds(10));
    Subject->close();
    Io.restart();
    Io.run_for(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(connect(Address) == asio::error::connection_refused);
    CPPUNIT_ASSERT(Accepted.empty());
  }

  std::vector<tcp::socket> Callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerTest);

} // namespace
} // namespace borageridge::runtime
