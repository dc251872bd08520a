#include "group/GroupView.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::group {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

record::GroupRecord makeRecord(Term Number, std::uint64_t Version,
                               const char *Primary,
                               record::Phase Phase = record::PHASE_ACTIVE) {
  record::GroupRecord Record;
  Record.set_database("ledger-1");
  Record.set_term(Number);
  Record.set_version(Version);
  Record.set_primary(Primary);
  Record.set_phase(Phase);
  for (const char *Name : {"a", "b", "c"})
    Record.add_members()->set_name(Name);
  return Record;
}

endpoint::MemberStatus makeStatus(Term Served, Position Received,
                                  LogIndex Applied, std::uint64_t Ping = 0) {
  endpoint::MemberStatus Status;
  Status.set_ping_sequence(Ping);
  Status.set_term(Served);
  Status.set_sealed_term(Served);
  Status.set_role(endpoint::ROLE_REPLICA);
  Status.mutable_received()->set_term(Received.EntryTerm);
  Status.mutable_received()->set_index(Received.Index);
  Status.mutable_applied()->set_term(Received.EntryTerm);
  Status.mutable_applied()->set_index(Applied);
  return Status;
}

endpoint::MemberStatus makePrimaryStatus(Term Served, LogIndex Index,
                                         std::uint64_t Ping = 0) {
  endpoint::MemberStatus Status =
      makeStatus(Served, {Served, Index}, Index, Ping);
  Status.set_role(endpoint::ROLE_PRIMARY);
  return Status;
}

constexpr MemberIndex A = 0;
constexpr MemberIndex B = 1;
constexpr MemberIndex C = 2;

class GroupViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupViewTest);
  CPPUNIT_TEST(confirmsOnlyEntriesHeldByAMajority);
  CPPUNIT_TEST(doesNotConfirmByThePrimaryAlone);
  CPPUNIT_TEST(doesNotCountEntriesOfOlderTerms);
  CPPUNIT_TEST(doesNotCountMembersThatServeAnOlderTerm);
  CPPUNIT_TEST(neverAppliesAnOlderRecord);
  CPPUNIT_TEST(hasNoActiveTermDuringAChange);
  CPPUNIT_TEST(reportsNoFreshnessWithoutAMajorityInTheTerm);
  CPPUNIT_TEST(determinesTheAgeOfAReplicaFromPrimarySamples);
  CPPUNIT_TEST(keepsReportingFreshnessDuringAChange);
  CPPUNIT_TEST(doesNotTreatAReplacedPrimaryOfAnOlderTermAsAReplica);
  CPPUNIT_TEST(ignoresAnswersToUnknownPings);
  CPPUNIT_TEST_SUITE_END();

  GroupView View{"ledger-1"};

public:
  void setUp() override {
    View = GroupView("ledger-1");
    View.applyRecord(makeRecord(3, 1, "a"), 10);
  }

