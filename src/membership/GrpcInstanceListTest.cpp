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
  CPPUNIT_TEST(unansweredCallIsUnknownAndTheNextOneUsesANewConnection);
  CPPUNIT_TEST(downListIsUnavailable);
  CPPUNIT_TEST(destructorEndsARunningCall);
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
  Expected<instances::ListReply> listNow(Duration Timeout) {
    std::promise<Expected<instances::ListReply>> Result;
    List->list(Timeout, [&](Expected<instances::ListReply> Reply) {
      Result.set_value(std::move(Reply));
    });
    return Result.get_future().get();
  }

  std::string kindNow() {
    const auto Reply = listNow(milliseconds(200));
    return Reply.has_value() ? "value" : std::string(name(Reply.error().Kind));
  }

  void returnsTheVisibleListAndItsVersion() {
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kindNow());
    Platform.setInstances(setOf("b"));
    const auto Reply = listNow(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Reply.value().instances(0).name());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         std::uint64_t(Reply.value().version()));
  }

  void unansweredCallIsUnknownAndTheNextOneUsesANewConnection() {
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kindNow());
    control::Faults Silence;
    Silence.set_silence_open_connections(true);
    Platform.setFaults(Silence);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), kindNow());
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kindNow());
  }

  void downListIsUnavailable() {
    control::Faults Down;
    Down.set_down(true);
    Platform.setFaults(Down);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), kindNow());
  }

  void destructorEndsARunningCall() {
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
