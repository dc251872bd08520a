#include "change/Receivers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace borageridge::change {
namespace {

class ReceiversTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReceiversTest);
  CPPUNIT_TEST(aReceiverThatIsNotRegisteredAnyMoreStillCounts);
  CPPUNIT_TEST(aMemberThatStartsAnewIsAnotherReceiver);
  CPPUNIT_TEST(theFormerPrimaryIsAReceiverOfTheNewOne);
  CPPUNIT_TEST(anEndedReceiverRemainsUntilOthersHoldItsCommits);
  CPPUNIT_TEST(whatRemainsHoldsEveryAcknowledgedCommit);
  CPPUNIT_TEST_SUITE_END();

  cluster::GroupRecord Record;
  std::vector<catalog::Member> Members = {member("a", 1), member("b", 1)};

  static catalog::Member member(const std::string &Id, std::int64_t Born) {
    catalog::Member M;
    M.Id = Id;
    M.Incarnation = Born;
    return M;
  }

  static MemberReport report(const std::string &Id, LogIndex Received) {
    MemberReport R;
    R.Member = Id;
    R.Received = {1, Received};
    R.Incarnation = 1;
    return R;
  }

public:
  void setUp() override {
    Record.Primary = "a";
    Record.PrimaryTerm = 1;
    Record.PrimaryIncarnation = 1;
    Record.Receivers = {{"b", 1}, {"c", 1}};
  }

private:
  // Guards against the promotion of a member that lacks what only a lost one
  // had received.
  void aReceiverThatIsNotRegisteredAnyMoreStillCounts() {
    Members.push_back(member("n", 7));
    CPPUNIT_ASSERT((possibleReceivers(Record, Members) ==
                    Receivers{{"b", 1}, {"c", 1}, {"n", 7}}));
  }

  void aMemberThatStartsAnewIsAnotherReceiver() {
    Members[1].Incarnation = 2;
    CPPUNIT_ASSERT((possibleReceivers(Record, Members) ==
                    Receivers{{"b", 1}, {"b", 2}, {"c", 1}}));
  }

  void theFormerPrimaryIsAReceiverOfTheNewOne() {
    MemberReport Leader = report("b", 9);
    Leader.CurrentTerm = 2;
    CPPUNIT_ASSERT((receiversAfterChange(Record, Members, Leader) ==
                    Receivers{{"a", 1}, {"c", 1}}));
    // The same log under another id.
    Leader.CurrentTerm = 1;
    CPPUNIT_ASSERT(
        (receiversAfterChange(Record, Members, Leader) == Receivers{{"c", 1}}));
  }

  void anEndedReceiverRemainsUntilOthersHoldItsCommits() {
    const Receivers Possible = {{"b", 1}, {"c", 1}};
    std::vector<EndedReceiver> Ended = {{{"c", 1}, std::nullopt}};
    const std::vector<MemberReport> Behind = {report("b", 4)};
    CPPUNIT_ASSERT(remainingReceivers(Possible, Ended, Behind, 1) == Possible);
    Ended[0].NothingAfter = Position{1, 5};
    CPPUNIT_ASSERT(remainingReceivers(Possible, Ended, Behind, 1) == Possible);
    const std::vector<MemberReport> Equal = {report("b", 5)};
    CPPUNIT_ASSERT(
        (remainingReceivers(Possible, Ended, Equal, 1) == Receivers{{"b", 1}}));
    CPPUNIT_ASSERT(remainingReceivers(Possible, Ended, Equal, 2) == Possible);
  }

  // Whichever receivers end and whichever others report, the rule for the
  // choice of a candidate holds for those that remain.
  void whatRemainsHoldsEveryAcknowledgedCommit() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Count = *rc::gen::inRange<std::size_t>(1, 5);
      const auto Sync = *rc::gen::inRange<std::size_t>(1, Count + 1);
      const auto AtEnd = *rc::gen::inRange<LogIndex>(0, 20);
      Receivers Possible;
      std::vector<MemberReport> All;
      std::vector<EndedReceiver> Ended;
      std::vector<MemberReport> Running;
      for (std::size_t I = 0; I < Count; ++I) {
        const std::string Id(1, static_cast<char>('b' + I));
        const bool HasEnded = *rc::gen::arbitrary<bool>();
        Possible.push_back({Id, 1});
        All.push_back(report(
            Id, *rc::gen::inRange<LogIndex>(0, HasEnded ? AtEnd + 1 : 30)));
        if (HasEnded)
          Ended.push_back({{Id, 1}, Position{1, AtEnd}});
        else
          Running.push_back(All.back());
      }
      std::vector<LogIndex> Sorted;
      Sorted.reserve(All.size());
      for (const MemberReport &R : All)
        Sorted.push_back(R.Received.Index);
      std::sort(Sorted.rbegin(), Sorted.rend());
      const LogIndex Acknowledged = Sorted[Sync - 1];
      const Receivers Left = remainingReceivers(Possible, Ended, Running, Sync);
      const auto Holders =
          std::count_if(All.begin(), All.end(), [&](const MemberReport &R) {
            return R.Received.Index >= Acknowledged &&
                   std::find(Left.begin(), Left.end(),
                             cluster::Receiver{R.Member, 1}) != Left.end();
          });
      RC_ASSERT(Holders >= static_cast<std::ptrdiff_t>(Sync));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReceiversTest);

} // namespace
} // namespace borageridge::change
