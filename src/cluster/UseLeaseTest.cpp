#include "cluster/UseLease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UseLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UseLeaseTest);
  CPPUNIT_TEST(aNewLeaseIsNotValid);
  CPPUNIT_TEST(itEndsBeforeTheStoreEndsIt);
  CPPUNIT_TEST(aLateAnswerDoesNotLengthenIt);
  CPPUNIT_TEST(answersOutOfOrderDoNotShortenIt);
  CPPUNIT_TEST(aRenewalLastsAsLongAsTheGrant);
  CPPUNIT_TEST(anotherLeaseReplacesIt);
  CPPUNIT_TEST(aSuspendedDaemonFindsItOver);
  CPPUNIT_TEST(aDroppedLeaseIsNotValid);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(seconds(100));

  void aNewLeaseIsNotValid() {
    CPPUNIT_ASSERT(!UseLease().isValid(Start));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(0), UseLease().id());
  }

  void itEndsBeforeTheStoreEndsIt() {
    UseLease Subject;
    Subject.confirm(7, Start, seconds(6));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(5800)));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(6)));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(6) - UseLease::Margin));
  }

  void aLateAnswerDoesNotLengthenIt() {
    UseLease Subject;
    Subject.confirm(7, Start, seconds(6));
    // The answer to a renewal sent at one second arrives at five.
    Subject.confirm(7, Start + seconds(1), seconds(6));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(7)));
  }

  void answersOutOfOrderDoNotShortenIt() {
    UseLease Subject;
    Subject.confirm(7, Start + seconds(2), seconds(6));
    Subject.confirm(7, Start + seconds(1), seconds(6));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(7500)));
  }

  void aRenewalLastsAsLongAsTheGrant() {
    UseLease Subject;
    Subject.confirm(7, Start, seconds(3));
    Subject.renewed(Start + seconds(2));
    CPPUNIT_ASSERT(Subject.isValid(Start + milliseconds(4800)));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(5)));
  }

  void anotherLeaseReplacesIt() {
    UseLease Subject;
    Subject.confirm(7, Start + seconds(2), seconds(6));
    Subject.confirm(8, Start, seconds(6));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(8), Subject.id());
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(6)));
  }

  // Its clock counts the time in which the machine stood still.
  void aSuspendedDaemonFindsItOver() {
    UseLease Subject;
    Subject.confirm(7, Start, seconds(6));
    CPPUNIT_ASSERT(!Subject.isValid(Start + seconds(60)));
  }

  void aDroppedLeaseIsNotValid() {
    UseLease Subject;
    Subject.confirm(7, Start, seconds(6));
    Subject.drop();
    CPPUNIT_ASSERT(!Subject.isValid(Start));
    CPPUNIT_ASSERT_EQUAL(keyvalue::LeaseId(0), Subject.id());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UseLeaseTest);

} // namespace
} // namespace borageridge::cluster
