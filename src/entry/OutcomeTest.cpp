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
  CPPUNIT_TEST(aWriteIsRepeatedOnlyIfItCertainlyDidNotRun);
  CPPUNIT_TEST(aWriteWhoseAnswerIsLostIsInDoubt);
  CPPUNIT_TEST(aWriteAtAGivenUpPrimaryIsInDoubt);
  CPPUNIT_TEST(readsAreRepeatedAfterAnyLoss);
  CPPUNIT_TEST(aReadAtAGivenUpPrimaryIsRepeated);
  CPPUNIT_TEST(aTransactionMovesOnlyBeforeItsFirstAnswer);
  CPPUNIT_TEST(aCommitWithWritesAndNoAnswerIsInDoubt);
  CPPUNIT_TEST(aCommitWithoutWritesCanBeAborted);
  CPPUNIT_TEST(aCommitThatDidNotRunIsAborted);
  CPPUNIT_TEST(aFailedCommitIsNotCalledAborted);
  CPPUNIT_TEST_SUITE_END();

  void aWriteIsRepeatedOnlyIfItCertainlyDidNotRun() {
    CPPUNIT_ASSERT(judgeWrite(CallFailure::NotSent, true) == Next::Retry);
    for (const ErrorCode Code : AllErrors)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name(Code)), saysNotRun(Code),
                                   judgeWrite(failure(Code), true) ==
                                       Next::Retry);
  }

  void aWriteWhoseAnswerIsLostIsInDoubt() {
    CPPUNIT_ASSERT(judgeWrite(CallFailure::MayHaveRun, true) == Next::InDoubt);
  }

  void aWriteAtAGivenUpPrimaryIsInDoubt() {
    CPPUNIT_ASSERT(judgeWrite(success(), true) == Next::Answer);
    CPPUNIT_ASSERT(judgeWrite(success(), false) == Next::InDoubt);
  }

  void readsAreRepeatedAfterAnyLoss() {
    CPPUNIT_ASSERT(judgeRead(CallFailure::NotSent, true) == Next::Retry);
    CPPUNIT_ASSERT(judgeRead(CallFailure::MayHaveRun, true) == Next::Retry);
    CPPUNIT_ASSERT(judgeRead(failure(ErrorCode::Failed), true) == Next::Retry);
  }

  void aReadAtAGivenUpPrimaryIsRepeated() {
    CPPUNIT_ASSERT(judgeRead(success(), true) == Next::Answer);
    CPPUNIT_ASSERT(judgeRead(success(), false) == Next::Retry);
  }

  void aTransactionMovesOnlyBeforeItsFirstAnswer() {
    for (const Attempt &Result :
         {Attempt(CallFailure::NotSent), Attempt(CallFailure::MayHaveRun),
          failure(ErrorCode::Busy), failure(ErrorCode::Failed)}) {
      CPPUNIT_ASSERT(judgeInTransaction(Result, true, true) == Next::Retry);
      CPPUNIT_ASSERT(judgeInTransaction(Result, true, false) == Next::Abort);
    }
    CPPUNIT_ASSERT(judgeInTransaction(success(), false, false) == Next::Abort);
  }

  void aCommitWithWritesAndNoAnswerIsInDoubt() {
    CPPUNIT_ASSERT(judgeCommit(CallFailure::MayHaveRun, true, true) ==
                   Next::InDoubt);
    CPPUNIT_ASSERT(judgeCommit(success(), false, true) == Next::InDoubt);
    CPPUNIT_ASSERT(judgeCommit(CallFailure::NotSent, true, true) ==
                   Next::Abort);
  }

  void aCommitWithoutWritesCanBeAborted() {
    CPPUNIT_ASSERT(judgeCommit(CallFailure::MayHaveRun, true, false) ==
                   Next::Abort);
    CPPUNIT_ASSERT(judgeCommit(success(), false, false) == Next::Answer);
  }

  void aCommitThatDidNotRunIsAborted() {
    CPPUNIT_ASSERT(judgeCommit(failure(ErrorCode::ReadOnly), true, true) ==
                   Next::Abort);
    CPPUNIT_ASSERT(judgeCommit(failure(ErrorCode::Busy), true, true) ==
                   Next::Abort);
  }

  void aFailedCommitIsNotCalledAborted() {
    CPPUNIT_ASSERT(judgeCommit(failure(ErrorCode::Failed), true, true) ==
                   Next::InDoubt);
    CPPUNIT_ASSERT(judgeCommit(failure(ErrorCode::TimedOut), true, true) ==
                   Next::InDoubt);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

} // namespace
} // namespace borageridge::entry
