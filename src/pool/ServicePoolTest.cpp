#include "pool/ServicePool.h"

#include "entry/FakeMember.h"
#include "runtime/Clock.h"
#include "telemetry/Log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace borageridge::pool {
namespace {

using cluster::GroupRecord;
using cluster::makeEpoch;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Tests when the primary may be used and its answers be acknowledged.
class ServicePoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServicePoolTest);
  CPPUNIT_TEST(recordThatConfirmsThePrimaryKeepsStatementsInWork);
  CPPUNIT_TEST(recordOfAnotherPrimaryEndsStatementsInWork);
  CPPUNIT_TEST(relinquishedStatementsStayEndedWhenThePrimaryIsConfirmed);
  CPPUNIT_TEST(recordFromBeforeTheTrustedEpochPermitsNoUse);
  CPPUNIT_TEST(leavingPrimaryIsNotUsedTooLongIfItsEntryIsReadLate);
  CPPUNIT_TEST(recordWrittenAgainDoesNotGiveTheLeadBack);
  CPPUNIT_TEST(endOfAnUseTellsHowManyWritesWereAcknowledged);
  CPPUNIT_TEST(statementThatWaitsWhenAStopBeginsIsRefusedInTime);
  CPPUNIT_TEST(statementDoesNotWaitForItsObjectiveBeyondItsDeadline);
  CPPUNIT_TEST(abandonedStatementNoLongerWaits);
  CPPUNIT_TEST_SUITE_END();

  runtime::asio::io_context Io;
  std::ostringstream Lines;
  telemetry::Log Log{"test", telemetry::LogLevel::Info, Lines};
  cluster::LocalLease Lease;
  PoolContext Context{Io, Log, Lease, "entry-1", "z1"};
  ServicePool Subject{Context, "db"};
  const Time Now = runtime::bootTime();

public:
  void setUp() override {
    Lease.confirm(7, Now, seconds(60));
    Subject.setRecord({50, 3, "p", false, 0}, Now);
  }

