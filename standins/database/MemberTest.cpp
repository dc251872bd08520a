#include "database/Member.h"
#include "database/TestDirectory.h"
#include "database/TestRequests.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace borageridge::database {
namespace {

using namespace std::chrono_literals;

/// A member without sockets, with a clock that the test sets.
class MemberFixture {
public:
  void open() {
    Options.Directory = Directory.Path;
    Options.LockTimeout = 100ms;
    Node = std::make_unique<Member>(Options, Switches, [] {});
  }

  void reopen() {
    Node.reset();
    open();
  }

  bool promote(Term New) {
    endpoint::PromoteRequest Request;
    Request.set_term(New);
    *Request.mutable_start() = toProto(Node->received());
    return Node->promote(Request).accepted();
  }

  bool follow(Term New) {
    endpoint::FollowRequest Request;
    Request.set_term(New);
    Request.set_primary_address("127.0.0.1:1");
    return Node->follow(Request).accepted();
  }

  endpoint::ConnectionReply run(const endpoint::ConnectionRequest &Request) {
    return Node->run(Caller, Request, Present);
  }

  /// Fetches and applies what the primary of a term has.
  void fetch(MemberFixture &Primary, Term ServedTerm) {
    while (true) {
      const auto Entries =
          Primary.Node->entriesFor(ServedTerm, Node->received(), 10);
      CPPUNIT_ASSERT(Entries.has_value());
      if (Entries.value().empty())
        break;
      const auto &First = Entries.value().front();
      if (First.diverged())
        CPPUNIT_ASSERT(
            Node->discardAfter(ServedTerm, fromProto(First.position())));
      else
        CPPUNIT_ASSERT(Node->receive(ServedTerm, Entries.value(), Present));
    }
    while (Node->applyDue(Present) > 0)
      ;
  }

  std::int64_t count(const std::string &Table) {
    const auto Reply = run(read(0, "SELECT count(*) FROM " + Table));
    CPPUNIT_ASSERT_EQUAL(std::string(), Reply.detail());
    return Reply.results(0).rows(0).values(0).integer();
  }

  TestDirectory Directory;
  MemberOptions Options;
  Faults Switches;
  std::unique_ptr<Member> Node;
  Session Caller;
  Time Present{1h};
};

std::string errorName(const endpoint::ConnectionReply &Reply) {
  return endpoint::EndpointError_Name(Reply.error()) +
         (Reply.detail().empty() ? "" : " " + Reply.detail());
}

class MemberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberTest);
  CPPUNIT_TEST(sealRefusesWritesAndCommitsOfLowerTerms);
  CPPUNIT_TEST(sealSurvivesARestart);
  CPPUNIT_TEST(promotionNeedsTheLastPositionAndIsIdempotent);
  CPPUNIT_TEST(followIsRefusedBelowTheSealedTerm);
  CPPUNIT_TEST(replicaRefusesEntriesAfterASealAndAfterAGap);
  CPPUNIT_TEST(replicaKeepsTheSharedPrefixWhenItsLogDiverged);
  CPPUNIT_TEST(readReportsTheAppliedPositionThatItSaw);
  CPPUNIT_TEST(entryInTheLogOnlyIsAppliedAfterARestart);
  CPPUNIT_TEST(repeatedRequestKeyReturnsTheFirstResultsOnANewPrimary);
  CPPUNIT_TEST(settleRefusesALateFirstTry);
  CPPUNIT_TEST(settleReportsARecordedRun);
  CPPUNIT_TEST(largeResultsAreNotRecordedButTheOutcomeIs);
  CPPUNIT_TEST(oldRequestRecordsAreDeleted);
  CPPUNIT_TEST(failedBatchLeavesNoTrace);
  CPPUNIT_TEST(transactionCommitsItsStatementsAsOneEntry);
  CPPUNIT_TEST(transactionOverItsTimeLimitFreesTheLock);
  CPPUNIT_TEST(closedConnectionRollsBack);
  CPPUNIT_TEST(statementsCannotBreakReplication);
  CPPUNIT_TEST_SUITE_END();

  MemberFixture A;
  MemberFixture B;

public:
  void setUp() override {
    A.open();
    B.open();
  }
  void tearDown() override {
    A.Node.reset();
    B.Node.reset();
  }

