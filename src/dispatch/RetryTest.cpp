#include "dispatch/testing/FakeSessions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace borageridge::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GroupSimulation;
using testing::SimulationSettings;

class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(runsAnIdempotentWriteWithoutARequestIdOnceWhenAReplyIsLost);
  CPPUNIT_TEST(answersUnknownWhenNoReplyComesBeforeTheDeadline);
  CPPUNIT_TEST(answersNotRunWhenTheWriteWasNeverSent);
  CPPUNIT_TEST_SUITE_END();

  static SimulationSettings settings() {
    SimulationSettings Settings;
    Settings.Table = testing::sessionTable();
    return Settings;
  }

  static void write(GroupSimulation &Simulation, Duration Deadline,
                    std::optional<caller::ExecuteReply> &Reply) {
    caller::ExecuteRequest Message;
    Message.set_database("ledger-1");
    Message.set_kind(caller::STATEMENT_KIND_WRITE);
    Message.set_idempotent(true);
    Message.add_statements()->set_text("add counter");
    Simulation.execute(
        0,
        {Simulation.nextRequestId(), "tester", {}, Simulation.now() + Deadline},
        Message, [&Reply](const SendAnswer *Answer) {
          Reply = std::get<caller::ExecuteReply>(Answer->Reply);
        });
  }

  // The first attempt takes effect, but its reply is lost. The retry must find
  // the record of the first attempt even though the caller sent no request id.
  void runsAnIdempotentWriteWithoutARequestIdOnceWhenAReplyIsLost() {
    GroupSimulation Simulation(settings());
    Simulation.runUntil(seconds(1));
    std::optional<caller::ExecuteReply> Reply;
    Simulation.cutOneWay(0, GroupSimulation::FirstProxy);
    write(Simulation, seconds(6), Reply);
    Simulation.runUntil(milliseconds(1200));
    Simulation.healAll();
    Simulation.runUntil(seconds(8));
    CPPUNIT_ASSERT(Reply && !Reply->has_refusal());
    CPPUNIT_ASSERT(Reply->replayed());
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t(1),
        Simulation.member(Simulation.currentPrimary()).value("counter"));
  }

  void answersUnknownWhenNoReplyComesBeforeTheDeadline() {
    GroupSimulation Simulation(settings());
    Simulation.runUntil(seconds(1));
    std::optional<caller::ExecuteReply> Reply;
    Simulation.cutOneWay(0, GroupSimulation::FirstProxy);
    write(Simulation, milliseconds(500), Reply);
    Simulation.runUntil(seconds(2));
    CPPUNIT_ASSERT(Reply && Reply->has_refusal());
    CPPUNIT_ASSERT_EQUAL(caller::EXECUTION_UNKNOWN,
                         Reply->refusal().execution());
    CPPUNIT_ASSERT(!Reply->refusal().request_id().empty());
  }

  void answersNotRunWhenTheWriteWasNeverSent() {
    GroupSimulation Simulation(settings());
    Simulation.runUntil(seconds(1));
    Simulation.isolate(0);
    Simulation.isolate(GroupSimulation::StoreNode);
    Simulation.runUntil(milliseconds(1800));
    std::optional<caller::ExecuteReply> Reply;
    write(Simulation, milliseconds(500), Reply);
    Simulation.runUntil(seconds(3));
    CPPUNIT_ASSERT(Reply && Reply->has_refusal());
    CPPUNIT_ASSERT_EQUAL(caller::EXECUTION_NOT_RUN,
                         Reply->refusal().execution());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                         Simulation.member(0).value("counter"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace
} // namespace borageridge::dispatch
