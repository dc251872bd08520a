#include "entry/Coordinator.h"

#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

const std::string DutyKey = "borageridge/promoter";

// Who has the duty to replace primaries.
class CoordinatorTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(aVacantDutyIsTaken);
  CPPUNIT_TEST(theDaemonKnowsAtOnceThatItHasTheDuty);
  CPPUNIT_TEST(aDutyThatAnotherDaemonHasIsNotTaken);
  CPPUNIT_TEST(aDaemonWithoutALeaseDoesNotTakeTheDuty);
  CPPUNIT_TEST(aDaemonThatSeesFewPeersDoesNotTakeTheDuty);
  CPPUNIT_TEST(aDaemonThatLosesItsPeersGivesTheDutyUp);
  CPPUNIT_TEST(peersThatAreAskedRarelyInALargeFleetCountAsSeen);
  CPPUNIT_TEST(aDaemonThatStopsMeanwhileGivesTheDutyBack);
  CPPUNIT_TEST(aRenewalAnsweredAfterTheDutyWasGivenUpChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  State S{Io, settings(), Store.address(), Log};
  Exchange Others{S};
  Coordinator Subject{S, Others, runtime::tcp::endpoint()};

public:
  void setUp() override {
    S.Loaded = true;
    S.Lease.confirm(7, runtime::bootTime(), std::chrono::seconds(60));
    S.Daemons["entry-1"].Name = "entry-1";
  }

private:
  void start() { runtime::spawn(Io, Subject.run()); }

  /// Peers that answered this long ago.
  void addPeers(unsigned Count, Duration Age) {
    for (unsigned I = 0; I < Count; ++I) {
      const std::string Name = "peer-" + std::to_string(I);
      S.Daemons[Name].Name = Name;
      S.Peers[Name].Last.Received = runtime::bootTime() - Age;
    }
  }

  bool hasDuty() const { return Store.contains(DutyKey); }

  void aVacantDutyIsTaken() {
    start();
    workFor(milliseconds(200));
    CPPUNIT_ASSERT(hasDuty());
    CPPUNIT_ASSERT(hasLogged("duty_taken"));
  }

  // Others learn it from the store; its own watch may tell it much later.
  void theDaemonKnowsAtOnceThatItHasTheDuty() {
    start();
    workFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), S.Promoter.Value);
  }

  void aDutyThatAnotherDaemonHasIsNotTaken() {
    S.Promoter = {DutyKey, "peer-0", 5, 5, 1};
    start();
    workFor(milliseconds(200));
    CPPUNIT_ASSERT(!hasDuty());
  }

  void aDaemonWithoutALeaseDoesNotTakeTheDuty() {
    S.Lease.drop();
    start();
    workFor(milliseconds(200));
    CPPUNIT_ASSERT(!hasDuty());
  }

  void aDaemonThatSeesFewPeersDoesNotTakeTheDuty() {
    addPeers(4, std::chrono::seconds(20));
    start();
    workFor(milliseconds(600));
    CPPUNIT_ASSERT(!hasDuty());
  }

  void aDaemonThatLosesItsPeersGivesTheDutyUp() {
    start();
    workFor(milliseconds(200));
    addPeers(4, std::chrono::seconds(20));
    workFor(milliseconds(300));
    CPPUNIT_ASSERT(hasLogged("duty_lost"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
  }

  // With 72 peers, each is asked every 1.5 s.
  void peersThatAreAskedRarelyInALargeFleetCountAsSeen() {
    addPeers(72, milliseconds(1500));
    start();
    workFor(milliseconds(600));
    CPPUNIT_ASSERT(!hasLogged("duty_lost"));
    workFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT(Store.count("kv-txn") > 0);
  }

  void aDaemonThatStopsMeanwhileGivesTheDutyBack() {
    Store.Intercept =
        [this](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-txn") != std::string::npos)
        S.Stopping = true;
      return std::nullopt;
    };
    start();
    workFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-txn"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
  }

  void aRenewalAnsweredAfterTheDutyWasGivenUpChangesNothing() {
    Store.Intercept =
        [this](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-keep") != std::string::npos)
        runtime::spawn(Io, Subject.resign("stopping"));
      return std::nullopt;
    };
    start();
    workFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-keep"));
    S.Promoter = keyvalue::Item();
    workFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store.count("kv-txn"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

} // namespace
} // namespace borageridge::entry
