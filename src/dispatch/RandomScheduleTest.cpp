#include "dispatch/testing/RandomSchedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace borageridge::dispatch {
namespace {

using testing::FakeSessions;
using testing::GroupSimulation;
using testing::InjectedBugs;
using testing::ScheduleResult;
using testing::SessionReport;
using testing::SimulationSettings;

// tools/matrix.sh runs 10,000 schedules.
constexpr std::uint64_t Schedules = 150;
// Three proxies ping three members ten times a second for 16 s, and two
// replicas at most once per millisecond while a read waits for term
// confirmation.
constexpr std::uint64_t MaxPings = std::uint64_t{3} * 16 * (3 * 10 + 2 * 1000);
constexpr std::uint64_t SlowNetworkSchedules = 100;
constexpr std::uint64_t MaxSchedulesPerBug = 300;

std::string messageFor(std::uint64_t Seed, const ScheduleResult &Result) {
  return "seed " + std::to_string(Seed) + ": " + Result.Failure;
}

class RandomScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomScheduleTest);
  CPPUNIT_TEST(servesAllRequestsWithoutFaults);
  CPPUNIT_TEST(keepsGuaranteesInRandomSchedules);
  CPPUNIT_TEST(keepsGuaranteesOverASlowNetwork);
  CPPUNIT_TEST(keepsGuaranteesWhenOneProxyMissesAChangeOfPrimary);
  CPPUNIT_TEST(detectsMembersThatIgnoreASeal);
  CPPUNIT_TEST(detectsEndpointsThatIgnoreRequestKeys);
  CPPUNIT_TEST(detectsReplicasThatOverstateTheirAppliedPosition);
  CPPUNIT_TEST(detectsReplicasThatOverstateTheirReceivedPosition);
  CPPUNIT_TEST(detectsSettlesThatWriteNoRecord);
  CPPUNIT_TEST(detectsSwappedReplies);
  CPPUNIT_TEST_SUITE_END();

  void servesAllRequestsWithoutFaults() {
    SimulationSettings Settings;
    Settings.Table = testing::sessionTable();
    GroupSimulation Simulation(Settings);
    FakeSessions Sessions(Simulation, 6);
    Simulation.runUntil(std::chrono::seconds(5));
    Sessions.stop();
    Simulation.runUntil(std::chrono::seconds(8));
    const SessionReport Report = Sessions.report();
    CPPUNIT_ASSERT_EQUAL(std::string(), testing::describeFailure(Report));
    CPPUNIT_ASSERT(Report.Acknowledged > 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Report.NotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Report.Unknown);
    CPPUNIT_ASSERT(Report.ReplicaReads > 0);
  }

  void keepsGuaranteesOverASlowNetwork() {
    for (std::uint64_t Seed = 1; Seed <= SlowNetworkSchedules; ++Seed) {
      const ScheduleResult Result =
          testing::runSchedule(Seed, {}, std::chrono::milliseconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(messageFor(Seed, Result), std::string(),
                                   Result.Failure);
    }
  }

  void keepsGuaranteesInRandomSchedules() {
    std::size_t Changes = 0;
    for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
      const ScheduleResult Result = testing::runSchedule(Seed, {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(messageFor(Seed, Result), std::string(),
                                   Result.Failure);
      Changes += Result.Terms - 1;
      CPPUNIT_ASSERT_MESSAGE(messageFor(Seed, Result), Result.Pings < MaxPings);
    }
    // The schedules must cause enough changes of primary to be meaningful.
    CPPUNIT_ASSERT(Changes > Schedules / 2);
  }

  static void expectDetected(const InjectedBugs &Bugs) {
    for (std::uint64_t Seed = 1; Seed <= MaxSchedulesPerBug; ++Seed)
      if (!testing::runSchedule(Seed, Bugs).Report.Violations.empty())
        return;
    CPPUNIT_FAIL("no schedule detected the injected bug");
  }

  // Proxy 0 does not learn of a change of primary and is the only proxy that
  // reaches the replaced primary "a" and the replica "c", while the others
  // promote "b". Only the seal of "a" prevents "a" and "c" from confirming the
  // writes of proxy 0.
  static SessionReport runWithStaleProxy(const InjectedBugs &Bugs) {
    constexpr int StaleProxy = 0;
    SimulationSettings Settings;
    Settings.Bugs = Bugs;
    Settings.Table = testing::sessionTable();
    GroupSimulation Simulation(Settings);
    FakeSessions Sessions(Simulation, 6);
    const auto CutFromUpdatedProxies = [&Simulation](int Member) {
      for (int Proxy = 1; Proxy < GroupSimulation::ProxyCount; ++Proxy)
        Simulation.cut(Member, GroupSimulation::FirstProxy + Proxy);
    };
    Simulation.onStep([&](testing::ProtocolStep Step, int, int) {
      if (Step == testing::ProtocolStep::PromotingSwapped)
        CutFromUpdatedProxies(0);
    });
    Simulation.runUntil(std::chrono::seconds(1));
    Simulation.isolateFromControl(GroupSimulation::FirstProxy + StaleProxy);
    CutFromUpdatedProxies(2);
    Simulation.postToProxy(1, [&Simulation](GroupEngine &G, Actions &Out) {
      G.changePrimary("b", Simulation.now(), Out);
    });
    Simulation.runUntil(std::chrono::seconds(4));
    Simulation.healAll();
    Sessions.stop();
    Simulation.runUntil(std::chrono::seconds(12));
    CPPUNIT_ASSERT(Simulation.terms() >= 2);
    return Sessions.report();
  }

  void keepsGuaranteesWhenOneProxyMissesAChangeOfPrimary() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         testing::describeFailure(runWithStaleProxy({})));
  }

  void detectsMembersThatIgnoreASeal() {
    CPPUNIT_ASSERT(!runWithStaleProxy({.SkipSeal = true}).Violations.empty());
  }

  void detectsEndpointsThatIgnoreRequestKeys() {
    expectDetected({.IgnoreRequestKeys = true});
  }
  void detectsReplicasThatOverstateTheirAppliedPosition() {
    expectDetected({.OverstateApplied = true});
  }
  void detectsReplicasThatOverstateTheirReceivedPosition() {
    expectDetected({.OverstateReceived = true});
  }
  void detectsSettlesThatWriteNoRecord() {
    expectDetected({.SettleWithoutRecord = true});
  }
  void detectsSwappedReplies() { expectDetected({.SwapReplies = true}); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomScheduleTest);

} // namespace
} // namespace borageridge::dispatch