private:
  void assertError(endpoint::EndpointError Wanted,
                   const endpoint::ConnectionReply &Reply) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(errorName(Reply),
                                 endpoint::EndpointError_Name(Wanted),
                                 endpoint::EndpointError_Name(Reply.error()));
  }

  void assertRan(const endpoint::ConnectionReply &Reply) {
    assertError(endpoint::ENDPOINT_ERROR_NONE, Reply);
  }

  void startWithTable(MemberFixture &Primary) {
    CPPUNIT_ASSERT(Primary.promote(1));
    assertRan(Primary.run(write(1, "CREATE TABLE t(a)")));
  }

  // Guards against a commit of a replaced primary (P2).
  void sealRefusesWritesAndCommitsOfLowerTerms() {
    startWithTable(A);
    assertRan(A.run(begin(1)));
    assertRan(A.run(step("INSERT INTO t VALUES(1)")));
    const auto Before = A.Node->received();
    CPPUNIT_ASSERT(A.Node->seal(2).accepted());
    assertError(endpoint::ENDPOINT_ERROR_WRONG_TERM, A.run(commit()));
    assertError(endpoint::ENDPOINT_ERROR_WRONG_TERM,
                A.run(write(1, "INSERT INTO t VALUES(2)")));
    assertError(endpoint::ENDPOINT_ERROR_WRONG_TERM,
                A.run(read(1, "SELECT 1")));
    CPPUNIT_ASSERT_EQUAL(Before, A.Node->received());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         std::uint64_t(A.Node->status().term()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), A.count("t"));
    CPPUNIT_ASSERT(!A.Node->seal(1).accepted());
  }

  void sealSurvivesARestart() {
    startWithTable(A);
    CPPUNIT_ASSERT(A.Node->seal(5).accepted());
    A.reopen();
    CPPUNIT_ASSERT(!A.Node->seal(4).accepted());
    assertError(endpoint::ENDPOINT_ERROR_WRONG_TERM,
                A.run(write(1, "INSERT INTO t VALUES(2)")));
  }

  void promotionNeedsTheLastPositionAndIsIdempotent() {
    endpoint::PromoteRequest Request;
    Request.set_term(1);
    Request.mutable_start()->set_index(3);
    CPPUNIT_ASSERT(!A.Node->promote(Request).accepted());
    Request.clear_start();
    CPPUNIT_ASSERT(A.Node->promote(Request).accepted());
    CPPUNIT_ASSERT(A.Node->promote(Request).accepted());
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 1}), A.Node->received());
    A.reopen();
    CPPUNIT_ASSERT_EQUAL(endpoint::ROLE_PRIMARY, A.Node->status().role());
    CPPUNIT_ASSERT(A.Node->seal(2).accepted());
    CPPUNIT_ASSERT(!A.Node->promote(Request).accepted());
  }

  void followIsRefusedBelowTheSealedTerm() {
    CPPUNIT_ASSERT(A.Node->seal(3).accepted());
    CPPUNIT_ASSERT(!A.follow(2));
    CPPUNIT_ASSERT(A.follow(3));
    A.reopen();
    CPPUNIT_ASSERT(A.Node->followed() == FollowedPrimary({3, "127.0.0.1:1"}));
    startWithTable(B);
    CPPUNIT_ASSERT(!B.follow(1));
  }

  // Guards against a write that a replaced primary gets confirmed (P2).
  void replicaRefusesEntriesAfterASealAndAfterAGap() {
    startWithTable(A);
    CPPUNIT_ASSERT(B.follow(1));
    const auto Entries = A.Node->entriesFor(1, {}, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Entries.value().size());
    const std::span<const endpoint::LogEntry> All(Entries.value());
    CPPUNIT_ASSERT(!B.Node->receive(1, All.last(1), B.Present));
    CPPUNIT_ASSERT(B.Node->receive(1, All.first(1), B.Present));
    CPPUNIT_ASSERT(B.Node->seal(2).accepted());
    CPPUNIT_ASSERT(!B.Node->receive(1, All.last(1), B.Present));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 1}), B.Node->received());
  }

  // Guards against a rejoining member that gives up entries which others count
  // on, and against one that keeps entries the new term does not contain.
  void replicaKeepsTheSharedPrefixWhenItsLogDiverged() {
    startWithTable(A);
    CPPUNIT_ASSERT(B.follow(1));
    B.fetch(A, 1);
    assertRan(A.run(write(1, "INSERT INTO t VALUES(1)")));
    assertRan(A.run(write(1, "INSERT INTO t VALUES(2)")));
    CPPUNIT_ASSERT(B.promote(2));
    assertRan(B.run(write(2, "INSERT INTO t VALUES(3)")));
    CPPUNIT_ASSERT(A.follow(2));
    const auto Answer = B.Node->entriesFor(2, A.Node->received(), 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Answer.value().size());
    CPPUNIT_ASSERT(Answer.value().front().diverged());
    CPPUNIT_ASSERT(
        A.Node->discardAfter(2, fromProto(Answer.value().front().position())));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 2}), A.Node->received());
    A.fetch(B, 2);
    CPPUNIT_ASSERT_EQUAL(B.Node->received(), A.Node->received());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), A.count("t"));
  }

  // Guards against a stale answer that claims to be fresh (P1).
  void readReportsTheAppliedPositionThatItSaw() {
    startWithTable(A);
    CPPUNIT_ASSERT(B.follow(1));
    B.fetch(A, 1);
    control::Faults Lag;
    Lag.set_apply_lag_ms(50);
    B.Switches.set(Lag);
    assertRan(A.run(write(1, "INSERT INTO t VALUES(1)")));
    B.fetch(A, 1);
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}), B.Node->received());
    const auto Early = B.run(read(1, "SELECT a FROM t"));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 2}),
                         fromProto(Early.position()));
    CPPUNIT_ASSERT_EQUAL(0, Early.results(0).rows_size());
    B.Present += 50ms;
    B.fetch(A, 1);
    const auto Late = B.run(read(1, "SELECT a FROM t"));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}),
                         fromProto(Late.position()));
    CPPUNIT_ASSERT_EQUAL(1, Late.results(0).rows_size());
  }

  // Guards against a log and data that differ after a kill between the two
  // commits.
  void entryInTheLogOnlyIsAppliedAfterARestart() {
    startWithTable(A);
    A.Node.reset();
    {
      MemberLog Log(A.Directory.Path + "/log.db");
      endpoint::LogEntry Entry;
      *Entry.mutable_position() = toProto({1, 3});
      *Entry.mutable_batch()->add_statements() =
          statement("INSERT INTO t VALUES(9)");
      Entry.set_outcome(endpoint::RECORDED_OUTCOME_RAN);
      Log.append(std::span(&Entry, 1));
    }
    A.open();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), A.count("t"));
    const auto Reply = A.run(write(1, "INSERT INTO t VALUES(10)"));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 4}),
                         fromProto(Reply.position()));
  }

  // Guards against a second run after a change of the primary (P6).
  void repeatedRequestKeyReturnsTheFirstResultsOnANewPrimary() {
    startWithTable(A);
    const auto First =
        A.run(write(1, "INSERT INTO t VALUES(1) RETURNING a + 40", "r"));
    assertRan(First);
    CPPUNIT_ASSERT(!First.replayed());
    CPPUNIT_ASSERT(B.follow(1));
    B.fetch(A, 1);
    CPPUNIT_ASSERT(B.promote(2));
    for (auto *Member : {&A, &B}) {
      const auto Again =
          Member->run(write(0, "INSERT INTO t VALUES(2) RETURNING a", "r"));
      assertRan(Again);
      CPPUNIT_ASSERT(Again.replayed());
      CPPUNIT_ASSERT_EQUAL(fromProto(First.position()),
                           fromProto(Again.position()));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(41),
                           Again.results(0).rows(0).values(0).integer());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Member->count("t"));
    }
  }

  // Guards against a late first try after "not run" was answered (P5).
  void settleRefusesALateFirstTry() {
    startWithTable(A);
    const auto Settled = A.run(settle(1, "r"));
    assertRan(Settled);
    CPPUNIT_ASSERT_EQUAL(endpoint::RECORDED_OUTCOME_REFUSED, Settled.outcome());
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}),
                         fromProto(Settled.position()));
    CPPUNIT_ASSERT(B.follow(1));
    B.fetch(A, 1);
    CPPUNIT_ASSERT(B.promote(2));
    for (auto *Member : {&A, &B}) {
      assertError(endpoint::ENDPOINT_ERROR_SETTLED,
                  Member->run(write(0, "INSERT INTO t VALUES(1)", "r")));
      assertError(endpoint::ENDPOINT_ERROR_SETTLED, Member->run(begin(0, "r")));
      const auto Again = Member->run(settle(0, "r"));
      CPPUNIT_ASSERT_EQUAL(endpoint::RECORDED_OUTCOME_REFUSED, Again.outcome());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Member->count("t"));
    }
  }

  void settleReportsARecordedRun() {
    startWithTable(A);
    const auto First = A.run(write(1, "INSERT INTO t VALUES(1)", "r"));
    const auto Settled = A.run(settle(1, "r"));
    assertRan(Settled);
    CPPUNIT_ASSERT_EQUAL(endpoint::RECORDED_OUTCOME_RAN, Settled.outcome());
    CPPUNIT_ASSERT_EQUAL(fromProto(First.position()),
                         fromProto(Settled.position()));
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}), A.Node->received());
  }

  void largeResultsAreNotRecordedButTheOutcomeIs() {
    startWithTable(A);
    const std::string Text =
        "INSERT INTO t VALUES(zeroblob(70000)) RETURNING a";
    CPPUNIT_ASSERT_EQUAL(1, A.run(write(1, Text, "r")).results_size());
    const auto Again = A.run(write(1, Text, "r"));
    assertRan(Again);
    CPPUNIT_ASSERT(Again.replayed());
    CPPUNIT_ASSERT_EQUAL(0, Again.results_size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), A.count("t"));
  }

  void oldRequestRecordsAreDeleted() {
    A.Options.RequestRetention = 2;
    A.reopen();
    startWithTable(A);
    for (const char *Id : {"1", "2", "3"})
      assertRan(A.run(write(1, "INSERT INTO t VALUES(1)", Id)));
    CPPUNIT_ASSERT(A.run(write(1, "INSERT INTO t VALUES(1)", "2")).replayed());
    CPPUNIT_ASSERT(!A.run(write(1, "INSERT INTO t VALUES(1)", "1")).replayed());
  }

  void failedBatchLeavesNoTrace() {
    startWithTable(A);
    auto Request = write(1, "INSERT INTO t VALUES(1)", "r");
    *Request.mutable_batch()->add_statements() = statement("INSERT INTO u");
    const auto Before = A.Node->received();
    assertError(endpoint::ENDPOINT_ERROR_STATEMENT_FAILED, A.run(Request));
    CPPUNIT_ASSERT_EQUAL(Before, A.Node->received());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), A.count("t"));
    CPPUNIT_ASSERT(!A.run(write(1, "INSERT INTO t VALUES(1)", "r")).replayed());
  }

  void transactionCommitsItsStatementsAsOneEntry() {
    startWithTable(A);
    assertRan(A.run(begin(1, "r")));
    assertRan(A.run(step("INSERT INTO t VALUES(1)")));
    assertRan(A.run(step("INSERT INTO t VALUES(2)")));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), A.count("t"));
    const auto Committed = A.run(commit());
    CPPUNIT_ASSERT_EQUAL(borageridge::Position({1, 3}),
                         fromProto(Committed.position()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), A.count("t"));
    CPPUNIT_ASSERT(A.run(begin(1, "r")).replayed());
    assertError(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER, A.run(commit()));
  }

  // Guards against a lock that an abandoned transaction keeps.
  void transactionOverItsTimeLimitFreesTheLock() {
    startWithTable(A);
    assertRan(A.run(begin(1)));
    assertRan(A.run(step("INSERT INTO t VALUES(1)")));
    Session Other;
    const auto Insert = write(1, "INSERT INTO t VALUES(2)");
    assertError(endpoint::ENDPOINT_ERROR_TIMEOUT,
                A.Node->run(Other, Insert, A.Present));
    A.Node->expire(A.Present + A.Options.TransactionTimeout - 1ms);
    assertError(endpoint::ENDPOINT_ERROR_TIMEOUT,
                A.Node->run(Other, Insert, A.Present));
    A.Node->expire(A.Present + A.Options.TransactionTimeout);
    assertRan(A.Node->run(Other, Insert, A.Present));
    assertError(endpoint::ENDPOINT_ERROR_TIMEOUT, A.run(commit()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), A.count("t"));
  }

  // Guards against the locks of a proxy that died in a transaction.
  void closedConnectionRollsBack() {
    startWithTable(A);
    assertRan(A.run(begin(1)));
    assertRan(A.run(step("INSERT INTO t VALUES(1)")));
    A.Node->close(A.Caller);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), A.count("t"));
    assertRan(A.run(write(1, "INSERT INTO t VALUES(2)")));
  }

  // Guards against statements that end the transaction around them, give
  // another result on a replica, or touch the member's own tables.
  void statementsCannotBreakReplication() {
    startWithTable(A);
    for (const char *Text :
         {"COMMIT", "PRAGMA user_version = 3", "INSERT INTO t VALUES(random())",
          "INSERT INTO t VALUES(datetime('now'))",
          "DELETE FROM borageridge_request",
          "INSERT INTO t VALUES(1); INSERT INTO t VALUES(2)"})
      assertError(endpoint::ENDPOINT_ERROR_STATEMENT_FAILED,
                  A.run(write(1, Text)));
    assertError(endpoint::ENDPOINT_ERROR_STATEMENT_FAILED,
                A.run(read(1, "INSERT INTO t VALUES(1)")));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), A.count("t"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

} // namespace
} // namespace borageridge::database
