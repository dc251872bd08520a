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
  CPPUNIT_TEST(losesTheRoleWhenTheStoreIsRestored);
  CPPUNIT_TEST(losesTheRoleWhenItsEntryIsGone);
  CPPUNIT_TEST(doesNotTakeTheRoleWhileLeasesOfBeforeARestoreMayBeValid);
  CPPUNIT_TEST(fencingTokenIncreasesThoughARestoredStoreAssignsLowerRevisions);
  CPPUNIT_TEST(writesARecordAgainThatARestoredStoreHasLost);
  CPPUNIT_TEST(changesAPrimaryOfWhichARestoredStoreMayHaveLostTheSuccessor);
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

  /// Restores the store; the daemon notices it and registers again.
  void restoreStore() {
    Store.restore();
    const auto Notice = [this]() -> runtime::Task<void> {
      const auto Read = co_await S.Store.range("unused");
      CPPUNIT_ASSERT(Read.has_value());
      S.Promoter = keyvalue::Item();
      S.Lease.confirm(8, runtime::bootTime(), std::chrono::seconds(60), 2);
    };
    runtime::spawn(Io, Notice());
    runLoopFor(milliseconds(200));
  }

  /// Shows that no lease of before the restore is valid any more.
  void addRecordOfTheSecondEra() {
    S.Records["other"].Epoch = cluster::makeEpoch(2, 1);
  }

  void writeRecord(const cluster::GroupRecord &Record) {
    keyvalue::Transaction Change;
    Change.Puts.push_back({"borageridge/groups/db", encode(Record), 0});
    Store.commit(Change);
  }

  cluster::GroupRecord storedRecord() const {
    return cluster::decodeGroup(Store.value("borageridge/groups/db"), 0)
        .value();
  }

  void addPool(const cluster::GroupRecord &Record) {
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    Pool->setRecord(Record, runtime::bootTime());
    S.Records["db"] = Record;
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

  void losesTheRoleWhenTheStoreIsRestored() {
    start();
    runLoopFor(milliseconds(200));
    restoreStore();
    CPPUNIT_ASSERT(hasLogged("duty_lost"));
    CPPUNIT_ASSERT(!isCoordinatorRegistered());
  }

  // Guards against a daemon that takes itself for the coordinator although
  // another one may take the role.
  void losesTheRoleWhenItsEntryIsGone() {
    start();
    runLoopFor(milliseconds(200));
    Store.expireLeases();
    S.Promoter = keyvalue::Item();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(hasLogged("duty_lost"));
    CPPUNIT_ASSERT(isCoordinatorRegistered());
  }

  // The restored store does not show who holds them.
  void doesNotTakeTheRoleWhileLeasesOfBeforeARestoreMayBeValid() {
    restoreStore();
    start();
    runLoopFor(milliseconds(1000));
    CPPUNIT_ASSERT(!isCoordinatorRegistered());
    addRecordOfTheSecondEra();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(isCoordinatorRegistered());
  }

  // Guards against a lower token than the platform has seen.
  void fencingTokenIncreasesThoughARestoredStoreAssignsLowerRevisions() {
    Store.takeCopy();
    for (int I = 0; I < 10; ++I)
      writeRecord({1, 1, "p", false, 0});
    start();
    runLoopFor(milliseconds(200));
    const keyvalue::Revision Former = S.Promoter.ModRevision;
    addRecordOfTheSecondEra();
    restoreStore();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT(S.Promoter.ModRevision != 0);
    CPPUNIT_ASSERT(S.Promoter.ModRevision < Former);
    Log.flush();
    CPPUNIT_ASSERT(Lines.str().find("\"fencing_token\":" +
                                    std::to_string(cluster::makeEpoch(
                                        2, S.Promoter.ModRevision))) !=
                   std::string::npos);
  }

  // Guards against a primary that was replaced and is used again.
  void writesARecordAgainThatARestoredStoreHasLost() {
    writeRecord({1, 1, "p", false, 0});
    Store.takeCopy();
    const cluster::GroupRecord Newer{Store.revision() + 5, 2, "q", false, 0};
    addPool(Newer);
    addRecordOfTheSecondEra();
    restoreStore();
    start();
    runLoopFor(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), storedRecord().Primary);
    CPPUNIT_ASSERT_EQUAL(Term(2), storedRecord().PrimaryTerm);
    CPPUNIT_ASSERT(!storedRecord().Changing);
    CPPUNIT_ASSERT(cluster::isOfEra(S.Records["db"].Epoch, 2));
  }

  void changesAPrimaryOfWhichARestoredStoreMayHaveLostTheSuccessor() {
    writeRecord({1, 1, "p", false, 0});
    Store.takeCopy();
    addPool({Store.revision(), 1, "p", false, 0});
    S.Shared.TrustedFrom = cluster::makeEpoch(2, 0);
    addRecordOfTheSecondEra();
    restoreStore();
    start();
    runLoopFor(milliseconds(400));
    CPPUNIT_ASSERT(storedRecord().Changing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

} // namespace
} // namespace borageridge::entry
