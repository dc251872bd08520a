#include "routing/ReadRouter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace borageridge::routing {
namespace {

using group::GroupView;
using group::MemberIndex;
using std::chrono::milliseconds;

constexpr MemberIndex A = 0;
constexpr MemberIndex B = 1;
constexpr MemberIndex C = 2;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

endpoint::MemberStatus makeStatus(endpoint::Role Role, LogIndex Received,
                                  LogIndex Applied, std::uint64_t Ping) {
  endpoint::MemberStatus Status;
  Status.set_ping_sequence(Ping);
  Status.set_role(Role);
  Status.set_term(1);
  Status.set_sealed_term(1);
  Status.mutable_received()->set_term(1);
  Status.mutable_received()->set_index(Received);
  Status.mutable_applied()->set_term(1);
  Status.mutable_applied()->set_index(Applied);
  return Status;
}

class ReadRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadRouterTest);
  CPPUNIT_TEST(sendsAReadThatAcceptsStaleDataToAReplica);
  CPPUNIT_TEST(sendsAReadThatRequiresCurrentDataToThePrimary);
  CPPUNIT_TEST(sendsAReadToThePrimaryWithoutAKnownReplicaAge);
  CPPUNIT_TEST(skipsAReplicaBehindTheSessionPosition);
  CPPUNIT_TEST(skipsAReplicaThatServesAnOlderTermThanTheSession);
  CPPUNIT_TEST(waitsForAReplicaWithASmallLag);
  CPPUNIT_TEST(doesNotWaitForAReplicaWithALargeLag);
  CPPUNIT_TEST(neverUsesAMemberThatIsNotUsable);
  CPPUNIT_TEST(neverTreatsAReplacedPrimaryAsAReplica);
  CPPUNIT_TEST(prefersTheOwnZoneUnlessItIsMuchSlower);
  CPPUNIT_TEST(spreadsAShareEvenly);
  CPPUNIT_TEST_SUITE_END();

  GroupView View{"ledger-1"};
  std::array<MemberLoad, 3> Loads;

public:
  void setUp() override {
    View = GroupView("ledger-1");
    record::GroupRecord Record;
    Record.set_term(1);
    Record.set_version(1);
    Record.set_phase(record::PHASE_ACTIVE);
    Record.set_primary("a");
    for (const char *Name : {"a", "b", "c"}) {
      record::Member *Added = Record.add_members();
      Added->set_name(Name);
      Added->set_availability_zone(std::string("az-") + Name);
    }
    View.applyRecord(Record, 1);
    Loads.fill({true, true, 0, Duration::zero()});
    report(A, endpoint::ROLE_PRIMARY, 10, 10, 1000);
    report(B, endpoint::ROLE_REPLICA, 10, 10, 1000);
    report(C, endpoint::ROLE_REPLICA, 10, 10, 1000);
  }

private:
  void report(MemberIndex Member, endpoint::Role Role, LogIndex Received,
              LogIndex Applied, int Milliseconds) {
    const auto Ping = static_cast<std::uint64_t>(Milliseconds);
    View.pingSent(Member, Ping, at(Milliseconds));
    View.statusReceived(Member, makeStatus(Role, Received, Applied, Ping),
                        at(Milliseconds + 1));
  }

  static ReadRequirements requirements(int AgeMilliseconds,
                                       int ArrivalMilliseconds,
                                       Position Session = {}) {
    return {Session, milliseconds(AgeMilliseconds), at(ArrivalMilliseconds),
            true};
  }

  Route route(const ReadRequirements &Requirements, int NowMilliseconds,
              std::string_view Zone = "az-x", std::uint64_t Random = 0) {
    return chooseRoute(View, Loads, Requirements, Zone, Random,
                       at(NowMilliseconds));
  }

  void sendsAReadThatAcceptsStaleDataToAReplica() {
    const Route Chosen = route(requirements(100, 1050), 1050);
    CPPUNIT_ASSERT(RouteKind::Replica == Chosen.Kind);
    CPPUNIT_ASSERT(Chosen.Member == B || Chosen.Member == C);
  }

  void sendsAReadThatRequiresCurrentDataToThePrimary() {
    CPPUNIT_ASSERT(RouteKind::Primary ==
                   route(requirements(0, 1050), 1050).Kind);
  }

  // Without recent samples the data of a replica may be arbitrarily old.
  void sendsAReadToThePrimaryWithoutAKnownReplicaAge() {
    CPPUNIT_ASSERT(RouteKind::Primary ==
                   route(requirements(100, 2000), 2100).Kind);
  }

  void skipsAReplicaBehindTheSessionPosition() {
    report(C, endpoint::ROLE_REPLICA, 12, 12, 1010);
    const Route Chosen = route(requirements(100, 1050, {1, 12}), 1050);
    CPPUNIT_ASSERT(RouteKind::Replica == Chosen.Kind);
    CPPUNIT_ASSERT_EQUAL(C, Chosen.Member);
  }

  void skipsAReplicaThatServesAnOlderTermThanTheSession() {
    const Route Chosen = route(requirements(100, 1000, {2, 5}), 1200);
    CPPUNIT_ASSERT(RouteKind::Replica != Chosen.Kind);
  }

  void waitsForAReplicaWithASmallLag() {
    View.primaryCommitted(1, 12, at(1040));
    const Route Chosen = route(requirements(100, 1050, {1, 12}), 1050);
    CPPUNIT_ASSERT(RouteKind::WaitForReplica == Chosen.Kind);
    CPPUNIT_ASSERT(Chosen.Until > at(1050));
    CPPUNIT_ASSERT(Chosen.Until <= at(1200));
  }

  void doesNotWaitForAReplicaWithALargeLag() {
    View.primaryCommitted(1, 12, at(1040));
    const Route Chosen = route(requirements(2000, 1500, {1, 12}), 1500);
    CPPUNIT_ASSERT(RouteKind::Primary == Chosen.Kind);
  }

  void neverUsesAMemberThatIsNotUsable() {
    Loads[B].Usable = false;
    for (std::uint64_t Random = 0; Random < 8; ++Random)
      CPPUNIT_ASSERT_EQUAL(
          C, route(requirements(100, 1050), 1050, "az-b", Random).Member);
    Loads[C].Usable = false;
    CPPUNIT_ASSERT(RouteKind::Primary ==
                   route(requirements(100, 1050), 1050).Kind);
  }

  // A replaced primary may hold entries that the new term discards.
  void neverTreatsAReplacedPrimaryAsAReplica() {
    record::GroupRecord Record = View.record();
    Record.set_version(2);
    Record.set_term(2);
    Record.set_primary("b");
    View.applyRecord(Record, 2);
    Loads[C].Usable = false;
    const Route Chosen = route(requirements(100, 1050), 1050);
    CPPUNIT_ASSERT(RouteKind::Primary == Chosen.Kind);
  }

  void prefersTheOwnZoneUnlessItIsMuchSlower() {
    Loads[B].Latency = milliseconds(2);
    Loads[C].Latency = milliseconds(3);
    CPPUNIT_ASSERT_EQUAL(C,
                         route(requirements(100, 1050), 1050, "az-c").Member);
    Loads[C].Latency = milliseconds(30);
    CPPUNIT_ASSERT_EQUAL(B,
                         route(requirements(100, 1050), 1050, "az-c").Member);
  }

  void spreadsAShareEvenly() {
    ShareCounter Counter;
    int Taken = 0;
    for (int I = 0; I < 1000; ++I)
      Taken += Counter.take(0.75) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(750, Taken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadRouterTest);

} // namespace
} // namespace borageridge::routing
