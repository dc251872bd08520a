#include "pool/Placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace borageridge::pool {
namespace {

using catalog::Consistency;
using std::chrono::milliseconds;

constexpr Time Now = Time(std::chrono::seconds(100));
constexpr Position Asked = {1, 50};

MemberLoad member(bool Primary) {
  MemberLoad M;
  M.Primary = Primary;
  M.Usable = true;
  M.SameZone = true;
  M.HasIdleConnection = true;
  M.Slots = 3;
  M.Applied = {1, 60};
  M.AppliedSeen = Now;
  return M;
}

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(writesGoToThePrimaryOnly);
  CPPUNIT_TEST(readsLeaveThePrimaryToWrites);
  CPPUNIT_TEST(readsUseThePrimaryWhenReplicasAreFull);
  CPPUNIT_TEST(readsWithoutAKnownPositionNeedThePrimary);
  CPPUNIT_TEST(aReplicaKnownToLagIsPassedOver);
  CPPUNIT_TEST(aReplicaThatLaggedLongAgoIsAskedAgain);
  CPPUNIT_TEST(theWorkOfOtherDaemonsCounts);
  CPPUNIT_TEST(aFullMemberMakesStatementsWait);
  CPPUNIT_TEST(aDaemonHasItsShareOfAMemberThatOthersFill);
  CPPUNIT_TEST(aDaemonMayUseWhatOthersLeave);
  CPPUNIT_TEST(equalReplicasAreTakenInTheOwnZone);
  CPPUNIT_TEST(anExcludedReplicaIsPassedOver);
  CPPUNIT_TEST(anUnusablePrimaryMakesWritesWait);
  CPPUNIT_TEST(aReplicaMustHaveThePositionAskedFor);
  CPPUNIT_TEST(ownCommitsOfTheSameEpochRaiseThePosition);
  CPPUNIT_TEST(ownCommitsOfAnEarlierEpochAreCovered);
  CPPUNIT_TEST(boundedReadsIgnoreOwnCommits);
  CPPUNIT_TEST(readsOfAPrimaryRouteNeverUseReplicas);
  CPPUNIT_TEST_SUITE_END();

  std::array<MemberLoad, 3> Members = {member(true), member(false),
                                       member(false)};
  Demand Read = makeRead();

  static Demand makeRead() {
    Demand D;
    D.Reads = Consistency::ReadYourWrites;
    return D;
  }

  std::size_t chosen(const Demand &D, std::optional<Position> Required) {
    const auto Place = choosePlace(Members, D, Required, Now);
    CPPUNIT_ASSERT(Place.has_value());
    return Place->Member;
  }

  void aFullMemberMakesStatementsWait() {
    Demand Write;
    Write.NeedsPrimary = true;
    Members[0].OwnInFlight = 2 * Members[0].Slots;
    CPPUNIT_ASSERT(!choosePlace(Members, Write, std::nullopt, Now));
  }

  void aDaemonHasItsShareOfAMemberThatOthersFill() {
    CPPUNIT_ASSERT_EQUAL(2U, concurrencyLimit(3, 4, 30));
    CPPUNIT_ASSERT_EQUAL(1U, concurrencyLimit(2, 8, 30));
  }

  void aDaemonMayUseWhatOthersLeave() {
    CPPUNIT_ASSERT_EQUAL(6U, concurrencyLimit(3, 4, 0));
    CPPUNIT_ASSERT_EQUAL(4U, concurrencyLimit(3, 4, 2));
  }

  void writesGoToThePrimaryOnly() {
    Demand Write;
    Write.NeedsPrimary = true;
    Members[0].OwnInFlight = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Write, std::nullopt));
  }

  void readsLeaveThePrimaryToWrites() {
    Members[1].OwnInFlight = 2;
    Members[2].OwnInFlight = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, Asked));
  }

  void readsUseThePrimaryWhenReplicasAreFull() {
    Members[1].OwnInFlight = Members[2].OwnInFlight = 4;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Read, Asked));
  }

  void readsWithoutAKnownPositionNeedThePrimary() {
    Members[0].OwnInFlight = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Read, std::nullopt));
  }

  void aReplicaKnownToLagIsPassedOver() {
    Members[1].Applied = {1, 49};
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, Asked));
  }

  void aReplicaThatLaggedLongAgoIsAskedAgain() {
    Members[1].Applied = {1, 49};
    Members[1].AppliedSeen = Now - milliseconds(400);
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen(Read, Asked));
  }

  void theWorkOfOtherDaemonsCounts() {
    Members[1].OthersInFlight = 3;
    Members[2].OwnInFlight = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, Asked));
  }

  void equalReplicasAreTakenInTheOwnZone() {
    Members[1].SameZone = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, Asked));
  }

  void anExcludedReplicaIsPassedOver() {
    Members[1].Excluded = true;
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, Asked));
  }

  void anUnusablePrimaryMakesWritesWait() {
    Demand Write;
    Write.NeedsPrimary = true;
    Members[0].Usable = false;
    CPPUNIT_ASSERT(!choosePlace(Members, Write, std::nullopt, Now));
  }

  void aReplicaMustHaveThePositionAskedFor() {
    Members[0].Usable = false;
    const auto Place = choosePlace(Members, Read, Asked, Now);
    CPPUNIT_ASSERT(Place->After == Asked);
  }

  void ownCommitsOfTheSameEpochRaiseThePosition() {
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 9;
    CPPUNIT_ASSERT_EQUAL((Position{1, 70}), *replicaPosition(Read, Asked, 9));
  }

  void ownCommitsOfAnEarlierEpochAreCovered() {
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 8;
    CPPUNIT_ASSERT_EQUAL(Asked, *replicaPosition(Read, Asked, 9));
  }

  void boundedReadsIgnoreOwnCommits() {
    Read.Reads = Consistency::BoundedStaleness;
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 9;
    CPPUNIT_ASSERT_EQUAL(Asked, *replicaPosition(Read, Asked, 9));
  }

  void readsOfAPrimaryRouteNeverUseReplicas() {
    Read.Reads = Consistency::Primary;
    CPPUNIT_ASSERT(!replicaPosition(Read, Asked, 9));
    Read.Reads = Consistency::ReadYourWrites;
    Read.NeedsPrimary = true;
    CPPUNIT_ASSERT(!replicaPosition(Read, Asked, 9));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace
} // namespace borageridge::pool
