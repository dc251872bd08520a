#include "pool/MemberHealth.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::pool {
namespace {

using std::chrono::milliseconds;

class MemberHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberHealthTest);
  CPPUNIT_TEST(aMemberIsTrustedAtFirst);
  CPPUNIT_TEST(silenceIsSuspectedAfterItsTime);
  CPPUNIT_TEST(refusalIsSuspectedAtOnce);
  CPPUNIT_TEST(anAnswerClearsTheMember);
  CPPUNIT_TEST(silenceCountsFromTheLastAnswer);
  CPPUNIT_TEST(refusalIsReportedBeforeSilence);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(100));
  MemberHealth Subject;

  void aMemberIsTrustedAtFirst() {
    CPPUNIT_ASSERT(!Subject.isSuspected(Start));
    CPPUNIT_ASSERT(!Subject.evidence(Start));
  }

  void silenceIsSuspectedAfterItsTime() {
    Subject.unanswered(Start);
    CPPUNIT_ASSERT(!Subject.isSuspected(Start + MemberHealth::Suspicion -
                                        milliseconds(1)));
    CPPUNIT_ASSERT(Subject.isSuspected(Start + MemberHealth::Suspicion));
  }

  void refusalIsSuspectedAtOnce() {
    Subject.refused(Start);
    CPPUNIT_ASSERT(Subject.isSuspected(Start));
  }

  void anAnswerClearsTheMember() {
    Subject.unanswered(Start);
    Subject.refused(Start);
    Subject.answered(Start + milliseconds(900));
    CPPUNIT_ASSERT(!Subject.isSuspected(Start + milliseconds(5000)));
  }

  void silenceCountsFromTheLastAnswer() {
    Subject.answered(Start + milliseconds(300));
    Subject.unanswered(Start);
    const auto Seen = Subject.evidence(Start + milliseconds(500));
    CPPUNIT_ASSERT(Seen->Lasted == milliseconds(200));
  }

  void refusalIsReportedBeforeSilence() {
    Subject.unanswered(Start);
    Subject.refused(Start + milliseconds(100));
    const auto Seen = Subject.evidence(Start + milliseconds(300));
    CPPUNIT_ASSERT(Seen->Refused);
    CPPUNIT_ASSERT(Seen->Lasted == milliseconds(200));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberHealthTest);

} // namespace
} // namespace borageridge::pool
