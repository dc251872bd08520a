#include "membership/GrpcInstanceList.h"

#include "runtime/Clock.h"
#include "standins/instances/InstanceServer.h"
#include "standins/support/ServerOptions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace borageridge::membership {
namespace {

using std::chrono::milliseconds;

control::InstanceSet setOf(const std::string &Name) {
  control::InstanceSet Set;
  Set.add_instances()->set_name(Name);
  return Set;
}

class GrpcInstanceListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrpcInstanceListTest);
  CPPUNIT_TEST(returnsTheVisibleListAndItsVersion);
  CPPUNIT_TEST(timedOutCallIsUnknownAndTheNextUsesANewConnection);
  CPPUNIT_TEST(callIsUnavailableWhenTheServiceIsDown);
  CPPUNIT_TEST(destructorCancelsAPendingCall);
  CPPUNIT_TEST_SUITE_END();

  standins::InstanceServer Platform{setOf("a")};
  standins::RunningServer Running;
  std::unique_ptr<GrpcInstanceList> List;

public:
  void setUp() override {
    auto Started = standins::startServer(
        "127.0.0.1:0", grpc::InsecureServerCredentials(), {&Platform.list()});
    CPPUNIT_ASSERT(Started.has_value());
    Running = std::move(Started).value();
    List = std::make_unique<GrpcInstanceList>(
        "127.0.0.1:" + std::to_string(Running.Port),
        grpc::InsecureChannelCredentials());
  }

  void tearDown() override {
    List.reset();
    Running.Server->Shutdown(runtime::wallTime());
  }

private:
  Expected<instances::ListReply> listBlocking(Duration Timeout) {
    std::promise<Expected<instances::ListReply>> Result;
    List->list(Timeout, [&](Expected<instances::ListReply> Reply) {
      Result.set_value(std::move(Reply));
    });
    return Result.get_future().get();
  }

  std::string resultKind() {
    const auto Reply = listBlocking(milliseconds(200));
    return Reply.has_value() ? "value" : std::string(name(Reply.error().Kind));
  }

  void returnsTheVisibleListAndItsVersion() {
    CPPUNIT_ASSERT_EQUAL(std::string("value"), resultKind());
    Platform.setInstances(setOf("b"));
    const auto Reply = listBlocking(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Reply.value().instances(0).name());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         std::uint64_t(Reply.value().version()));
  }

  void timedOutCallIsUnknownAndTheNextUsesANewConnection() {
    CPPUNIT_ASSERT_EQUAL(std::string("value"), resultKind());
    control::Faults Silence;
    Silence.set_silence_open_connections(true);
    Platform.setFaults(Silence);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), resultKind());
    CPPUNIT_ASSERT_EQUAL(std::string("value"), resultKind());
  }

  void callIsUnavailableWhenTheServiceIsDown() {
    control::Faults Down;
    Down.set_down(true);
    Platform.setFaults(Down);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), resultKind());
  }

  void destructorCancelsAPendingCall() {
    control::Faults Cut;
    Cut.set_cut_off(true);
    Platform.setFaults(Cut);
    std::promise<bool> Ended;
    List->list(std::chrono::seconds(30),
               [&](Expected<instances::ListReply> Reply) {
                 Ended.set_value(Reply.has_value());
               });
    List.reset();
    auto Future = Ended.get_future();
    CPPUNIT_ASSERT(Future.wait_for(milliseconds(0)) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT(!Future.get());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrpcInstanceListTest);

} // namespace
} // namespace borageridge::membership
