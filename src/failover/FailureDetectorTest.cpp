#include "failover/FailureDetector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::failover {
namespace {

using std::chrono::milliseconds;

class FailureDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureDetectorTest);
  CPPUNIT_TEST(silenceOfThreePingIntervalsSuspects);
  CPPUNIT_TEST(refusalSuspectsAtOnce);
  CPPUNIT_TEST(consecutiveAnswersClearASuspicion);
  CPPUNIT_TEST(aBurstOfPushedStatusesDoesNotClearASuspicion);
  CPPUNIT_TEST(aSlowMemberThatAnswersIsNeverSuspected);
  CPPUNIT_TEST(aPauseOfThisProcessDoesNotCountAsSilence);
  CPPUNIT_TEST(silenceIsConfirmedByTwoZonesAfterItsDelay);
  CPPUNIT_TEST(refusalIsConfirmedByTwoZonesAfterItsDelay);
  CPPUNIT_TEST(twoProxiesOfOneZoneDoNotConfirm);
  CPPUNIT_TEST(reportsOfAllLiveProxiesSuffice);
  CPPUNIT_TEST(healthyReportsOpposeAConfirmation);
  CPPUNIT_TEST(evidenceOfPeersExpires);
  CPPUNIT_TEST(evidenceOnOtherDatabasesOrFromThisProxyIsIgnored);
  CPPUNIT_TEST(aRefusalThatIsNotRepeatedBecomesSilence);
  CPPUNIT_TEST(oneLevelPolicyConfirmsByQuickEvidence);
  CPPUNIT_TEST_SUITE_END();

  const std::vector<ranking::ProxyIdentity> Live{
      {"p1", "az-1"}, {"p2", "az-1"}, {"p3", "az-2"}};

  static Time at(int Ms) { return Time(milliseconds(Ms)); }

  static FailureDetector
  make(ConfirmationPolicy Policy = ConfirmationPolicy::TwoLevel) {
    FailureDetectorSettings Settings;
    Settings.Policy = Policy;
    return FailureDetector("ledger-1", {"p1", "az-1"}, Settings);
  }

  static void pingUntil(FailureDetector &S, int From, int To) {
    for (int Ms = From; Ms <= To; Ms += 100)
      S.pingSent("m1", at(Ms));
  }

  static peer::Evidence evidence(const char *Observer, const char *Zone,
                                 peer::EvidenceKind Kind, int ForMs) {
    peer::Evidence E;
    E.set_database("ledger-1");
    E.set_member("m1");
    E.set_kind(Kind);
    E.set_for_ms(ForMs);
    E.set_observer(Observer);
    E.set_observer_availability_zone(Zone);
    return E;
  }

  void silenceOfThreePingIntervalsSuspects() {
    FailureDetector S = make();
    S.statusReceived("m1", at(0));
    pingUntil(S, 100, 300);
    CPPUNIT_ASSERT(!S.isSuspected("m1", at(399)));
    CPPUNIT_ASSERT(S.isSuspected("m1", at(400)));
  }

  void refusalSuspectsAtOnce() {
    FailureDetector S = make();
    S.connectionRefused("m1", at(0));
    CPPUNIT_ASSERT(S.isSuspected("m1", at(0)));
    CPPUNIT_ASSERT(!S.isSuspected("m2", at(0)));
  }

  // Guards against a member that flaps in and out of the routing.
  void consecutiveAnswersClearASuspicion() {
    FailureDetector S = make();
    S.connectionRefused("m1", at(0));
    for (const int Ms : {100, 200, 400, 500}) {
      S.pingSent("m1", at(Ms));
      S.statusReceived("m1", at(Ms + 5));
      CPPUNIT_ASSERT(S.isSuspected("m1", at(Ms + 5)));
      // The ping at 300 ms gets no answer, so that the count starts again.
      if (Ms == 200)
        S.pingSent("m1", at(300));
    }
    S.pingSent("m1", at(600));
    S.statusReceived("m1", at(605));
    CPPUNIT_ASSERT(!S.isSuspected("m1", at(605)));
  }

  void aBurstOfPushedStatusesDoesNotClearASuspicion() {
    FailureDetector S = make();
    S.connectionRefused("m1", at(0));
    S.pingSent("m1", at(100));
    for (int I = 0; I < 10; ++I)
      S.statusReceived("m1", at(105));
    CPPUNIT_ASSERT(S.isSuspected("m1", at(105)));
  }

  // Guards against a promotion away from an overloaded primary whose answers
  // are slower than the quick level but continue to arrive.
  void aSlowMemberThatAnswersIsNeverSuspected() {
    FailureDetector S = make();
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 5000),
                       at(0));
    for (int Ms = 0; Ms < 5000; Ms += 100) {
      S.pingSent("m1", at(Ms));
      if (Ms >= 800)
        S.statusReceived("m1", at(Ms + 50));
      if (Ms < 1200)
        continue;
      CPPUNIT_ASSERT(!S.isSuspected("m1", at(Ms + 99)));
      CPPUNIT_ASSERT(!S.isConfirmed("m1", {}, at(Ms + 99)));
    }
  }

  void aPauseOfThisProcessDoesNotCountAsSilence() {
    FailureDetector S = make();
    S.statusReceived("m1", at(0));
    S.pingSent("m1", at(100));
    S.pingSent("m1", at(10100));
    CPPUNIT_ASSERT(!S.isSuspected("m1", at(10100)));
    pingUntil(S, 10200, 10300);
    CPPUNIT_ASSERT(S.isSuspected("m1", at(10300)));
  }

  void silenceIsConfirmedByTwoZonesAfterItsDelay() {
    FailureDetector S = make();
    pingUntil(S, 0, 1100);
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 1200),
                       at(1100));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(1199)));
    CPPUNIT_ASSERT(S.isConfirmed("m1", Live, at(1200)));
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 1199),
                       at(1200));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(1200)));
  }

  void refusalIsConfirmedByTwoZonesAfterItsDelay() {
    FailureDetector S = make();
    for (int Ms = 0; Ms <= 200; Ms += 100)
      S.connectionRefused("m1", at(Ms));
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_REFUSED, 300),
                       at(250));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(299)));
    CPPUNIT_ASSERT(S.isConfirmed("m1", Live, at(300)));
  }

  // Guards against a promotion because one availability zone lost its network.
  void twoProxiesOfOneZoneDoNotConfirm() {
    FailureDetector S = make();
    pingUntil(S, 0, 2000);
    S.evidenceReceived(evidence("p2", "az-1", peer::EVIDENCE_KIND_SILENT, 2000),
                       at(2000));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(2000)));
  }

  void reportsOfAllLiveProxiesSuffice() {
    FailureDetector S = make();
    pingUntil(S, 0, 2000);
    CPPUNIT_ASSERT(S.isConfirmed("m1", {}, at(2000)));
    const std::span<const ranking::ProxyIdentity> OneZone(Live.data(), 2);
    CPPUNIT_ASSERT(!S.isConfirmed("m1", OneZone, at(2000)));
    S.evidenceReceived(evidence("p2", "az-1", peer::EVIDENCE_KIND_SILENT, 2000),
                       at(2000));
    CPPUNIT_ASSERT(S.isConfirmed("m1", OneZone, at(2000)));
  }

  void healthyReportsOpposeAConfirmation() {
    FailureDetector S = make();
    pingUntil(S, 0, 2000);
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 2000),
                       at(2000));
    S.evidenceReceived(evidence("p4", "az-3", peer::EVIDENCE_KIND_HEALTHY, 0),
                       at(2000));
    CPPUNIT_ASSERT(S.isConfirmed("m1", Live, at(2000)));
    S.evidenceReceived(evidence("p5", "az-4", peer::EVIDENCE_KIND_HEALTHY, 0),
                       at(2000));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(2000)));
  }

  void evidenceOfPeersExpires() {
    FailureDetector S = make();
    pingUntil(S, 0, 2700);
    S.evidenceReceived(evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 2000),
                       at(2000));
    CPPUNIT_ASSERT(S.isConfirmed("m1", Live, at(2600)));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(2601)));
  }

  void evidenceOnOtherDatabasesOrFromThisProxyIsIgnored() {
    FailureDetector S = make();
    pingUntil(S, 0, 2000);
    peer::Evidence Foreign =
        evidence("p3", "az-2", peer::EVIDENCE_KIND_SILENT, 2000);
    Foreign.set_database("ledger-2");
    S.evidenceReceived(Foreign, at(2000));
    S.evidenceReceived(evidence("p1", "az-2", peer::EVIDENCE_KIND_SILENT, 2000),
                       at(2000));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(2000)));
  }

  void aRefusalThatIsNotRepeatedBecomesSilence() {
    FailureDetector S = make();
    S.connectionRefused("m1", at(0));
    pingUntil(S, 100, 600);
    const std::vector<peer::Evidence> Own = S.ownEvidence(at(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Own.size());
    CPPUNIT_ASSERT_EQUAL(peer::EVIDENCE_KIND_SILENT, Own[0].kind());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(600), Own[0].for_ms());
    CPPUNIT_ASSERT_EQUAL(std::string("az-1"),
                         Own[0].observer_availability_zone());
  }

  void oneLevelPolicyConfirmsByQuickEvidence() {
    FailureDetector S = make(ConfirmationPolicy::OneLevel);
    pingUntil(S, 0, 200);
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(299)));
    CPPUNIT_ASSERT(S.isConfirmed("m1", Live, at(300)));
    S.statusReceived("m1", at(301));
    CPPUNIT_ASSERT(!S.isConfirmed("m1", Live, at(301)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);

} // namespace
} // namespace borageridge::failover
