#include "session/TermHistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace borageridge::session {
namespace {

using Log = std::vector<Term>; // Term of each entry; the first has index 1.

record::GroupRecord recordOf(const std::vector<std::array<Term, 3>> &Terms) {
  record::GroupRecord Record;
  for (const auto &[Number, Index, EntryTerm] : Terms) {
    record::TermStart *Start = Record.add_history();
    Start->set_term(Number);
    Start->set_start_index(Index);
    Start->set_start_entry_term(EntryTerm);
  }
  return Record;
}

// Reference model: three members with complete logs. Each step appends,
// replicates or promotes as the protocol allows. Written records every entry
// that was ever appended.
class ReferenceGroup {
public:
  ReferenceGroup() { Record = recordOf({{1, 0, 0}}); }

  void append(int Count) {
    for (int I = 0; I < Count; ++I) {
      Members[Primary].push_back(Number);
      Written.insert({Number, Members[Primary].size()});
    }
  }

  // Copies a prefix of the primary's log to the replica, unless the replica
  // already has a longer log with this prefix.
  void replicate(std::size_t Replica, std::size_t Entries) {
    const Log &Source = Members[Primary];
    Log Shared = Source;
    Shared.resize(std::min(Entries, Source.size()));
    const Log &Present = Members[Replica];
    const bool Longer =
        Present.size() > Shared.size() &&
        std::equal(Shared.begin(), Shared.end(), Present.begin());
    if (!Longer)
      Members[Replica] = Shared;
  }

  // Starts the next term from the log that is further ahead of two reachable
  // members.
  void promote(std::size_t First, std::size_t Second, Term Skipped) {
    Number += 1 + Skipped;
    Primary = last(First) < last(Second) ? Second : First;
    const Position Start = last(Primary);
    record::TermStart *Entry = Record.add_history();
    Entry->set_term(Number);
    Entry->set_start_index(Start.Index);
    Entry->set_start_entry_term(Start.EntryTerm);
    append(1);
  }

  bool contains(Position Wanted) const {
    const Log &Newest = Members[Primary];
    return Wanted.Index <= Newest.size() &&
           Newest[Wanted.Index - 1] == Wanted.EntryTerm;
  }

  std::set<Position> Written;
  record::GroupRecord Record;

private:
  Position last(std::size_t Member) const {
    const Log &Entries = Members[Member];
    return {Entries.empty() ? 0 : Entries.back(), Entries.size()};
  }

  Term Number = 1;
  std::size_t Primary = 0;
  std::array<Log, 3> Members;
};

void randomStep(ReferenceGroup &Group) {
  const auto Member = *rc::gen::inRange<std::size_t>(0, 3);
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    return Group.append(*rc::gen::inRange(1, 5));
  case 1:
  case 2:
    return Group.replicate(Member, *rc::gen::inRange<std::size_t>(0, 40));
  default:
    return Group.promote(Member, (Member + 1) % 3, *rc::gen::inRange(0, 2));
  }
}

class TermHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TermHistoryTest);
  CPPUNIT_TEST(agreesWithFullLogsOfThreeMembers);
  CPPUNIT_TEST(entriesDiscardedByALaterTermAreNotContained);
  CPPUNIT_TEST(positionOfANewerTermIsNotContained);
  CPPUNIT_TEST(positionsOfDroppedTermsAreComparedByIndex);
  CPPUNIT_TEST(memberHoldsEntriesUpToItsOwnIndex);
  CPPUNIT_TEST(emptyHistoryContainsOnlyTheZeroPosition);
  CPPUNIT_TEST(corruptRecordWithACycleContainsNoOlderTerm);
  CPPUNIT_TEST_SUITE_END();

  void agreesWithFullLogsOfThreeMembers() {
    CPPUNIT_ASSERT(rc::check([] {
      ReferenceGroup Group;
      const int Steps = *rc::gen::inRange(1, 40);
      for (int I = 0; I < Steps; ++I)
        randomStep(Group);
      const TermHistory History = TermHistory::fromRecord(Group.Record);
      for (const Position &Wanted : Group.Written)
        RC_ASSERT(History.contains(Wanted) == Group.contains(Wanted));
    }));
  }

  // Guards against comparing start indexes alone: term 2 wrote entry 11 on one
  // member only, and term 3 starts from the log of another member, which has
  // 100 entries of term 1.
  void entriesDiscardedByALaterTermAreNotContained() {
    const auto History =
        TermHistory::fromRecord(recordOf({{1, 0, 0}, {2, 10, 1}, {3, 100, 1}}));
    CPPUNIT_ASSERT(!History.contains({2, 11}));
    CPPUNIT_ASSERT(History.contains({1, 50}));
    CPPUNIT_ASSERT(!History.contains({1, 101}));
    CPPUNIT_ASSERT(History.contains({3, 101}));
  }

  void positionOfANewerTermIsNotContained() {
    const auto History = TermHistory::fromRecord(recordOf({{1, 0, 0}}));
    CPPUNIT_ASSERT(!History.contains({2, 1}));
    CPPUNIT_ASSERT_EQUAL(Term(1), History.newestTerm());
  }

  void positionsOfDroppedTermsAreComparedByIndex() {
    std::vector<std::array<Term, 3>> Terms;
    const Term Count = TermHistory::MaxTerms + 10;
    for (Term Number = 1; Number <= Count; ++Number)
      Terms.push_back({Number, (Number - 1) * 10, Number - 1});
    const auto History = TermHistory::fromRecord(recordOf(Terms));
    CPPUNIT_ASSERT_EQUAL(Count, History.newestTerm());
    CPPUNIT_ASSERT(History.contains({3, 25}));
    CPPUNIT_ASSERT(History.contains({3, 100}));
    CPPUNIT_ASSERT(!History.contains({3, 101}));
  }

  void memberHoldsEntriesUpToItsOwnIndex() {
    const auto History =
        TermHistory::fromRecord(recordOf({{1, 0, 0}, {2, 10, 1}}));
    CPPUNIT_ASSERT(History.reached({1, 8}, 8));
    CPPUNIT_ASSERT(!History.reached({1, 8}, 7));
    CPPUNIT_ASSERT(!History.reached({1, 11}, 20));
    CPPUNIT_ASSERT(History.reached({0, 0}, 0));
  }

  void emptyHistoryContainsOnlyTheZeroPosition() {
    const TermHistory History;
    CPPUNIT_ASSERT(History.contains({0, 0}));
    CPPUNIT_ASSERT(!History.contains({1, 1}));
    CPPUNIT_ASSERT_EQUAL(Term(0), History.newestTerm());
  }

  // Guards against an endless loop on a corrupt record.
  void corruptRecordWithACycleContainsNoOlderTerm() {
    const auto Self =
        TermHistory::fromRecord(recordOf({{1, 0, 0}, {2, 10, 2}}));
    CPPUNIT_ASSERT(!Self.contains({1, 5}));
    const auto Cycle =
        TermHistory::fromRecord(recordOf({{2, 10, 3}, {3, 10, 2}}));
    CPPUNIT_ASSERT(!Cycle.contains({1, 5}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermHistoryTest);

} // namespace
} // namespace borageridge::session
