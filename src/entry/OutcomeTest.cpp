#include "entry/Outcome.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::entry {
namespace {

using pool::CallFailure;
using statement::ErrorCode;
using statement::TransactionState;

constexpr ErrorCode AllErrors[] = {ErrorCode::Busy,
                                   ErrorCode::Lagging,
                                   ErrorCode::ReadOnly,
                                   ErrorCode::Misrouted,
                                   ErrorCode::TooManyConnections,
                                   ErrorCode::UnknownStatement,
                                   ErrorCode::Aborted,
                                   ErrorCode::Failed,
                                   ErrorCode::TimedOut,
                                   ErrorCode::InDoubt,
                                   ErrorCode::Unauthenticated,
                                   ErrorCode::UnknownDatabase,
                                   ErrorCode::TooLarge,
                                   ErrorCode::Malformed};

Attempt success() { return statement::localSuccess(TransactionState::None); }

Attempt failure(ErrorCode Code) {
  return statement::localError(Code, "", TransactionState::None);
}

class OutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeTest);
  CPPUNIT_TEST(retriesWriteOnlyIfItCertainlyDidNotRun);
  CPPUNIT_TEST(writeWithLostAnswerIsInDoubt);
  CPPUNIT_TEST(writeAnsweredByRelinquishedPrimaryIsInDoubt);
  CPPUNIT_TEST(retriesReadAfterAnyLoss);
  CPPUNIT_TEST(retriesReadAnsweredByRelinquishedPrimary);
  CPPUNIT_TEST(retriesTransactionOnlyBeforeItsFirstAnswer);
  CPPUNIT_TEST(commitOfWritesWithLostAnswerIsInDoubt);
  CPPUNIT_TEST(commitWithoutWritesIsNeverInDoubt);
  CPPUNIT_TEST(commitThatDidNotRunIsAborted);
  CPPUNIT_TEST(failedCommitOfWritesIsInDoubt);
  CPPUNIT_TEST_SUITE_END();

  void retriesWriteOnlyIfItCertainlyDidNotRun() {
    CPPUNIT_ASSERT(actionAfterWrite(CallFailure::NotSent, true) ==
                   NextAction::Retry);
    for (const ErrorCode Code : AllErrors)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name(Code)), saysNotRun(Code),
                                   actionAfterWrite(failure(Code), true) ==
                                       NextAction::Retry);
  }

  void writeWithLostAnswerIsInDoubt() {
    CPPUNIT_ASSERT(actionAfterWrite(CallFailure::MayHaveRun, true) ==
                   NextAction::InDoubt);
  }

  void writeAnsweredByRelinquishedPrimaryIsInDoubt() {
    CPPUNIT_ASSERT(actionAfterWrite(success(), true) == NextAction::Answer);
    CPPUNIT_ASSERT(actionAfterWrite(success(), false) == NextAction::InDoubt);
  }

  void retriesReadAfterAnyLoss() {
    CPPUNIT_ASSERT(actionAfterRead(CallFailure::NotSent, true) ==
                   NextAction::Retry);
    CPPUNIT_ASSERT(actionAfterRead(CallFailure::MayHaveRun, true) ==
                   NextAction::Retry);
    CPPUNIT_ASSERT(actionAfterRead(failure(ErrorCode::Failed), true) ==
                   NextAction::Retry);
  }

  void retriesReadAnsweredByRelinquishedPrimary() {
    CPPUNIT_ASSERT(actionAfterRead(success(), true) == NextAction::Answer);
    CPPUNIT_ASSERT(actionAfterRead(success(), false) == NextAction::Retry);
  }

  void retriesTransactionOnlyBeforeItsFirstAnswer() {
    for (const Attempt &Result :
         {Attempt(CallFailure::NotSent), Attempt(CallFailure::MayHaveRun),
          failure(ErrorCode::Busy), failure(ErrorCode::Failed)}) {
      CPPUNIT_ASSERT(actionAfterTransactionStatement(Result, true, true) ==
                     NextAction::Retry);
      CPPUNIT_ASSERT(actionAfterTransactionStatement(Result, true, false) ==
                     NextAction::Abort);
    }
    CPPUNIT_ASSERT(actionAfterTransactionStatement(success(), false, false) ==
                   NextAction::Abort);
  }

  void commitOfWritesWithLostAnswerIsInDoubt() {
    CPPUNIT_ASSERT(actionAfterCommit(CallFailure::MayHaveRun, true, true) ==
                   NextAction::InDoubt);
    CPPUNIT_ASSERT(actionAfterCommit(success(), false, true) ==
                   NextAction::InDoubt);
    CPPUNIT_ASSERT(actionAfterCommit(CallFailure::NotSent, true, true) ==
                   NextAction::Abort);
  }

  void commitWithoutWritesIsNeverInDoubt() {
    CPPUNIT_ASSERT(actionAfterCommit(CallFailure::MayHaveRun, true, false) ==
                   NextAction::Abort);
    CPPUNIT_ASSERT(actionAfterCommit(success(), false, false) ==
                   NextAction::Answer);
  }

  void commitThatDidNotRunIsAborted() {
    CPPUNIT_ASSERT(actionAfterCommit(failure(ErrorCode::ReadOnly), true,
                                     true) == NextAction::Abort);
    CPPUNIT_ASSERT(actionAfterCommit(failure(ErrorCode::Busy), true, true) ==
                   NextAction::Abort);
  }

  void failedCommitOfWritesIsInDoubt() {
    CPPUNIT_ASSERT(actionAfterCommit(failure(ErrorCode::Failed), true, true) ==
                   NextAction::InDoubt);
    CPPUNIT_ASSERT(actionAfterCommit(failure(ErrorCode::TimedOut), true,
                                     true) == NextAction::InDoubt);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

} // namespace
} // namespace borageridge::entry
