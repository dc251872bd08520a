#include "load/Results.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <sstream>

namespace borageridge::load {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

void addWrite(RunHistory &Run, int Completed, Term Served, Result Outcome) {
  Operation Op;
  Op.Kind = OperationKind::JobInsert;
  Op.Outcome = Outcome;
  Op.Completed = at(Completed);
  Op.ServedTerm = Served;
  Run.History.push_back(Op);
  RequestRecord Record;
  Record.Intended = at(Completed - 10);
  Record.Tries = 1;
  Run.Records.push_back(Record);
}

void addRead(RunHistory &Run, bool Replica) {
  Operation Op;
  Op.Outcome = Result::Acknowledged;
  Run.History.push_back(Op);
  RequestRecord Record;
  Record.Spec = 1;
  Record.Tries = 1;
  Record.Replica = Replica;
  Run.Records.push_back(Record);
}

RunHistory emptyRun() {
  RunHistory Run;
  Run.Start = at(0);
  Run.End = at(1000);
  return Run;
}

Scenario twoClasses() {
  Scenario S;
  S.Name = "test";
  S.Databases = {"a"};
  S.Operations.resize(2);
  S.Operations[0].Name = "job";
  S.Operations[1].Name = "glance";
  return S;
}

double valueOf(const std::vector<Metric> &Metrics, const std::string &Scope,
               const std::string &Name) {
  for (const Metric &M : Metrics)
    if (M.Scope == Scope && M.Name == Name)
      return M.Value;
  return -1;
}

class ResultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultsTest);
  CPPUNIT_TEST(measuresTheGapBetweenTwoTerms);
  CPPUNIT_TEST(countsTheTimeAfterTheLastWriteAsAGap);
  CPPUNIT_TEST(ignoresLateAnswersOfTheOldTerm);
  CPPUNIT_TEST(separatesRefusedAndUnsettledWrites);
  CPPUNIT_TEST(computesTheReplicaShareOfAnsweredReads);
  CPPUNIT_TEST(countsViolationsByKind);
  CPPUNIT_TEST(writesOneCsvLineForEachMetric);
  CPPUNIT_TEST_SUITE_END();

  void measuresTheGapBetweenTwoTerms() {
    RunHistory Run = emptyRun();
    for (const int T : {100, 200, 300})
      addWrite(Run, T, 1, Result::Acknowledged);
    for (const int T : {750, 850, 950})
      addWrite(Run, T, 2, Result::Acknowledged);
    const WriteGaps Gaps = writeGaps(Run, 0);
    CPPUNIT_ASSERT(Gaps.LongestBetweenTerms == milliseconds(450));
    CPPUNIT_ASSERT(Gaps.Longest == milliseconds(450));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Gaps.TermChanges);
  }

  void countsTheTimeAfterTheLastWriteAsAGap() {
    RunHistory Run = emptyRun();
    addWrite(Run, 100, 1, Result::Acknowledged);
    CPPUNIT_ASSERT(writeGaps(Run, 0).Longest == milliseconds(900));
  }

  void ignoresLateAnswersOfTheOldTerm() {
    RunHistory Run = emptyRun();
    addWrite(Run, 100, 1, Result::Acknowledged);
    addWrite(Run, 500, 2, Result::Acknowledged);
    addWrite(Run, 510, 1, Result::Acknowledged);
    addWrite(Run, 520, 2, Result::Acknowledged);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, writeGaps(Run, 0).TermChanges);
  }

  void separatesRefusedAndUnsettledWrites() {
    RunHistory Run = emptyRun();
    addWrite(Run, 100, 1, Result::NotRun);
    addWrite(Run, 200, 1, Result::Unknown);
    addWrite(Run, 300, 1, Result::Unknown);
    const auto Metrics = summarize(twoClasses(), Run, {});
    CPPUNIT_ASSERT_EQUAL(1.0, valueOf(Metrics, "total", "refused_writes"));
    CPPUNIT_ASSERT_EQUAL(2.0, valueOf(Metrics, "total", "unsettled_writes"));
  }

  void computesTheReplicaShareOfAnsweredReads() {
    RunHistory Run = emptyRun();
    addRead(Run, true);
    addRead(Run, true);
    addRead(Run, true);
    addRead(Run, false);
    const auto Metrics = summarize(twoClasses(), Run, {});
    CPPUNIT_ASSERT_EQUAL(0.75,
                         valueOf(Metrics, "class:glance", "replica_share"));
  }

  void countsViolationsByKind() {
    const std::vector<Violation> Violations = {
        {ViolationKind::LostWrite, 0, 0, ""},
        {ViolationKind::DoubledWrite, 0, 0, ""},
        {ViolationKind::LostWrite, 0, 0, ""}};
    const auto Metrics = summarize(twoClasses(), emptyRun(), Violations);
    CPPUNIT_ASSERT_EQUAL(3.0, valueOf(Metrics, "total", "violations"));
    CPPUNIT_ASSERT_EQUAL(2.0,
                         valueOf(Metrics, "total", "violations_lost_write"));
  }

  void writesOneCsvLineForEachMetric() {
    std::ostringstream Out;
    writeCsv(Out,
             {{"total", "requests", 5, "1"}, {"class:a,b", "x", 1.5, "s"}});
    CPPUNIT_ASSERT_EQUAL(std::string("scope,metric,value,unit\n"
                                     "total,requests,5,1\n"
                                     "\"class:a,b\",x,1.5,s\n"),
                         Out.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultsTest);

} // namespace
} // namespace borageridge::load
