#include "pool/MemberHealth.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::pool {
namespace {

using std::chrono::milliseconds;

class MemberHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberHealthTest);
  CPPUNIT_TEST(aNewMemberIsNotSuspected);
  CPPUNIT_TEST(aSilentMemberIsSuspectedAfterTheTimeout);
  CPPUNIT_TEST(aRefusingMemberIsSuspectedAtOnce);
  CPPUNIT_TEST(aReplyEndsSuspicion);
  CPPUNIT_TEST(silenceCountsFromTheLastReply);
  CPPUNIT_TEST(refusalTakesPrecedenceOverSilence);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time(std::chrono::seconds(100));
  MemberHealth Subject;

  void aNewMemberIsNotSuspected() {
    CPPUNIT_ASSERT(!Subject.isSuspected(Start));
    CPPUNIT_ASSERT(!Subject.evidence(Start));
  }

  void aSilentMemberIsSuspectedAfterTheTimeout() {
    Subject.recordTimeout(Start);
    CPPUNIT_ASSERT(!Subject.isSuspected(Start + MemberHealth::SuspicionTimeout -
                                        milliseconds(1)));
    CPPUNIT_ASSERT(Subject.isSuspected(Start + MemberHealth::SuspicionTimeout));
  }

  void aRefusingMemberIsSuspectedAtOnce() {
    Subject.recordRefusal(Start);
    CPPUNIT_ASSERT(Subject.isSuspected(Start));
  }

  void aReplyEndsSuspicion() {
    Subject.recordTimeout(Start);
    Subject.recordRefusal(Start);
    Subject.recordReply(Start + milliseconds(900));
    CPPUNIT_ASSERT(!Subject.isSuspected(Start + milliseconds(5000)));
  }

  void silenceCountsFromTheLastReply() {
    Subject.recordReply(Start + milliseconds(300));
    Subject.recordTimeout(Start);
    const auto Seen = Subject.evidence(Start + milliseconds(500));
    CPPUNIT_ASSERT(Seen->Elapsed == milliseconds(200));
  }

  void refusalTakesPrecedenceOverSilence() {
    Subject.recordTimeout(Start);
    Subject.recordRefusal(Start + milliseconds(100));
    const auto Seen = Subject.evidence(Start + milliseconds(300));
    CPPUNIT_ASSERT(Seen->Refused);
    CPPUNIT_ASSERT(Seen->Elapsed == milliseconds(200));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberHealthTest);

} // namespace
} // namespace borageridge::pool
