#include "load/RequestProgress.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace borageridge::load {
namespace {

using std::chrono::milliseconds;
using Kind = TryResult::Kind;

constexpr Time Start{};

RequestProgress job() { return {true, false, Start, ClientSpec{}}; }
RequestProgress registerWrite() { return {true, true, Start, ClientSpec{}}; }

TryResult notRun(caller::RefusalReason Reason, bool Move = false) {
  return {Kind::Refused, Reason, caller::EXECUTION_NOT_RUN, {}, Move};
}

TryResult unknown() {
  return {Kind::Refused,
          caller::REFUSAL_REASON_UNCONFIRMED,
          caller::EXECUTION_UNKNOWN,
          {},
          false};
}

/// A caller that settles a request wrongly would make the checker blame the
/// proxy for the caller's own mistake.
class RequestProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestProgressTest);
  CPPUNIT_TEST(notRunOfTheOnlyTryEndsTheRequest);
  CPPUNIT_TEST(notRunAfterAnUnknownTryDoesNotSettleTheRequest);
  CPPUNIT_TEST(aRefusedRecordSettlesTheRequestAfterAnUnknownTry);
  CPPUNIT_TEST(anUnknownJobIsSentAgainOnceAndThenLookedUp);
  CPPUNIT_TEST(anUnknownRepeatableWriteIsSentAgain);
  CPPUNIT_TEST(aHintToMoveLeadsToAnotherProxy);
  CPPUNIT_TEST(anUnsettledJobEndsAsUnknown);
  CPPUNIT_TEST(aReadEndsAfterItsTries);
  CPPUNIT_TEST(waitsAtLeastTheRetryAfterTime);
  CPPUNIT_TEST_SUITE_END();

  void notRunOfTheOnlyTryEndsTheRequest() {
    auto Progress = job();
    const auto Next =
        Progress.onTry(notRun(caller::REFUSAL_REASON_QUEUE_FULL), Start);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::Finish);
    CPPUNIT_ASSERT(Next.Outcome == Result::NotRun);
  }

  void notRunAfterAnUnknownTryDoesNotSettleTheRequest() {
    auto Progress = job();
    Progress.onTry({}, Start);
    const auto Next =
        Progress.onTry(notRun(caller::REFUSAL_REASON_QUEUE_FULL), Start);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::LookUp);
  }

  void aRefusedRecordSettlesTheRequestAfterAnUnknownTry() {
    auto Progress = job();
    Progress.onTry({}, Start);
    const auto Next =
        Progress.onTry(notRun(caller::REFUSAL_REASON_SETTLED), Start);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::Finish);
    CPPUNIT_ASSERT(Next.Outcome == Result::NotRun);
  }

  void anUnknownJobIsSentAgainOnceAndThenLookedUp() {
    auto Progress = job();
    CPPUNIT_ASSERT(Progress.onTry(unknown(), Start).Step ==
                   NextStep::Kind::Execute);
    const auto Next = Progress.onTry({}, Start);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::LookUp);
    CPPUNIT_ASSERT(Next.Elsewhere);
    const auto Last = Progress.onTry({Kind::LookUpNotRun}, Start);
    CPPUNIT_ASSERT(Last.Outcome == Result::NotRun);
  }

  void anUnknownRepeatableWriteIsSentAgain() {
    auto Progress = registerWrite();
    for (int I = 0; I < 5; ++I)
      CPPUNIT_ASSERT(Progress.onTry({}, Start).Step == NextStep::Kind::Execute);
  }

  void aHintToMoveLeadsToAnotherProxy() {
    auto Progress = job();
    const auto Next =
        Progress.onTry(notRun(caller::REFUSAL_REASON_DRAINING, true), Start);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::Execute);
    CPPUNIT_ASSERT(Next.Elsewhere);
  }

  void anUnsettledJobEndsAsUnknown() {
    auto Progress = job();
    const auto Next = Progress.onTry({}, Start + ClientSpec{}.SettleTimeout);
    CPPUNIT_ASSERT(Next.Step == NextStep::Kind::Finish);
    CPPUNIT_ASSERT(Next.Outcome == Result::Unknown);
  }

  void aReadEndsAfterItsTries() {
    RequestProgress Progress(false, true, Start, ClientSpec{});
    for (std::uint32_t I = 1; I < ClientSpec{}.MaxReadTries; ++I)
      CPPUNIT_ASSERT(Progress.onTry({}, Start).Step == NextStep::Kind::Execute);
    CPPUNIT_ASSERT(Progress.onTry({}, Start).Step == NextStep::Kind::Finish);
  }

  void waitsAtLeastTheRetryAfterTime() {
    auto Progress = job();
    auto Refusal = unknown();
    Refusal.RetryAfter = milliseconds(700);
    CPPUNIT_ASSERT(Progress.onTry(Refusal, Start).Delay == milliseconds(700));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestProgressTest);

} // namespace
} // namespace borageridge::load
