#include "change/LeadBack.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace borageridge::change {
namespace {

using std::chrono::milliseconds;

class LeadBackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadBackTest);
  CPPUNIT_TEST(leadsBackToThePrimaryOnceTheOthersHaveShownThatTheyCannotFollow);
  CPPUNIT_TEST(waitsLongerForABusyReplicaAndForALeavingPrimary);
  CPPUNIT_TEST(usesAPrimaryWithANewIdAtOnce);
  CPPUNIT_TEST(aProcessThatLostItsLogIsNotTheRecordedPrimary);
  CPPUNIT_TEST(aPrimaryIsPromotedIfAnotherMemberMayLead);
  CPPUNIT_TEST(aSynchronousServiceWaitsUntilNoPromotionCanTakeEffect);
  CPPUNIT_TEST(aPrimaryThatHasSteppedDownIsPromoted);
  CPPUNIT_TEST_SUITE_END();

  cluster::GroupRecord Record{9, 4, "p", true, 1};
  std::vector<MemberReport> Reports;
  std::optional<Position> KnownPosition = Position{4, 10};
  bool HasContenders = false;
  bool ContendersMayRun = false;
  bool IsSynchronous = false;
  bool AwaitsReports = false;
  bool IsLeaving = false;

  static MemberReport report(const std::string &Id, bool Leads, Term In,
                             std::int64_t Incarnation = 1) {
    MemberReport R;
    R.Member = Id;
    R.Primary = Leads;
    R.CurrentTerm = In;
    R.Received = {4, 12};
    R.Incarnation = Incarnation;
    return R;
  }

  std::optional<LeadBack> after(Duration Waited) {
    return chooseLeadBack({.Record = Record,
                           .Reports = Reports,
                           .KnownPosition = KnownPosition,
                           .HasContenders = HasContenders,
                           .ContendersMayRun = ContendersMayRun,
                           .IsSynchronous = IsSynchronous,
                           .AwaitsReports = AwaitsReports,
                           .IsLeaving = IsLeaving,
                           .Waited = Waited});
  }

  void leadsBackToThePrimaryOnceTheOthersHaveShownThatTheyCannotFollow() {
    Reports = {report("p", true, 4)};
    CPPUNIT_ASSERT(!after(milliseconds(500)));
    const auto Back = after(milliseconds(600));
    CPPUNIT_ASSERT(Back && Back->Leads);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), Back->Member.Member);
  }

  void waitsLongerForABusyReplicaAndForALeavingPrimary() {
    Reports = {report("p", true, 4)};
    AwaitsReports = true;
    CPPUNIT_ASSERT(!after(milliseconds(3400)));
    CPPUNIT_ASSERT(after(milliseconds(3500)));
    AwaitsReports = false;
    IsLeaving = true;
    CPPUNIT_ASSERT(!after(milliseconds(3400)));
    CPPUNIT_ASSERT(after(milliseconds(3500)));
  }

  // Guards against a service that stands still although its primary is back.
  void usesAPrimaryWithANewIdAtOnce() {
    Reports = {report("q", false, 4), report("p2", true, 4, 7)};
    const auto Back = after(Duration::zero());
    CPPUNIT_ASSERT(Back && Back->Leads);
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), Back->Member.Member);
    Reports[1].Leaving = true;
    CPPUNIT_ASSERT(!after(Duration::zero()));
  }

  // Guards against the loss of commits that the replicas still hold.
  void aProcessThatLostItsLogIsNotTheRecordedPrimary() {
    Reports = {report("p", true, 4, 2)};
    CPPUNIT_ASSERT(!after(std::chrono::seconds(9)));
    Reports = {report("p2", true, 4, 2)};
    Reports[0].Received = {4, 9};
    CPPUNIT_ASSERT(!after(std::chrono::seconds(9)));
    KnownPosition.reset();
    CPPUNIT_ASSERT(after(std::chrono::seconds(9)));
  }

  // Guards against the use of two primaries: the new term ends that of a member
  // that nobody sees.
  void aPrimaryIsPromotedIfAnotherMemberMayLead() {
    Reports = {report("p", true, 4)};
    HasContenders = ContendersMayRun = true;
    const auto Back = after(milliseconds(600));
    CPPUNIT_ASSERT(Back && !Back->Leads);
    Reports = {report("p2", true, 4, 7)};
    CPPUNIT_ASSERT(!after(Duration::zero())->Leads);
  }

  // Guards against a late promotion that rolls back acknowledged commits.
  void aSynchronousServiceWaitsUntilNoPromotionCanTakeEffect() {
    Reports = {report("p", true, 4)};
    IsSynchronous = true;
    HasContenders = ContendersMayRun = true;
    CPPUNIT_ASSERT(!after(std::chrono::seconds(9)));
    ContendersMayRun = false;
    CPPUNIT_ASSERT(!after(std::chrono::seconds(9))->Leads);
  }

  // Guards against a change that has nobody left after its candidate failed.
  void aPrimaryThatHasSteppedDownIsPromoted() {
    Reports = {report("p", false, 5)};
    CPPUNIT_ASSERT(!after(milliseconds(3400)));
    const auto Back = after(milliseconds(3500));
    CPPUNIT_ASSERT(Back && !Back->Leads);
    Reports = {report("p", false, 5, 2)};
    CPPUNIT_ASSERT(!after(std::chrono::seconds(9)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadBackTest);

} // namespace
} // namespace borageridge::change
