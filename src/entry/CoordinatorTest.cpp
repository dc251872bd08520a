#include "entry/Coordinator.h"

#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

const std::string PromoterKey = "borageridge/promoter";

// Tests how daemons acquire and give up the role of active coordinator.
class CoordinatorTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(takesTheVacantRole);
  CPPUNIT_TEST(knowsAtOnceThatItIsActive);
  CPPUNIT_TEST(doesNotTakeTheRoleOfAnotherDaemon);
  CPPUNIT_TEST(doesNotTakeTheRoleWithoutALease);
  CPPUNIT_TEST(doesNotTakeTheRoleIfFewPeersAreReachable);
  CPPUNIT_TEST(resignsWhenItsPeersBecomeUnreachable);
  CPPUNIT_TEST(countsPeersThatAreQueriedRarelyInALargeFleet);
  CPPUNIT_TEST(endsTheLeaseIfItStopsWhileTakingTheRole);
  CPPUNIT_TEST(ignoresRenewalAnsweredAfterResigning);
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

  /// Adds registered peers whose last report is this old.
  void addPeers(unsigned Count, Duration Age) {
    for (unsigned I = 0; I < Count; ++I) {
      const std::string Name = "peer-" + std::to_string(I);
      S.Daemons[Name].Name = Name;
      S.Peers[Name].LastReport.Received = runtime::bootTime() - Age;
    }
  }

  bool isCoordinatorRegistered() const { return Store.contains(PromoterKey); }

  void takesTheVacantRole() {
    start();
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(isCoordinatorRegistered());
    CPPUNIT_ASSERT(hasLogged("duty_taken"));
  }

  // The daemon's own watch may deliver the entry much later.
  void knowsAtOnceThatItIsActive() {
    start();
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), S.Promoter.Value);
  }

  void doesNotTakeTheRoleOfAnotherDaemon() {
    S.Promoter = {PromoterKey, "peer-0", 5, 5, 1};
    start();
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!isCoordinatorRegistered());
  }

  void doesNotTakeTheRoleWithoutALease() {
    S.Lease.drop();
    start();
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!isCoordinatorRegistered());
  }

  void doesNotTakeTheRoleIfFewPeersAreReachable() {
    addPeers(4, std::chrono::seconds(20));
    start();
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(!isCoordinatorRegistered());
  }

  void resignsWhenItsPeersBecomeUnreachable() {
    start();
    runLoopFor(milliseconds(200));
    addPeers(4, std::chrono::seconds(20));
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(hasLogged("duty_lost"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
  }

  // With 72 peers, each is queried every 1.5 s.
  void countsPeersThatAreQueriedRarelyInALargeFleet() {
    addPeers(72, milliseconds(1500));
    start();
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(!hasLogged("duty_lost"));
    runLoopFor(std::chrono::seconds(4));
    CPPUNIT_ASSERT(Store.count("kv-txn") > 0);
  }

  void endsTheLeaseIfItStopsWhileTakingTheRole() {
    Store.Intercept =
        [this](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-txn") != std::string::npos)
        S.Stopping = true;
      return std::nullopt;
    };
    start();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-txn"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
  }

  void ignoresRenewalAnsweredAfterResigning() {
    Store.Intercept =
        [this](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-keep") != std::string::npos)
        runtime::spawn(Io, Subject.resign("stopping"));
      return std::nullopt;
    };
    start();
    runLoopFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-keep"));
    S.Promoter = keyvalue::Item();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store.count("kv-txn"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

} // namespace
} // namespace borageridge::entry
