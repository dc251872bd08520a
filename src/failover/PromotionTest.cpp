#include "failover/Promotion.h"

#include "failover/RecordSteps.h"
#include "session/TermHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::failover {
namespace {

using std::chrono::milliseconds;

/// Wraps a Promotion with short forms of its inputs. Times are in milliseconds.
class PromotionHarness {
public:
  explicit PromotionHarness(unsigned Rank = 0)
      : P({}, [this] { return "own-" + std::to_string(++Attempts); }) {
    P.rankChanged(Rank);
    P.recordChanged({activeRecord(5), 10}, at(0));
  }

  static Time at(int Ms) { return Time(milliseconds(Ms)); }

  static record::GroupRecord activeRecord(Term Serving) {
    record::GroupRecord Record;
    Record.set_database("ledger-1");
    Record.set_term(Serving);
    Record.set_phase(record::PHASE_ACTIVE);
    Record.set_primary("m1");
    Record.set_attempt("other-1");
    for (const char *Name : {"m1", "m2", "m3"}) {
      record::Member &Member = *Record.add_members();
      Member.set_name(Name);
      Member.set_address(std::string(Name) + ":1");
    }
    for (Term T = 1; T <= Serving; ++T) {
      record::TermStart &Start = *Record.add_history();
      Start.set_term(T);
      Start.set_start_entry_term(T - 1);
      Start.set_start_index(10 * (T - 1));
    }
    return Record;
  }

  Actions tick(int Ms) { return P.tick(at(Ms)); }

  /// Returns the only action of a tick. Fails if there are several or it is of
  /// another type.
  template <typename A> A only(int Ms) {
    const Actions Out = tick(Ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.size());
    CPPUNIT_ASSERT(std::holds_alternative<A>(Out[0]));
    return std::get<A>(Out[0]);
  }

  std::vector<std::string> sealsAt(int Ms) {
    std::vector<std::string> Result;
    for (const Action &Step : tick(Ms))
      if (const auto *Seal = std::get_if<SealMember>(&Step))
        Result.push_back(Seal->Member);
    return Result;
  }

  void swapped(const SwapRecord &Swap, std::int64_t Revision, int Ms) {
    P.swapFinished(Swap.Record.attempt(), Revision, at(Ms));
  }

  void swapFailed(const SwapRecord &Swap, FailureKind Kind, int Ms) {
    P.swapFinished(Swap.Record.attempt(), Failure{Kind, ""}, at(Ms));
  }

  void read(const record::GroupRecord &Record, std::int64_t Revision, int Ms) {
    P.readFinished(KnownRecord{Record, Revision}, at(Ms));
  }

  void sealed(const char *Member, Term For, Position Received, int Ms) {
    endpoint::SealReply Reply;
    Reply.set_accepted(true);
    Reply.set_sealed_term(For);
    Reply.mutable_received()->set_term(Received.EntryTerm);
    Reply.mutable_received()->set_index(Received.Index);
    P.sealFinished(Member, For, Reply, at(Ms));
  }

  void sealRefused(const char *Member, Term For, Term Sealed, int Ms) {
    endpoint::SealReply Reply;
    Reply.set_sealed_term(Sealed);
    P.sealFinished(Member, For, Reply, at(Ms));
  }

  void promoted(const char *Member, Term For, bool Accepted, int Ms) {
    endpoint::PromoteReply Reply;
    Reply.set_accepted(Accepted);
    Reply.set_sealed_term(For);
    P.promoteFinished(Member, For, Reply, at(Ms));
  }

  void status(const char *Member, Term Serving, Position Received, int Ms) {
    endpoint::MemberStatus Status;
    Status.set_term(Serving);
    Status.set_sealed_term(Serving);
    Status.mutable_received()->set_term(Received.EntryTerm);
    Status.mutable_received()->set_index(Received.Index);
    P.statusReceived(Member, Status, at(Ms));
  }

  /// Starts an unplanned change and returns its first swap.
  SwapRecord startAt(int Ms) {
    P.start(ChangeReason::Unplanned, "", at(Ms));
    return only<SwapRecord>(Ms);
  }

