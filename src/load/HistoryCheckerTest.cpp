#include "load/HistoryChecker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace borageridge::load {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

/// A request that is sent at Start and answered 2 ms later in term 1.
Operation answered(OperationKind Kind, SessionId Session, std::uint64_t Value,
                   int Start) {
  Operation Op;
  Op.Kind = Kind;
  Op.Session = Session;
  Op.Value = Value;
  Op.Outcome = Result::Acknowledged;
  Op.FirstSent = Op.Sent = at(Start);
  Op.Completed = at(Start + 2);
  Op.ServedTerm = 1;
  return Op;
}

Operation registerWrite(SessionId Session, std::uint64_t Value, int Start) {
  return answered(OperationKind::RegisterWrite, Session, Value, Start);
}

Operation jobInsert(SessionId Session, std::uint64_t Number, int Start) {
  return answered(OperationKind::JobInsert, Session, Number, Start);
}

Operation registerRead(SessionId Session, SessionId Key, std::uint64_t Value,
                       int Start) {
  Operation Op = answered(OperationKind::RegisterRead, Session, 0, Start);
  Op.ExpectedValues = 1;
  Op.Values = {{Key, Value}};
  return Op;
}

Operation jobRead(SessionId Session, std::uint64_t Number, std::uint64_t Count,
                  int Start) {
  Operation Op = answered(OperationKind::JobRead, Session, Number, Start);
  Op.Count = Count;
  return Op;
}

/// Session 1 writes its register twice and one job; session 2 reads.
std::vector<Operation> cleanHistory() {
  return {registerWrite(1, 1, 0),    registerRead(2, 1, 1, 10),
          registerWrite(1, 2, 20),   registerRead(1, 1, 2, 30),
          registerRead(2, 1, 2, 40), jobInsert(1, 1, 50),
          jobRead(1, 1, 1, 60)};
}

FinalState cleanState() { return {{{0, 1, 2}, {0, 2, 0}}, {{0, 1, 1, 1}}}; }

void assertOnly(ViolationKind Expected, const std::vector<Operation> &History,
                const FinalState &Final) {
  const auto Found = HistoryChecker(History).check(Final);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Found.size());
  CPPUNIT_ASSERT_EQUAL(Expected, Found.front().Kind);
}

