#include "authority/Authority.h"
#include "authority/Fingerprint.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::authority {
namespace {

Time at(int Ms) { return Time(std::chrono::milliseconds(Ms)); }

catalog::Catalog withOrganisation() {
  catalog::Catalog Result;
  Result.HasOrganisations = true;
  Result.Organisations["mill"].Name = "mill";
  Result.OrganisationByFingerprint[fingerprintOf("k1")] = "mill";
  return Result;
}

class AuthorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuthorityTest);
  CPPUNIT_TEST(withoutOrganisationsEveryCallerIsServed);
  CPPUNIT_TEST(keyNamesTheOrganisation);
  CPPUNIT_TEST(unknownKeyIsRefusedAlsoForADatabaseThatDoesNotExist);
  CPPUNIT_TEST(publicRouteNeedsNoKey);
  CPPUNIT_TEST(outdatedConfigurationServesNoKey);
  CPPUNIT_TEST(keysAreServedUntilTheLimitOfRevocations);
  CPPUNIT_TEST(storeIsAskedAgainWellBeforeTheLimit);
  CPPUNIT_TEST(noRevokedKeyIsServedAfterItsLimitWhateverIsLost);
  CPPUNIT_TEST_SUITE_END();

  static void assertVerdict(Verdict Expected, const Decision &Seen) {
    CPPUNIT_ASSERT_EQUAL(std::string(name(Expected)),
                         std::string(name(Seen.Result)));
  }

  void withoutOrganisationsEveryCallerIsServed() {
    const catalog::Route Route;
    const Decision Seen = decide({}, &Route, fingerprintOf("any"), false);
    assertVerdict(Verdict::Allowed, Seen);
    CPPUNIT_ASSERT(Seen.Organisation.empty());
  }

  void keyNamesTheOrganisation() {
    const catalog::Catalog Known = withOrganisation();
    const catalog::Route Route;
    const Decision Seen = decide(Known, &Route, fingerprintOf("k1"), true);
    assertVerdict(Verdict::Allowed, Seen);
    CPPUNIT_ASSERT_EQUAL(std::string_view("mill"), Seen.Organisation);
  }

  void unknownKeyIsRefusedAlsoForADatabaseThatDoesNotExist() {
    const catalog::Catalog Known = withOrganisation();
    const catalog::Route Route;
    assertVerdict(Verdict::UnknownKey,
                  decide(Known, &Route, fingerprintOf("k2"), true));
    assertVerdict(Verdict::UnknownKey,
                  decide(Known, nullptr, fingerprintOf("k2"), true));
    assertVerdict(Verdict::UnknownDatabase,
                  decide(Known, nullptr, fingerprintOf("k1"), true));
  }

  void publicRouteNeedsNoKey() {
    const catalog::Catalog Known = withOrganisation();
    catalog::Route Route;
    Route.Public = true;
    const Decision Unknown = decide(Known, &Route, fingerprintOf("k2"), false);
    assertVerdict(Verdict::Allowed, Unknown);
    CPPUNIT_ASSERT(Unknown.Organisation.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string_view("mill"),
        decide(Known, &Route, fingerprintOf("k1"), true).Organisation);
  }

  void outdatedConfigurationServesNoKey() {
    const catalog::Catalog Known = withOrganisation();
    const catalog::Route Route;
    assertVerdict(Verdict::OutdatedConfig,
                  decide(Known, &Route, fingerprintOf("k1"), false));
    assertVerdict(Verdict::OutdatedConfig,
                  decide(Known, &Route, fingerprintOf("k2"), false));
  }

  void keysAreServedUntilTheLimitOfRevocations() {
    Recency Seen;
    CPPUNIT_ASSERT(Seen.isRecent(at(0)));
    Seen.setLimit(std::chrono::seconds(5));
    CPPUNIT_ASSERT(!Seen.isRecent(at(0)));
    Seen.config().apply(1);
    Seen.config().confirm(at(0), 1);
    CPPUNIT_ASSERT(Seen.isRecent(at(4600)));
    CPPUNIT_ASSERT(!Seen.isRecent(at(4700)));
  }

  void storeIsAskedAgainWellBeforeTheLimit() {
    Recency Seen;
    CPPUNIT_ASSERT(!Seen.needsCheck(0, at(9000)));
    Seen.setLimit(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Seen.needsCheck(1, at(0)));
    Seen.config().apply(1);
    Seen.config().confirm(at(0), 1);
    CPPUNIT_ASSERT(!Seen.needsCheck(0, at(1999)));
    CPPUNIT_ASSERT(Seen.needsCheck(0, at(2000)));
    CPPUNIT_ASSERT(!Seen.needsCheck(1, at(2999)));
    CPPUNIT_ASSERT(Seen.needsCheck(1, at(3001)));
  }

  // Plays every order of questions, answers and a revocation on a grid: each
  // question is asked at a step, reaches the store at a later one, and is
  // answered at a third or never. Guards against an age that is counted from
  // the answer, or kept when a newer version is known.
  void noRevokedKeyIsServedAfterItsLimitWhateverIsLost() {
    constexpr int StepMs = 500;
    constexpr int Steps = 8;
    constexpr int LimitMs = 2000;
    int Served = 0;
    for (int Revoked = 0; Revoked < Steps; ++Revoked)
      for (int Asked = 0; Asked < Steps; ++Asked)
        for (int Read = Asked; Read < Steps; ++Read)
          for (int Answered = Read; Answered < Steps; ++Answered)
            for (const bool Applies : {false, true})
              for (int Sent = Answered; Sent < 2 * Steps; ++Sent) {
                Recency Daemon;
                Daemon.setLimit(std::chrono::milliseconds(LimitMs));
                Daemon.config().apply(1);
                const bool SeesNewer = Read > Revoked;
                Daemon.config().confirm(at(Asked * StepMs), SeesNewer ? 2 : 1);
                if (SeesNewer && Applies)
                  Daemon.config().apply(2);
                const bool HasKey = !(SeesNewer && Applies);
                if (!HasKey || !Daemon.isRecent(at(Sent * StepMs)))
                  continue;
                ++Served;
                CPPUNIT_ASSERT((Sent - Revoked) * StepMs <= LimitMs);
              }
    CPPUNIT_ASSERT(Served > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthorityTest);

} // namespace
} // namespace borageridge::authority
