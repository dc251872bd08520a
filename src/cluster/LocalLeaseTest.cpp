#include "cluster/LocalLease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LocalLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LocalLeaseTest);
  CPPUNIT_TEST(aNewLeaseIsNotValid);
  CPPUNIT_TEST(itExpiresBeforeTheStoreExpiresIt);
  CPPUNIT_TEST(aLateReplyDoesNotExtendIt);
  CPPUNIT_TEST(repliesOutOfOrderDoNotShortenIt);
  CPPUNIT_TEST(aRenewalLastsAsLongAsTheGrant);
  CPPUNIT_TEST(anotherLeaseReplacesIt);
  CPPUNIT_TEST(itExpiresWhileTheDaemonIsSuspended);
  CPPUNIT_TEST(aDroppedLeaseIsNotValid);
  CPPUNIT_TEST(aRenewalStaysInTheEraOfTheGrant);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(seconds(100));

  void aNewLeaseIsNotValid() {
    CPPUNIT_ASSERT(!LocalLease().isValid(Start));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(0), LocalLease().id());
  }

  void aRenewalStaysInTheEraOfTheGrant() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(6), 3);
    Subject.renewed(Start + seconds(1));
    CPPUNIT_ASSERT_EQUAL(keyvalue::Era(3), Subject.era());
  }

  void itExpiresBeforeTheStoreExpiresIt() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(6));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(5800)));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(6)));
    CPPUNIT_ASSERT(
        !Subject.isValid(Start + seconds(6) - LocalLease::SafetyMargin));
  }

  void aLateReplyDoesNotExtendIt() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(6));
    // The reply to a renewal sent at 1 s arrives at 5 s.
    Subject.confirm(7, Start + seconds(1), seconds(6));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(7)));
  }

  void repliesOutOfOrderDoNotShortenIt() {
    LocalLease Subject;
    Subject.confirm(7, Start + seconds(2), seconds(6));
    Subject.confirm(7, Start + seconds(1), seconds(6));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(7500)));
  }

  void aRenewalLastsAsLongAsTheGrant() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(3));
    Subject.renewed(Start + seconds(2));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(4800)));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(5)));
  }

  void anotherLeaseReplacesIt() {
    LocalLease Subject;
    Subject.confirm(7, Start + seconds(2), seconds(6));
    Subject.confirm(8, Start, seconds(6));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(8), Subject.id());
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(6)));
  }

  // The clock also advances while the machine is suspended.
  void itExpiresWhileTheDaemonIsSuspended() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(6));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(60)));
  }

  void aDroppedLeaseIsNotValid() {
    LocalLease Subject;
    Subject.confirm(7, Start, seconds(6));
    Subject.drop();
    CPPUNIT_ASSERT(!Subject.isValid(Start));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(0), Subject.id());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalLeaseTest);

} // namespace
} // namespace borageridge::cluster