/// Each test plants one fault in a clean history and requires that exactly
/// this fault is found.
class HistoryCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(acceptsACleanHistory);
  CPPUNIT_TEST(acceptsAnUnknownWriteWithAndWithoutEffect);
  CPPUNIT_TEST(acceptsAnOldAnswerWithinTheAcceptedAge);
  CPPUNIT_TEST(acceptsAnOldTermAnswerThatWasSentBeforeTheNewTerm);
  CPPUNIT_TEST(findsALostRegisterWrite);
  CPPUNIT_TEST(findsALostJob);
  CPPUNIT_TEST(findsADoubledJobInTheFinalState);
  CPPUNIT_TEST(findsADoubledJobInARead);
  CPPUNIT_TEST(findsAReadThatMissesTheSessionsOwnRegisterWrite);
  CPPUNIT_TEST(findsAReadThatMissesTheSessionsOwnJob);
  CPPUNIT_TEST(findsAReadThatGoesBackInTime);
  CPPUNIT_TEST(findsAJobThatRanAfterNotRun);
  CPPUNIT_TEST(findsARegisterValueThatWasAnsweredAsNotRun);
  CPPUNIT_TEST(findsAnAnswerOfAnotherRequest);
  CPPUNIT_TEST(findsAnAnswerWithoutItsMarker);
  CPPUNIT_TEST(findsAnAnswerWithMissingRows);
  CPPUNIT_TEST(findsAnAnswerOlderThanAccepted);
  CPPUNIT_TEST(findsAValueThatNobodyWrote);
  CPPUNIT_TEST(findsAnAcknowledgementOfAReplacedPrimary);
  CPPUNIT_TEST_SUITE_END();

  void acceptsACleanHistory() {
    const auto History = cleanHistory();
    const auto Found = HistoryChecker(History).check(cleanState());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Found.size());
  }

  void acceptsAnUnknownWriteWithAndWithoutEffect() {
    auto History = cleanHistory();
    History.push_back(registerWrite(1, 3, 70));
    History.back().Outcome = Result::Unknown;
    History.push_back(jobInsert(1, 2, 80));
    History.back().Outcome = Result::Unknown;
    FinalState Effect = cleanState();
    Effect.Registers[0].Value = 3;
    Effect.Jobs.push_back({0, 1, 2, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         HistoryChecker(History).check(Effect).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         HistoryChecker(History).check(cleanState()).size());
  }

  void acceptsAnOldAnswerWithinTheAcceptedAge() {
    auto History = cleanHistory();
    Operation Old = registerRead(3, 1, 1, 100);
    Old.AcceptedAge = milliseconds(79);
    History.push_back(Old);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         HistoryChecker(History).check(cleanState()).size());
  }

  void acceptsAnOldTermAnswerThatWasSentBeforeTheNewTerm() {
    auto History = cleanHistory();
    History.push_back(registerWrite(2, 1, 70));
    History.back().ServedTerm = 2;
    History.push_back(registerWrite(3, 1, 71));
    History.back().Completed = at(200);
    FinalState Final = cleanState();
    Final.Registers = {{0, 1, 2}, {0, 2, 1}, {0, 3, 1}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         HistoryChecker(History).check(Final).size());
  }

  void findsALostRegisterWrite() {
    FinalState Final = cleanState();
    Final.Registers[0].Value = 1;
    assertOnly(ViolationKind::LostWrite, cleanHistory(), Final);
  }

  void findsALostJob() {
    FinalState Final = cleanState();
    Final.Jobs.clear();
    assertOnly(ViolationKind::LostWrite, cleanHistory(), Final);
  }

  void findsADoubledJobInTheFinalState() {
    FinalState Final = cleanState();
    Final.Jobs[0].Count = 2;
    assertOnly(ViolationKind::DoubledWrite, cleanHistory(), Final);
  }

  void findsADoubledJobInARead() {
    auto History = cleanHistory();
    History.back().Count = 2;
    assertOnly(ViolationKind::DoubledWrite, History, cleanState());
  }

  void findsAReadThatMissesTheSessionsOwnRegisterWrite() {
    auto History = cleanHistory();
    // An accepted age must not excuse a missing own write.
    History[3].AcceptedAge = milliseconds(1000);
    History[3].Values[0].Value = 1;
    assertOnly(ViolationKind::StaleOwnRead, History, cleanState());
  }

  void findsAReadThatMissesTheSessionsOwnJob() {
    auto History = cleanHistory();
    History.back().Count = 0;
    assertOnly(ViolationKind::StaleOwnRead, History, cleanState());
  }

  void findsAReadThatGoesBackInTime() {
    auto History = cleanHistory();
    Operation Back = registerRead(2, 1, 1, 100);
    Back.AcceptedAge = milliseconds(1000);
    History.push_back(Back);
    assertOnly(ViolationKind::NonMonotonicRead, History, cleanState());
  }

  void findsAJobThatRanAfterNotRun() {
    auto History = cleanHistory();
    History.push_back(jobInsert(1, 2, 70));
    History.back().Outcome = Result::NotRun;
    FinalState Final = cleanState();
    Final.Jobs.push_back({0, 1, 2, 1});
    assertOnly(ViolationKind::FalseNotRun, History, Final);
  }

  void findsARegisterValueThatWasAnsweredAsNotRun() {
    auto History = cleanHistory();
    History.push_back(registerWrite(1, 3, 70));
    History.back().Outcome = Result::NotRun;
    History.push_back(registerRead(2, 1, 3, 80));
    History.push_back(registerWrite(1, 4, 90));
    FinalState Final = cleanState();
    Final.Registers[0].Value = 4;
    assertOnly(ViolationKind::FalseNotRun, History, Final);
  }

  void findsAnAnswerOfAnotherRequest() {
    auto History = cleanHistory();
    History[4].Marker = MarkerCheck::Foreign;
    assertOnly(ViolationKind::MixedAnswer, History, cleanState());
  }

  void findsAnAnswerWithoutItsMarker() {
    auto History = cleanHistory();
    History[4].Marker = MarkerCheck::Missing;
    assertOnly(ViolationKind::IncompleteAnswer, History, cleanState());
  }

  void findsAnAnswerWithMissingRows() {
    auto History = cleanHistory();
    History[4].ExpectedValues = 2;
    assertOnly(ViolationKind::IncompleteAnswer, History, cleanState());
  }

  void findsAnAnswerOlderThanAccepted() {
    auto History = cleanHistory();
    Operation Old = registerRead(3, 1, 1, 100);
    Old.AcceptedAge = milliseconds(77);
    History.push_back(Old);
    assertOnly(ViolationKind::TooOldAnswer, History, cleanState());
  }

  void findsAValueThatNobodyWrote() {
    auto History = cleanHistory();
    History.push_back(registerRead(3, 1, 9, 100));
    assertOnly(ViolationKind::UnexplainedValue, History, cleanState());
  }

  void findsAnAcknowledgementOfAReplacedPrimary() {
    auto History = cleanHistory();
    History.push_back(registerWrite(2, 1, 70));
    History.back().ServedTerm = 2;
    History.push_back(registerWrite(3, 1, 73));
    FinalState Final = cleanState();
    Final.Registers = {{0, 1, 2}, {0, 2, 1}, {0, 3, 1}};
    assertOnly(ViolationKind::OldTermAcknowledgement, History, Final);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace
} // namespace borageridge::load