private:
  void confirmsOnlyEntriesHeldByAMajority() {
    View.statusReceived(A, makePrimaryStatus(3, 12), at(0));
    View.statusReceived(B, makeStatus(3, {3, 10}, 10), at(0));
    CPPUNIT_ASSERT_EQUAL(LogIndex(10), View.confirmedIndex());
    View.primaryCommitted(3, 15, at(1));
    View.statusReceived(C, makeStatus(3, {3, 14}, 9), at(2));
    CPPUNIT_ASSERT_EQUAL(LogIndex(14), View.confirmedIndex());
  }

  void doesNotConfirmByThePrimaryAlone() {
    View.statusReceived(A, makePrimaryStatus(3, 12), at(0));
    View.primaryCommitted(3, 20, at(1));
    CPPUNIT_ASSERT(!View.isConfirmed(1));
  }

  // Guards against acknowledging an entry of term 2 that reached a majority
  // only in term 3: a log that ends in a higher term could still replace it.
  void doesNotCountEntriesOfOlderTerms() {
    View.primaryCommitted(3, 12, at(0));
    View.statusReceived(B, makeStatus(3, {2, 12}, 12), at(1));
    CPPUNIT_ASSERT(!View.isConfirmed(12));
  }

  void doesNotCountMembersThatServeAnOlderTerm() {
    View.primaryCommitted(3, 12, at(0));
    View.statusReceived(B, makeStatus(2, {3, 12}, 12), at(1));
    CPPUNIT_ASSERT(!View.isConfirmed(12));
  }

  void neverAppliesAnOlderRecord() {
    CPPUNIT_ASSERT(View.applyRecord(makeRecord(4, 5, "b"), 20));
    CPPUNIT_ASSERT(!View.applyRecord(makeRecord(3, 4, "a"), 21));
    CPPUNIT_ASSERT_EQUAL(Term(4), View.activeTerm());
    CPPUNIT_ASSERT_EQUAL(B, View.primary());
  }

  void hasNoActiveTermDuringAChange() {
    View.applyRecord(makeRecord(4, 2, "a", record::PHASE_SEALING), 11);
    CPPUNIT_ASSERT_EQUAL(Term(0), View.activeTerm());
    CPPUNIT_ASSERT_EQUAL(NoMember, View.primary());
  }

  void reportsNoFreshnessWithoutAMajorityInTheTerm() {
    View.pingSent(A, 1, at(100));
    View.statusReceived(A, makePrimaryStatus(3, 12, 1), at(101));
    CPPUNIT_ASSERT(!View.termConfirmedAsOf());
    CPPUNIT_ASSERT(!View.freshAsOf(B, 12));
  }

  void determinesTheAgeOfAReplicaFromPrimarySamples() {
    View.pingSent(A, 1, at(100));
    View.statusReceived(A, makePrimaryStatus(3, 12, 1), at(101));
    View.pingSent(B, 2, at(110));
    View.statusReceived(B, makeStatus(3, {3, 12}, 12, 2), at(111));
    CPPUNIT_ASSERT(at(100) == *View.freshAsOf(B, 12));
    CPPUNIT_ASSERT(!View.freshAsOf(B, 11));
  }

  void keepsReportingFreshnessDuringAChange() {
    determinesTheAgeOfAReplicaFromPrimarySamples();
    View.applyRecord(makeRecord(4, 2, "a", record::PHASE_SEALING), 11);
    CPPUNIT_ASSERT(at(100) == *View.freshAsOf(B, 12));
  }

  // Guards against a session that reads an entry that the new term discards. A
  // replaced primary that was told to follow still reported itself as a replica
  // of its old term.
  void doesNotTreatAReplacedPrimaryOfAnOlderTermAsAReplica() {
    record::GroupRecord Record = makeRecord(4, 2, "b");
    for (const auto &[Number, Primary] : {std::pair(3, "a"), {4, "b"}}) {
      record::TermStart &Start = *Record.add_history();
      Start.set_term(static_cast<Term>(Number));
      Start.set_primary(Primary);
    }
    View.applyRecord(Record, 11);
    View.statusReceived(A, makeStatus(3, {3, 15}, 15), at(0));
    View.statusReceived(C, makeStatus(3, {3, 12}, 12), at(0));
    CPPUNIT_ASSERT(!View.isReplica(A));
    CPPUNIT_ASSERT(View.isReplica(C));
    View.statusReceived(A, makeStatus(4, {4, 13}, 13), at(1));
    CPPUNIT_ASSERT(View.isReplica(A));
  }

  // Guards against a late answer from an earlier observation that is matched
  // with a newer ping and then appears more recent than it is.
  void ignoresAnswersToUnknownPings() {
    View.pingSent(A, 7, at(100));
    View.observationLost(A);
    View.statusReceived(A, makePrimaryStatus(3, 12, 7), at(101));
    CPPUNIT_ASSERT(!View.member(A).ServingAsOf);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupViewTest);

} // namespace
} // namespace borageridge::group