  /// Advances to the recorded phase Promoting with m2 as the candidate.
  SwapRecord promotingAt(int Ms) {
    swapped(startAt(Ms), 11, Ms);
    sealsAt(Ms);
    sealed("m2", 6, {5, 70}, Ms);
    sealed("m3", 6, {5, 60}, Ms);
    auto Swap = only<SwapRecord>(Ms);
    swapped(Swap, 12, Ms);
    return Swap;
  }

  unsigned Attempts = 0;
  Promotion P;
};

class PromotionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionTest);
  CPPUNIT_TEST(anUnplannedChangeGoesThroughAllPhases);
  CPPUNIT_TEST(aLostSwapAnswerIsRecognisedByItsAttempt);
  CPPUNIT_TEST(aSwapThatDidNotTakeEffectIsRepeated);
  CPPUNIT_TEST(aConflictEndsTheCoordination);
  CPPUNIT_TEST(aResumedProxyDoesNotActOnItsOldRecord);
  CPPUNIT_TEST(anotherProxyTakesOverAChangeAfterItsRankDelay);
  CPPUNIT_TEST(aTakenOverPromotionKeepsItsCandidate);
  CPPUNIT_TEST(aCandidateThatIsNotPromotedMovesTheChangeToTheNextTerm);
  CPPUNIT_TEST(aStatusReplacesALostPromoteAnswer);
  CPPUNIT_TEST(storeCallsBackOffDuringAnOutage);
  CPPUNIT_TEST(sealsAreRepeatedOnlyToMembersThatDidNotAnswer);
  CPPUNIT_TEST(membersSealedAboveTheRecordRaiseTheNextTerm);
  CPPUNIT_TEST(unplannedChangesAreRateLimited);
  CPPUNIT_TEST(aRequestExpiresUnlessItIsRepeated);
  CPPUNIT_TEST(aPlannedChangeSealsTheOldPrimaryFirst);
  CPPUNIT_TEST(aPlannedChangeExpiresIfTheCandidateLags);
  CPPUNIT_TEST(unsuitableCandidatesAreRejected);
  CPPUNIT_TEST(theHistoryKeepsOnlyTermsOfTheChosenLog);
  CPPUNIT_TEST(theHistoryIsTrimmed);
  CPPUNIT_TEST(membersBehindTheRecordAreReconciled);
  CPPUNIT_TEST_SUITE_END();

  void anUnplannedChangeGoesThroughAllPhases() {
    PromotionHarness D;
    const SwapRecord Sealing = D.startAt(100);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10), Sealing.ExpectedRevision);
    CPPUNIT_ASSERT_EQUAL(record::PHASE_SEALING, Sealing.Record.phase());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Sealing.Record.term());
    D.swapped(Sealing, 11, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), D.sealsAt(100).size());
    D.sealed("m3", 6, {5, 60}, 100);
    CPPUNIT_ASSERT(D.tick(100).empty());
    D.sealed("m2", 6, {5, 70}, 100);
    const auto Promoting = D.only<SwapRecord>(100);
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), Promoting.Record.primary());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(70), startOf(Promoting.Record).index());
    D.swapped(Promoting, 12, 100);
    const auto Promote = D.only<PromoteMember>(100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Promote.Request.start().term());
    D.promoted("m2", 6, true, 100);
    const auto Active = D.only<SwapRecord>(100);
    CPPUNIT_ASSERT_EQUAL(record::PHASE_ACTIVE, Active.Record.phase());
    D.swapped(Active, 13, 100);
    CPPUNIT_ASSERT(D.tick(100).empty());
    CPPUNIT_ASSERT(!D.P.hasOwnChange());
  }

  void aLostSwapAnswerIsRecognisedByItsAttempt() {
    PromotionHarness D;
    const SwapRecord Swap = D.startAt(0);
    D.swapFailed(Swap, FailureKind::Unknown, 500);
    D.only<ReadRecord>(500);
    D.read(Swap.Record, 11, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), D.sealsAt(500).size());
  }

  void aSwapThatDidNotTakeEffectIsRepeated() {
    PromotionHarness D;
    const SwapRecord Swap = D.startAt(0);
    // The store call times out without an answer.
    D.P.start(ChangeReason::Unplanned, "", PromotionHarness::at(900));
    D.only<ReadRecord>(1000);
    D.read(PromotionHarness::activeRecord(5), 10, 1000);
    const auto Repeated = D.only<SwapRecord>(1000);
    CPPUNIT_ASSERT(Repeated.Record.attempt() != Swap.Record.attempt());
    // The first swap took effect after all. Its attempt still identifies it as
    // an own one.
    D.P.recordChanged({Swap.Record, 11}, PromotionHarness::at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), D.sealsAt(1000).size());
  }

  void aConflictEndsTheCoordination() {
    PromotionHarness D;
    const SwapRecord Swap = D.startAt(0);
    D.swapFailed(Swap, FailureKind::Conflict, 10);
    D.only<ReadRecord>(10);
    record::GroupRecord Other = Swap.Record;
    Other.set_attempt("other-2");
    D.read(Other, 11, 10);
    CPPUNIT_ASSERT(D.tick(10).empty());
    CPPUNIT_ASSERT(!D.P.hasOwnChange());
  }

  // Guards against a paused proxy that completes an outdated change.
  void aResumedProxyDoesNotActOnItsOldRecord() {
    PromotionHarness D;
    const SwapRecord Promoting = D.promotingAt(0);
    CPPUNIT_ASSERT(!D.tick(10).empty());
    D.promoted("m2", 6, true, 60000);
    const auto Active = D.only<SwapRecord>(60000);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(12), Active.ExpectedRevision);
    D.swapFailed(Active, FailureKind::Conflict, 60000);
    D.only<ReadRecord>(60000);
    D.read(PromotionHarness::activeRecord(9), 30, 60000);
    CPPUNIT_ASSERT(D.tick(60000).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), D.P.record()->Record.term());
  }

  void anotherProxyTakesOverAChangeAfterItsRankDelay() {
    PromotionHarness D(2);
    record::GroupRecord Incomplete = PromotionHarness::activeRecord(5);
    Incomplete.set_term(6);
    Incomplete.set_phase(record::PHASE_SEALING);
    D.P.recordChanged({Incomplete, 11}, PromotionHarness::at(0));
    CPPUNIT_ASSERT(D.P.nextWake() == PromotionHarness::at(800));
    CPPUNIT_ASSERT(D.tick(799).empty());
    D.only<ReadRecord>(800);
    D.read(Incomplete, 11, 800);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), D.sealsAt(800).size());
  }

  void aTakenOverPromotionKeepsItsCandidate() {
    PromotionHarness D(1);
    record::GroupRecord Incomplete = PromotionHarness::activeRecord(6);
    Incomplete.set_phase(record::PHASE_PROMOTING);
    Incomplete.set_primary("m3");
    D.P.recordChanged({Incomplete, 11}, PromotionHarness::at(0));
    D.only<ReadRecord>(600);
    D.read(Incomplete, 11, 600);
    const auto Promote = D.only<PromoteMember>(600);
    CPPUNIT_ASSERT_EQUAL(std::string("m3"), Promote.Member);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Promote.Request.term());
  }

  void aCandidateThatIsNotPromotedMovesTheChangeToTheNextTerm() {
    PromotionHarness D;
    D.promotingAt(0);
    D.only<PromoteMember>(0);
    const auto Next = D.only<SwapRecord>(1000);
    CPPUNIT_ASSERT_EQUAL(record::PHASE_SEALING, Next.Record.phase());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Next.Record.term());
    D.swapped(Next, 13, 1000);
    D.sealsAt(1000);
    // The abandoned candidate has the longest log, but a majority without it
    // exists.
    D.sealed("m2", 7, {5, 70}, 1000);
    D.sealed("m3", 7, {5, 60}, 1000);
    CPPUNIT_ASSERT(D.tick(1000).empty());
    D.sealed("m1", 7, {5, 65}, 1000);
    const auto Second = D.only<SwapRecord>(1000);
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), Second.Record.primary());
  }

  void aStatusReplacesALostPromoteAnswer() {
    PromotionHarness D;
    D.promotingAt(0);
    D.only<PromoteMember>(0);
    endpoint::MemberStatus Status;
    Status.set_role(endpoint::ROLE_PRIMARY);
    Status.set_term(6);
    D.P.statusReceived("m2", Status, PromotionHarness::at(10));
    const auto Active = D.only<SwapRecord>(10);
    CPPUNIT_ASSERT_EQUAL(record::PHASE_ACTIVE, Active.Record.phase());
  }

  // Guards against a burst of calls to a store that is down.
  void storeCallsBackOffDuringAnOutage() {
    PromotionHarness D;
    D.swapFailed(D.startAt(0), FailureKind::Unavailable, 0);
    int Calls = 0;
    for (int Ms = 0; Ms < 10000; Ms += 10) {
      D.P.start(ChangeReason::Unplanned, "", PromotionHarness::at(Ms));
      for (const Action &Step : D.tick(Ms)) {
        CPPUNIT_ASSERT(std::holds_alternative<ReadRecord>(Step));
        ++Calls;
        D.P.readFinished(Failure{FailureKind::Unavailable, ""},
                         PromotionHarness::at(Ms));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Calls), Calls > 8 && Calls < 20);
    D.read(PromotionHarness::activeRecord(5), 10, 10000);
    D.only<SwapRecord>(10000);
  }

  void sealsAreRepeatedOnlyToMembersThatDidNotAnswer() {
    PromotionHarness D;
    D.swapped(D.startAt(0), 11, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), D.sealsAt(0).size());
    D.sealed("m2", 6, {5, 60}, 1);
    CPPUNIT_ASSERT(D.sealsAt(49).empty());
    CPPUNIT_ASSERT(D.sealsAt(50) == (std::vector<std::string>{"m1", "m3"}));
  }

  // Guards against a group that stays without a primary after its record was
  // recreated with a low term.
  void membersSealedAboveTheRecordRaiseTheNextTerm() {
    PromotionHarness D;
    const SwapRecord Sealing = D.startAt(0);
    D.swapped(Sealing, 11, 0);
    D.sealsAt(0);
    D.sealRefused("m2", 6, 20, 0);
    D.only<ReadRecord>(0);
    D.read(Sealing.Record, 11, 0);
    const auto Next = D.only<SwapRecord>(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(21), Next.Record.term());
  }

  void unplannedChangesAreRateLimited() {
    PromotionHarness D;
    const auto Changed = [&](Term Serving, int Ms) {
      D.P.recordChanged({PromotionHarness::activeRecord(Serving),
                         static_cast<std::int64_t>(10 + Serving)},
                        PromotionHarness::at(Ms));
    };
    const auto StartAt = [&](int Ms) {
      const StartResult Result =
          D.P.start(ChangeReason::Unplanned, "", PromotionHarness::at(Ms));
      D.P.cancel();
      return Result;
    };
    int Ms = 0;
    Term Serving = 6;
    // Each change begins as soon as the limit allows.
    for (const int Interval : {10, 20, 40, 80, 160, 300, 300}) {
      Changed(Serving++, Ms);
      Ms += Interval * 1000;
      CPPUNIT_ASSERT(StartAt(Ms - 1) == StartResult::RateLimited);
      CPPUNIT_ASSERT(StartAt(Ms) == StartResult::Started);
    }
    Ms += 300000;
    Changed(Serving, Ms);
    CPPUNIT_ASSERT(StartAt(Ms + 9999) == StartResult::RateLimited);
    CPPUNIT_ASSERT(StartAt(Ms + 10000) == StartResult::Started);
  }

  void aRequestExpiresUnlessItIsRepeated() {
    PromotionHarness D(1);
    D.P.start(ChangeReason::Unplanned, "", PromotionHarness::at(0));
    CPPUNIT_ASSERT(D.tick(199).empty());
    CPPUNIT_ASSERT(D.tick(5000).empty());
    CPPUNIT_ASSERT(!D.P.hasOwnChange());
  }

  void aPlannedChangeSealsTheOldPrimaryFirst() {
    PromotionHarness D;
    D.status("m1", 5, {5, 100}, 0);
    D.status("m2", 5, {5, 80}, 0);
    D.status("m3", 5, {5, 100}, 0);
    D.P.start(ChangeReason::Planned, "m2", PromotionHarness::at(0));
    const auto Sealing = D.only<SwapRecord>(0);
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), Sealing.Record.preferred_primary());
    D.swapped(Sealing, 11, 0);
    CPPUNIT_ASSERT(D.sealsAt(0) == (std::vector<std::string>{"m1"}));
    D.sealed("m1", 6, {5, 105}, 1);
    CPPUNIT_ASSERT(D.sealsAt(1).empty());
    D.status("m2", 5, {5, 105}, 5);
    CPPUNIT_ASSERT(D.sealsAt(5) == (std::vector<std::string>{"m2", "m3"}));
    D.sealed("m2", 6, {5, 105}, 6);
    const auto Promoting = D.only<SwapRecord>(6);
    CPPUNIT_ASSERT_EQUAL(std::string("m2"), Promoting.Record.primary());
  }

  void aPlannedChangeExpiresIfTheCandidateLags() {
    PromotionHarness D;
    D.P.start(ChangeReason::Planned, "m2", PromotionHarness::at(0));
    for (int Ms = 0; Ms < 5000; Ms += 100) {
      D.status("m1", 5, {5, 100}, Ms);
      D.status("m2", 5, {5, 35}, Ms);
      CPPUNIT_ASSERT(D.tick(Ms).empty());
    }
    CPPUNIT_ASSERT(D.P.hasOwnChange());
    D.tick(5000);
    CPPUNIT_ASSERT(!D.P.hasOwnChange());
  }

  void unsuitableCandidatesAreRejected() {
    PromotionHarness D;
    const auto Start = [&](const char *Preferred) {
      return D.P.start(ChangeReason::Planned, Preferred,
                       PromotionHarness::at(0));
    };
    CPPUNIT_ASSERT(Start("m1") == StartResult::Unsuitable);
    CPPUNIT_ASSERT(Start("m9") == StartResult::Unsuitable);
    CPPUNIT_ASSERT(Start("") == StartResult::Unsuitable);
    D.status("m2", 5, {5, 80}, 0);
    CPPUNIT_ASSERT(Start("") == StartResult::Started);
    CPPUNIT_ASSERT(Start("") == StartResult::InProgress);
  }

  // Guards against positions of the preceding term that appear lost because of
  // a term whose candidate was abandoned before it wrote an entry.
  void theHistoryKeepsOnlyTermsOfTheChosenLog() {
    record::GroupRecord Record = PromotionHarness::activeRecord(5);
    Record.set_term(6);
    Record = promotingRecord(Record, "m2", {5, 60});
    Record.set_term(7);
    Record = promotingRecord(Record, "m3", {5, 65});
    CPPUNIT_ASSERT_EQUAL(6, Record.history_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Record.history(4).term());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Record.history(5).term());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(65), Record.history(5).start_index());
  }

  void theHistoryIsTrimmed() {
    constexpr int MaxTerms = session::TermHistory::MaxTerms;
    record::GroupRecord Record = PromotionHarness::activeRecord(MaxTerms);
    Record.set_term(MaxTerms + 1);
    Record = promotingRecord(Record, "m2", {MaxTerms, 9000});
    CPPUNIT_ASSERT_EQUAL(MaxTerms, Record.history_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Record.history(0).term());
  }

  void membersBehindTheRecordAreReconciled() {
    PromotionHarness D;
    D.status("m1", 5, {5, 60}, 0);
    D.status("m2", 4, {4, 45}, 0);
    D.status("m3", 5, {5, 60}, 0);
    const Actions Out = D.P.reconcileMembers(PromotionHarness::at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m2"),
                         std::get<SealMember>(Out[0]).Member);
    const auto &Follow = std::get<FollowMember>(Out[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("m1:1"), Follow.Request.primary_address());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), Follow.Request.start().index());
    CPPUNIT_ASSERT(D.P.reconcileMembers(PromotionHarness::at(199)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(2), D.P.reconcileMembers(PromotionHarness::at(200)).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTest);

} // namespace
} // namespace borageridge::failover
