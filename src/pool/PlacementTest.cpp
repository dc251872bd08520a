#include "pool/Placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace borageridge::pool {
namespace {

using catalog::Consistency;
using std::chrono::milliseconds;

constexpr Time Now = Time(std::chrono::seconds(100));
constexpr Position RequiredPosition = {1, 50};

MemberLoad member(bool Primary) {
  MemberLoad M;
  M.Primary = Primary;
  M.Usable = true;
  M.SameZone = true;
  M.HasIdleConnection = true;
  M.Slots = 3;
  M.Applied = {1, 60};
  M.AppliedSeenAt = Now;
  return M;
}

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(writesUseOnlyThePrimary);
  CPPUNIT_TEST(readsPreferReplicas);
  CPPUNIT_TEST(readsUseThePrimaryWhenReplicasAreFull);
  CPPUNIT_TEST(readsWithoutAKnownPositionNeedThePrimary);
  CPPUNIT_TEST(aReplicaKnownToLagIsSkipped);
  CPPUNIT_TEST(anOldLagObservationExpires);
  CPPUNIT_TEST(loadOfOtherDaemonsCounts);
  CPPUNIT_TEST(aFullMemberMakesStatementsWait);
  CPPUNIT_TEST(aDaemonKeepsItsShareOfAMemberLoadedByOthers);
  CPPUNIT_TEST(aDaemonMayUseCapacityLeftByOthers);
  CPPUNIT_TEST(replicasInTheSameZoneArePreferred);
  CPPUNIT_TEST(anExcludedReplicaIsSkipped);
  CPPUNIT_TEST(anUnusablePrimaryMakesWritesWait);
  CPPUNIT_TEST(aReplicaMustHaveTheRequiredPosition);
  CPPUNIT_TEST(ownCommitsOfTheSameEpochRaiseThePosition);
  CPPUNIT_TEST(ownCommitsOfAnEarlierEpochAreIgnored);
  CPPUNIT_TEST(boundedReadsIgnoreOwnCommits);
  CPPUNIT_TEST(readsOfAPrimaryRouteNeverUseReplicas);
  CPPUNIT_TEST_SUITE_END();

  std::array<MemberLoad, 3> Members = {member(true), member(false),
                                       member(false)};
  PlacementRequest Read = makeRead();

  static PlacementRequest makeRead() {
    PlacementRequest D;
    D.Reads = Consistency::ReadYourWrites;
    return D;
  }

  std::size_t chosen(const PlacementRequest &D,
                     std::optional<Position> Required) {
    const auto Chosen = chooseMember(Members, D, Required, Now);
    CPPUNIT_ASSERT(Chosen.has_value());
    return Chosen->Member;
  }

  void aFullMemberMakesStatementsWait() {
    PlacementRequest Write;
    Write.NeedsPrimary = true;
    Members[0].OwnInFlight = 2 * Members[0].Slots;
    CPPUNIT_ASSERT(!chooseMember(Members, Write, std::nullopt, Now));
  }

  void aDaemonKeepsItsShareOfAMemberLoadedByOthers() {
    CPPUNIT_ASSERT_EQUAL(2U, concurrencyLimit(3, 4, 30));
    CPPUNIT_ASSERT_EQUAL(1U, concurrencyLimit(2, 8, 30));
  }

  void aDaemonMayUseCapacityLeftByOthers() {
    CPPUNIT_ASSERT_EQUAL(6U, concurrencyLimit(3, 4, 0));
    CPPUNIT_ASSERT_EQUAL(4U, concurrencyLimit(3, 4, 2));
  }

  void writesUseOnlyThePrimary() {
    PlacementRequest Write;
    Write.NeedsPrimary = true;
    Members[0].OwnInFlight = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Write, std::nullopt));
  }

  void readsPreferReplicas() {
    Members[1].OwnInFlight = 2;
    Members[2].OwnInFlight = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, RequiredPosition));
  }

  void readsUseThePrimaryWhenReplicasAreFull() {
    Members[1].OwnInFlight = Members[2].OwnInFlight = 4;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Read, RequiredPosition));
  }

  void readsWithoutAKnownPositionNeedThePrimary() {
    Members[0].OwnInFlight = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), chosen(Read, std::nullopt));
  }

  void aReplicaKnownToLagIsSkipped() {
    Members[1].Applied = {1, 49};
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, RequiredPosition));
  }

  void anOldLagObservationExpires() {
    Members[1].Applied = {1, 49};
    Members[1].AppliedSeenAt = Now - milliseconds(400);
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), chosen(Read, RequiredPosition));
  }

  void loadOfOtherDaemonsCounts() {
    Members[1].OthersInFlight = 3;
    Members[2].OwnInFlight = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, RequiredPosition));
  }

  void replicasInTheSameZoneArePreferred() {
    Members[1].SameZone = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, RequiredPosition));
  }

  void anExcludedReplicaIsSkipped() {
    Members[1].Excluded = true;
    Members[2].OwnInFlight = 2;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen(Read, RequiredPosition));
  }

  void anUnusablePrimaryMakesWritesWait() {
    PlacementRequest Write;
    Write.NeedsPrimary = true;
    Members[0].Usable = false;
    CPPUNIT_ASSERT(!chooseMember(Members, Write, std::nullopt, Now));
  }

  void aReplicaMustHaveTheRequiredPosition() {
    Members[0].Usable = false;
    const auto Chosen = chooseMember(Members, Read, RequiredPosition, Now);
    CPPUNIT_ASSERT(Chosen->RequiredPosition == RequiredPosition);
  }

  void ownCommitsOfTheSameEpochRaiseThePosition() {
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 9;
    CPPUNIT_ASSERT_EQUAL((Position{1, 70}),
                         *replicaPosition(Read, RequiredPosition, 9));
  }

  void ownCommitsOfAnEarlierEpochAreIgnored() {
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 8;
    CPPUNIT_ASSERT_EQUAL(RequiredPosition,
                         *replicaPosition(Read, RequiredPosition, 9));
  }

  void boundedReadsIgnoreOwnCommits() {
    Read.Reads = Consistency::BoundedStaleness;
    Read.OwnCommit = Position{1, 70};
    Read.OwnCommitEpoch = 9;
    CPPUNIT_ASSERT_EQUAL(RequiredPosition,
                         *replicaPosition(Read, RequiredPosition, 9));
  }

  void readsOfAPrimaryRouteNeverUseReplicas() {
    Read.Reads = Consistency::Primary;
    CPPUNIT_ASSERT(!replicaPosition(Read, RequiredPosition, 9));
    Read.Reads = Consistency::ReadYourWrites;
    Read.NeedsPrimary = true;
    CPPUNIT_ASSERT(!replicaPosition(Read, RequiredPosition, 9));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace
} // namespace borageridge::pool