private:
  // Guards against writes in doubt each time a record is written again.
  void recordThatConfirmsThePrimaryKeepsStatementsInWork() {
    Subject.setRecord({makeEpoch(2, 40), 3, "p", false, 0}, Now);
    CPPUNIT_ASSERT(Subject.mayAcknowledge(50, Now));
    CPPUNIT_ASSERT(Subject.mayAcknowledge(makeEpoch(2, 40), Now));
    CPPUNIT_ASSERT(!Subject.mayAcknowledge(49, Now));
  }

  void recordOfAnotherPrimaryEndsStatementsInWork() {
    for (const GroupRecord &Newer :
         {GroupRecord{60, 4, "p", false, 0}, GroupRecord{70, 4, "q", false, 0},
          GroupRecord{80, 4, "q", true, 0}, GroupRecord{90, 4, "q", false, 0},
          GroupRecord{95, 4, "q", false, 1}}) {
      const cluster::Epoch Former = Subject.record().Epoch;
      Subject.setRecord(Newer, Now);
      CPPUNIT_ASSERT(!Subject.mayAcknowledge(Former, Now));
    }
  }

  void relinquishedStatementsStayEndedWhenThePrimaryIsConfirmed() {
    runtime::spawn(Io, Subject.relinquish(50, milliseconds(10)));
    Io.run();
    Subject.setRecord({makeEpoch(2, 40), 3, "p", false, 0}, Now);
    CPPUNIT_ASSERT(!Subject.mayAcknowledge(50, Now));
    CPPUNIT_ASSERT(Subject.mayAcknowledge(makeEpoch(2, 40), Now));
  }

  void recordFromBeforeTheTrustedEpochPermitsNoUse() {
    Context.TrustedFrom = makeEpoch(2, 0);
    CPPUNIT_ASSERT(!Subject.mayUsePrimary(Now));
    CPPUNIT_ASSERT(!Subject.mayAcknowledge(50, Now));
    Subject.setRecord({makeEpoch(2, 40), 3, "p", false, 0}, Now);
    CPPUNIT_ASSERT(Subject.mayUsePrimary(Now));
  }

  // Guards against requests to a member that announced its departure before an
  // outage of the store, longer ago than it is known.
  void leavingPrimaryIsNotUsedTooLongIfItsEntryIsReadLate() {
    catalog::Member Primary;
    Primary.Id = "p";
    Subject.setMembers({Primary}, Now);
    Primary.Leaving = true;
    Subject.setMembers({Primary}, Now + seconds(3), Now);
    const Time Last = Now + Context.LeavingPrimaryLimit;
    CPPUNIT_ASSERT(Subject.mayUsePrimary(Last));
    CPPUNIT_ASSERT(!Subject.mayUsePrimary(Last + milliseconds(1)));
  }

  void recordWrittenAgainDoesNotGiveTheLeadBack() {
    entry::FakeMember Other(Io, "q");
    Other.Answer = [](const std::string &) {
      return "ROW primary 4 4.1 4 0 0 1\r\nCOMPLETE -\r\nREADY I 4.1\r\n";
    };
    Subject.setMembers({Other.info()}, Now);
    Subject.setRecord({60, 3, "p", false, 0, "", {"q"}}, Now);
    CPPUNIT_ASSERT(Subject.mayAcknowledge(60, Now));
    const auto Check = [](ServicePoolTest &Self) -> runtime::Task<void> {
      co_await Self.Subject.confirmLead(seconds(1));
      Self.Io.stop();
    };
    runtime::spawn(Io, Check(*this));
    Io.run();
    CPPUNIT_ASSERT(Subject.isSuperseded());
    Subject.setRecord({70, 3, "p", false, 0}, Now);
    CPPUNIT_ASSERT(!Subject.mayUsePrimary(Now));
    CPPUNIT_ASSERT(!Subject.mayAcknowledge(70, Now));
    Subject.setRecord({80, 4, "q", false, 0}, Now);
    CPPUNIT_ASSERT(Subject.mayAcknowledge(80, Now));
  }

  // Guards against logs that do not tell which daemon acknowledged writes under
  // which record.
  void endOfAnUseTellsHowManyWritesWereAcknowledged() {
    Subject.noteAcknowledgedWrite(Now + milliseconds(10));
    Subject.noteAcknowledgedWrite(Now + milliseconds(20));
    Subject.setRecord({60, 3, "p", false, 0}, Now + milliseconds(30));
    Subject.setRecord({70, 3, "p", true, 0}, Now + milliseconds(50));
    Log.flush();
    const std::string Expected =
        R"("event":"primary_use_ended","instance":"test","service":"db",)"
        R"("epoch":50,"term":3,"primary":"p","acknowledged_writes":2,)"
        R"("last_write_ms":30)";
    CPPUNIT_ASSERT_MESSAGE(Lines.str(),
                           Lines.str().find(Expected) != std::string::npos);
  }

  WaitingTicket Waiting;
  std::optional<AcquireFailure> Failed;

  void runLoop(Duration Limit) {
    Io.restart();
    Io.run_for(Limit);
  }

  runtime::Task<void> acquire(Time QueueDeadline, Time Deadline) {
    PlacementRequest Any;
    const auto Result = co_await Subject.acquire(
        std::move(Any), "jobs", 1, QueueDeadline, Deadline, Waiting);
    Failed = Result.error();
  }

  /// Begins to wait for a connection, which no member offers.
  void beginToWait(Duration QueueLimit, Duration Limit) {
    const Time From = runtime::bootTime();
    runtime::spawn(Io, acquire(From + QueueLimit, From + Limit));
    runLoop(milliseconds(30));
    CPPUNIT_ASSERT(!Failed && Waiting.Pool == &Subject);
  }

  // Guards against review/7: what waits when a stop begins keeps the time-out
  // of its route and is cut when the process ends.
  void statementThatWaitsWhenAStopBeginsIsRefusedInTime() {
    beginToWait(seconds(9), seconds(10));
    const Time Latest = runtime::bootTime() + milliseconds(50);
    Subject.setAnswerLimits({Latest, Latest + milliseconds(300)});
    runLoop(milliseconds(80));
    CPPUNIT_ASSERT(Failed == AcquireFailure::Stopping);
    CPPUNIT_ASSERT(Waiting.Pool == nullptr);
  }

  void statementDoesNotWaitForItsObjectiveBeyondItsDeadline() {
    beginToWait(seconds(9), milliseconds(60));
    runLoop(milliseconds(80));
    CPPUNIT_ASSERT(Failed.has_value());
  }

  void abandonedStatementNoLongerWaits() {
    beginToWait(seconds(9), seconds(10));
    Subject.abandon(Waiting.Id);
    runLoop(milliseconds(30));
    CPPUNIT_ASSERT(Failed == AcquireFailure::Abandoned);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Subject.waiting());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicePoolTest);

} // namespace
} // namespace borageridge::pool
