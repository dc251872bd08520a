#include "rpc/ConnectionLimits.h"
#include "rpc/TestServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace borageridge::rpc {
namespace {

using std::chrono::milliseconds;

settings::LimitSettings smallLimits() {
  settings::LimitSettings Limits;
  Limits.MaxMessageBytes = 4096;
  Limits.MaxMetadataBytes = 1024;
  Limits.MaxStreamsPerConnection = 2;
  return Limits;
}

class ConnectionLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionLimitsTest);
  CPPUNIT_TEST(refusesOversizedMessages);
  CPPUNIT_TEST(refusesOversizedMetadata);
  CPPUNIT_TEST(limitsConcurrentStreamsOfAConnection);
  CPPUNIT_TEST(addressInUseIsAnError);
  CPPUNIT_TEST_SUITE_END();

  std::atomic<int> Running = 0;
  std::atomic<int> MostRunning = 0;
  TestServer Server{grpc::InsecureServerCredentials(), smallLimits(),
                    [this](const auto &) { return answer(); }};

  // Takes long enough for other calls to overlap.
  Expected<std::string> answer() {
    const int Now = ++Running;
    int Most = MostRunning;
    while (Now > Most && !MostRunning.compare_exchange_weak(Most, Now)) {
    }
    std::this_thread::sleep_for(milliseconds(20));
    --Running;
    return std::string("done");
  }

  // The client's own limits would hide those of the server.
  std::shared_ptr<grpc::Channel> unlimitedChannel() const {
    settings::LimitSettings Limits;
    Limits.MaxMetadataBytes = 65536;
    return grpc::CreateCustomChannel(Server.address(),
                                     grpc::InsecureChannelCredentials(),
                                     channelArguments(Limits));
  }

  void refusesOversizedMessages() {
    const auto Channel = unlimitedChannel();
    assertCode(grpc::StatusCode::OK, TestCall(Channel, "", "", 4000));
    assertCode(grpc::StatusCode::RESOURCE_EXHAUSTED,
               TestCall(Channel, "", "", 5000));
    assertCode(grpc::StatusCode::OK, TestCall(Channel, "", "", 4000));
  }

  void refusesOversizedMetadata() {
    const auto Other = unlimitedChannel();
    assertCode(grpc::StatusCode::OK, TestCall(Other, "counter", ""));
    const TestCall Large(unlimitedChannel(), std::string(3000, 'c'), "");
    assertCode(grpc::StatusCode::RESOURCE_EXHAUSTED, Large);
    // gRPC may close the connection of the refused call, but no other one.
    assertCode(grpc::StatusCode::OK, TestCall(Other, "counter", ""));
    assertCode(grpc::StatusCode::OK,
               TestCall(unlimitedChannel(), "counter", ""));
  }

  void limitsConcurrentStreamsOfAConnection() {
    const auto Channel = unlimitedChannel();
    // The first call opens the connection and learns its limit.
    assertCode(grpc::StatusCode::OK, TestCall(Channel, "", ""));
    std::vector<std::jthread> Callers;
    Callers.reserve(8);
    std::atomic<int> Served = 0;
    for (int I = 0; I < 8; ++I)
      Callers.emplace_back([&Channel, &Served] {
        if (TestCall(Channel, "", "").Status.ok())
          ++Served;
      });
    Callers.clear();
    CPPUNIT_ASSERT_EQUAL(8, Served.load());
    CPPUNIT_ASSERT_EQUAL(2, MostRunning.load());
  }

  // Guards against two processes that share the requests of one address.
  void addressInUseIsAnError() {
    caller::CallerService::Service Service;
    grpc::ServerBuilder Builder;
    applyLimits(Builder, smallLimits());
    Builder.RegisterService(&Service);
    int Port = 0;
    Builder.AddListeningPort(Server.address(),
                             grpc::InsecureServerCredentials(), &Port);
    const auto Second = Builder.BuildAndStart();
    CPPUNIT_ASSERT(Second == nullptr);
    CPPUNIT_ASSERT_EQUAL(0, Port);
  }

  static void assertCode(grpc::StatusCode Wanted, const TestCall &Call) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Call.Status.error_message(), int(Wanted),
                                 int(Call.Status.error_code()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLimitsTest);

} // namespace
} // namespace borageridge::rpc
