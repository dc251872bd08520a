#include "entry/Registration.h"

#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

const std::string OwnKey = "borageridge/daemons/entry-1";

class RegistrationTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(RegistrationTest);
  CPPUNIT_TEST(registersAndThenReadsTheRecords);
  CPPUNIT_TEST(doesNotUseTheLeaseWithoutTheRecords);
  CPPUNIT_TEST(appliesAChangeInProgressBeforeUsingTheLease);
  CPPUNIT_TEST(renewalLastsNoLongerThanTheGrantedLease);
  CPPUNIT_TEST(logsAnExpiredLeaseOnce);
  CPPUNIT_TEST(replacesAnEndedLeaseAtOnce);
  CPPUNIT_TEST(doesNotUseAReleasedLease);
  CPPUNIT_TEST(ignoresRenewalAnsweredAfterTheRelease);
  CPPUNIT_TEST(registersAgainAfterARestoreWithoutInterruptingTheUse);
  CPPUNIT_TEST(doesNotKeepALeaseIdThatARestoredStoreGaveToAnotherDaemon);
  CPPUNIT_TEST(doesNotTrustAnOldRecordAfterARestoreThatOutlastedTheLease);
  CPPUNIT_TEST(aRegistrationThatIsExecutedLateDoesNotReplaceTheEntry);
  CPPUNIT_TEST(keepsTheLeaseOfARegistrationWhoseAnswerWasLost);
  CPPUNIT_TEST(replacesTheEntryOfItsFormerProcess);
  CPPUNIT_TEST(takesANewLeaseIfTheLeaseEndsBeforeTheRegistration);
  CPPUNIT_TEST(endsTheLeaseOfARegistrationThatAStopInterrupts);
  CPPUNIT_TEST(registersAgainAtOnceWhenItsEntryIsGone);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  State S{Io, settings(), Store.address(), Log};
  StoreView View{S};
  Registration Subject{S, View};

  pool::ServicePool &addPool(const cluster::GroupRecord &Record) {
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    Pool->setRecord(Record, runtime::bootTime());
    return *Pool;
  }

  bool hasLease() const { return S.Lease.isValid(runtime::bootTime()); }

  void registersAndThenReadsTheRecords() {
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT(Store.contains(OwnKey));
    CPPUNIT_ASSERT(Store.Requests.back().find("kv-range") != std::string::npos);
  }

  void doesNotUseTheLeaseWithoutTheRecords() {
    Store.Intercept =
        [](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-range") == std::string::npos)
        return std::nullopt;
      return http::Response{503, "{}"};
    };
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!hasLease());
  }

  void renewalLastsNoLongerThanTheGrantedLease() {
    Store.MaxTtlMs = 3000;
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(1400));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-keep"));
    CPPUNIT_ASSERT(S.Lease.validUntil() <
                   runtime::bootTime() + milliseconds(3000));
  }

  void logsAnExpiredLeaseOnce() {
    const Time Now = runtime::bootTime();
    Subject.tick(Now);
    CPPUNIT_ASSERT(!hasLogged("lease_lost"));
    S.Lease.confirm(7, Now, milliseconds(1000));
    Subject.tick(Now);
    CPPUNIT_ASSERT(!hasLogged("lease_lost"));
    Subject.tick(Now + milliseconds(1000));
    Subject.tick(Now + milliseconds(1050));
    CPPUNIT_ASSERT(hasLogged("lease_lost"));
    CPPUNIT_ASSERT_EQUAL(Lines.str().find("lease_lost"),
                         Lines.str().rfind("lease_lost"));
  }

  // A change of primary does not wait for daemons that register after it began,
  // so they must apply its record before they may use a primary.
  void appliesAChangeInProgressBeforeUsingTheLease() {
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    Pool->setRecord({1, 1, "p", false, 0}, runtime::bootTime());
    cluster::GroupRecord Changing = Pool->record();
    Changing.Changing = true;
    keyvalue::Transaction Change;
    Change.Puts.push_back({"borageridge/groups/db", encode(Changing), 0});
    Store.commit(Change);
    runtime::spawn(Io, Subject.run());
    while (!hasLease())
      CPPUNIT_ASSERT(Io.run_one_for(std::chrono::seconds(2)) != 0);
    CPPUNIT_ASSERT(!Pool->mayUsePrimary(runtime::bootTime()));
    CPPUNIT_ASSERT(!Pool->mayAcknowledge(1, runtime::bootTime()));
  }

  // A daemon without a lease must not use any primary, so a pause before it
  // registers again is an outage for its callers.
  void replacesAnEndedLeaseAtOnce() {
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    Store.expireLeases();
    runLoopFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store.count("POST /v1/kv-lease"));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT(Store.contains(OwnKey));
  }

  void ignoresRenewalAnsweredAfterTheRelease() {
    Store.Intercept =
        [this](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-keep") != std::string::npos) {
        S.Stopping = true;
        runtime::spawn(Io, Subject.release());
      }
      return std::nullopt;
    };
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(1400));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-keep"));
    CPPUNIT_ASSERT(!hasLease());
  }

  void doesNotUseAReleasedLease() {
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    S.Stopping = true;
    runtime::spawn(Io, Subject.release());
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(!hasLease());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
  }

  void registersAgainAfterARestoreWithoutInterruptingTheUse() {
    pool::ServicePool &Pool = addPool({1, 1, "p", false, 0});
    Store.takeCopy();
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    Store.restore();
    const Time Start = runtime::bootTime();
    while (!Store.contains(OwnKey) &&
           runtime::bootTime() - Start < std::chrono::seconds(3)) {
      runLoopFor(milliseconds(10));
      CPPUNIT_ASSERT(Pool.mayUsePrimary(runtime::bootTime()));
    }
    runLoopFor(milliseconds(100));
    CPPUNIT_ASSERT(Store.contains(OwnKey));
    CPPUNIT_ASSERT(Pool.mayUsePrimary(runtime::bootTime()));
    CPPUNIT_ASSERT_EQUAL(keyvalue::Era(2), S.Lease.era());
  }

  // Guards against a daemon that uses a primary while the store holds no entry
  // of it: a change of primary would not wait for it.
  void doesNotKeepALeaseIdThatARestoredStoreGaveToAnotherDaemon() {
    Store.takeCopy();
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    const keyvalue::LeaseId Former = S.Lease.id();
    Store.restore();
    CPPUNIT_ASSERT_EQUAL(Former, Store.grantToAnother());
    runLoopFor(milliseconds(1500));
    CPPUNIT_ASSERT(S.Lease.id() != Former);
    CPPUNIT_ASSERT(Store.contains(OwnKey));
  }

  // The store may have lost the record of a change of primary that this daemon
  // has not seen either.
  void doesNotTrustAnOldRecordAfterARestoreThatOutlastedTheLease() {
    pool::ServicePool &Pool = addPool({1, 1, "p", false, 0});
    Store.MaxTtlMs = 1000;
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    CPPUNIT_ASSERT(Pool.mayUsePrimary(runtime::bootTime()));
    Store.Intercept = [](const http::Request &) {
      return std::optional(http::Response{503, "{}"});
    };
    Store.takeCopy();
    runLoopFor(milliseconds(1000));
    CPPUNIT_ASSERT(!hasLease());
    Store.restore();
    Store.Intercept = [](const http::Request &) { return std::nullopt; };
    runLoopFor(milliseconds(1500));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT(!Pool.mayUsePrimary(runtime::bootTime()));
    Pool.setRecord({cluster::makeEpoch(2, 1), 1, "p", false, 0},
                   runtime::bootTime());
    CPPUNIT_ASSERT(Pool.mayUsePrimary(runtime::bootTime()));
  }

  /// Answers the first transaction with a failure, after Executed has had it.
  void
  failFirstTransaction(std::function<void(const http::Request &)> Executed) {
    Store.Intercept =
        [this,
         Executed](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-txn") == std::string::npos ||
          Store.count("kv-txn") != 1)
        return std::nullopt;
      Executed(Call);
      return http::Response{500, "{}"};
    };
  }

  // Guards against an entry on a lease that nobody renews: it vanishes, and a
  // change of primary does not wait for this daemon.
  void aRegistrationThatIsExecutedLateDoesNotReplaceTheEntry() {
    http::Request Late;
    failFirstTransaction([&](const http::Request &Call) { Late = Call; });
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(hasLease());
    Store.executeUnanswered(Late);
    CPPUNIT_ASSERT_EQUAL(S.Lease.id(), Store.lease(OwnKey));
  }

  void keepsTheLeaseOfARegistrationWhoseAnswerWasLost() {
    failFirstTransaction(
        [&](const http::Request &Call) { Store.executeUnanswered(Call); });
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("POST /v1/kv-lease"));
    CPPUNIT_ASSERT_EQUAL(S.Lease.id(), Store.lease(OwnKey));
  }

  void replacesTheEntryOfItsFormerProcess() {
    const keyvalue::LeaseId Former = Store.grantToAnother();
    keyvalue::Transaction Change;
    Change.Puts.push_back({OwnKey, "former", Former});
    Store.commit(Change);
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(100));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT(Store.lease(OwnKey) != Former);
    CPPUNIT_ASSERT_EQUAL(S.Lease.id(), Store.lease(OwnKey));
  }

  void takesANewLeaseIfTheLeaseEndsBeforeTheRegistration() {
    failFirstTransaction([&](const http::Request &) { Store.expireLeases(); });
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(800));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT_EQUAL(S.Lease.id(), Store.lease(OwnKey));
  }

  // Guards against the entry of a process that has ended: a change of primary
  // would wait for its lease.
  void endsTheLeaseOfARegistrationThatAStopInterrupts() {
    failFirstTransaction([&](const http::Request &Call) {
      Store.executeUnanswered(Call);
      runtime::spawn(Io, Subject.release());
    });
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(!Store.contains(OwnKey));
  }

  // Guards against the use of a primary that is changed without asking this
  // daemon, whatever removed its entry.
  void registersAgainAtOnceWhenItsEntryIsGone() {
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(200));
    const keyvalue::LeaseId Former = S.Lease.id();
    keyvalue::Transaction Removal;
    Removal.Deletes.push_back(OwnKey);
    S.Entry.seen(Store.commit(Removal), 0);
    Subject.tick(runtime::bootTime());
    CPPUNIT_ASSERT(!hasLease());
    runLoopFor(milliseconds(100));
    CPPUNIT_ASSERT(hasLease());
    CPPUNIT_ASSERT(S.Lease.id() != Former);
    CPPUNIT_ASSERT_EQUAL(S.Lease.id(), Store.lease(OwnKey));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationTest);

} // namespace
} // namespace borageridge::entry
