#include "entry/Quotas.h"

#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

const std::string FirstKey = "borageridge/counters/0";

class QuotasTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(QuotasTest);
  CPPUNIT_TEST(storeIsNotAskedWithoutLimits);
  CPPUNIT_TEST(organisationWithoutALimitNeedsNoCounter);
  CPPUNIT_TEST(vacantCountersAreTakenAndGrantUpToTheLimit);
  CPPUNIT_TEST(operationsThatArriveTogetherShareOneRequest);
  CPPUNIT_TEST(counterOfAnotherDaemonIsNotTaken);
  CPPUNIT_TEST(counterThatAnotherDaemonTakesMeanwhileIsLeftToIt);
  CPPUNIT_TEST(counterOfTheFormerProcessIsTakenBackAtOnce);
  CPPUNIT_TEST(counterWhoseLeaseEndedAtTheStoreGrantsNothing);
  CPPUNIT_TEST(counterWhoseEntryIsGoneGrantsNothing);
  CPPUNIT_TEST(operationIsRefusedAtOnceIfNoCounterAnswers);
  CPPUNIT_TEST(stoppingDaemonLeavesItsCountersToOthers);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  State S{Io, settings(), Store.address(), Log};
  Quotas Subject{S};

public:
  void setUp() override {
    S.Loaded = true;
    S.Daemons["entry-1"].Name = "entry-1";
    configure(300);
  }

private:
  void configure(std::optional<double> Rate) {
    catalog::Catalog Config;
    Config.Version = 1;
    Config.HasOrganisations = true;
    Config.Organisations["mill"] = {"mill", Rate, 30};
    S.StatementExecutor.setCatalog(Config);
  }

  void start(Duration Limit = milliseconds(300)) {
    runtime::spawn(Io, Subject.run());
    runLoopFor(Limit);
  }

  /// Number of operations, of those that arrive at once, which may run.
  int admitted(int Operations) {
    int Result = 0;
    for (int I = 0; I < Operations; ++I)
      runtime::spawn(Io, admitOne(Result));
    runLoopFor(milliseconds(60));
    return Result;
  }

  runtime::Task<void> admitOne(int &Result) {
    const std::string Organisation = "mill";
    const Time Deadline = runtime::bootTime() + milliseconds(50);
    const bool Allowed = co_await Subject.admit(Organisation, Deadline);
    if (Allowed)
      ++Result;
  }

  void storeIsNotAskedWithoutLimits() {
    configure(std::nullopt);
    start();
    CPPUNIT_ASSERT(Store.Requests.empty());
  }

  void organisationWithoutALimitNeedsNoCounter() {
    configure(std::nullopt);
    CPPUNIT_ASSERT_EQUAL(5, admitted(5));
  }

  void vacantCountersAreTakenAndGrantUpToTheLimit() {
    start();
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), Store.value(FirstKey));
    CPPUNIT_ASSERT(hasLogged("counter_taken"));
    const int Ran = admitted(500);
    // Three buckets of 14 at most, filled since they were taken, and what they
    // gain during the test.
    CPPUNIT_ASSERT(Ran >= 6);
    CPPUNIT_ASSERT(Ran <= 80);
  }

  void operationsThatArriveTogetherShareOneRequest() {
    start(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(10, admitted(10));
  }

  // Guards against two daemons that grant the same part of a limit.
  void counterOfAnotherDaemonIsNotTaken() {
    keyvalue::Change Other;
    Other.Written = {FirstKey, "entry-2", 1, 1, 1};
    S.Counters.apply(Other);
    start();
    CPPUNIT_ASSERT(!Store.contains(FirstKey));
    CPPUNIT_ASSERT(!Subject.answer({0, "mill", 1}).IsHolder);
    CPPUNIT_ASSERT(Subject.answer({1, "mill", 1}).IsHolder);
  }

  // Guards against replacing the entry of a daemon that has become the holder
  // since the counter was found vacant.
  void counterThatAnotherDaemonTakesMeanwhileIsLeftToIt() {
    bool IsTaken = false;
    Store.Intercept =
        [&](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-lease") == std::string::npos ||
          std::exchange(IsTaken, true))
        return std::nullopt;
      keyvalue::Transaction Claim;
      for (const char *Key : {"0", "1", "2"})
        Claim.Puts.push_back(
            {"borageridge/counters/" + std::string(Key), "entry-2", 0});
      const keyvalue::Revision Revision = Store.commit(Claim);
      for (const keyvalue::Put &Put : Claim.Puts) {
        keyvalue::Change Other;
        Other.Written = {Put.Key, "entry-2", Revision, Revision, 0};
        S.Counters.apply(Other);
      }
      return std::nullopt;
    };
    start();
    CPPUNIT_ASSERT(IsTaken);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), Store.value(FirstKey));
  }

  void counterOfTheFormerProcessIsTakenBackAtOnce() {
    keyvalue::Transaction Former;
    Former.Puts.push_back({FirstKey, "entry-1", Store.grantToAnother()});
    keyvalue::Change Entry;
    Entry.Written = {FirstKey, "entry-1", Store.commit(Former), 1, 1};
    S.Counters.apply(Entry);
    start();
    CPPUNIT_ASSERT(Subject.answer({0, "mill", 1}).IsHolder);
  }

  void counterWhoseLeaseEndedAtTheStoreGrantsNothing() {
    start();
    Store.expireLeases();
    runLoopFor(milliseconds(1300));
    CPPUNIT_ASSERT(hasLogged("counter_lost"));
  }

  void counterWhoseEntryIsGoneGrantsNothing() {
    start();
    keyvalue::Change Removal;
    Removal.Removed = true;
    Removal.Written.Key = FirstKey;
    Removal.Written.ModRevision = 1000;
    S.Counters.apply(Removal);
    S.Daemons.clear();
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!Subject.answer({0, "mill", 1}).IsHolder);
    CPPUNIT_ASSERT(Subject.answer({1, "mill", 1}).IsHolder);
  }

  void operationIsRefusedAtOnceIfNoCounterAnswers() {
    const Time Began = runtime::bootTime();
    CPPUNIT_ASSERT_EQUAL(0, admitted(3));
    CPPUNIT_ASSERT(runtime::bootTime() - Began < milliseconds(500));
  }

  void stoppingDaemonLeavesItsCountersToOthers() {
    start();
    runtime::spawn(Io, Subject.release());
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!Store.contains(FirstKey));
    CPPUNIT_ASSERT(!Subject.answer({0, "mill", 1}).IsHolder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotasTest);

} // namespace
} // namespace borageridge::entry
