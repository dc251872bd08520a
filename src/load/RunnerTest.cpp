#include "load/Runner.h"

#include "load/Audit.h"
#include "load/FakeCallerService.h"
#include "load/HistoryChecker.h"
#include "load/Results.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace borageridge::load {
namespace {

using std::chrono::milliseconds;

Scenario mixedLoad() {
  Scenario S;
  S.Name = "mixed";
  S.Length = milliseconds(400);
  S.Sessions = 20;
  S.RoamProbability = 0.3;
  S.Databases = {"a"};
  S.Operations = {{"write", OperationKind::RegisterWrite, "", 200,
                   milliseconds(0), ReadTarget::Own, 1},
                  {"job", OperationKind::JobInsert, "", 200, milliseconds(0),
                   ReadTarget::Own, 1},
                  {"list", OperationKind::RegisterRead, "", 100,
                   milliseconds(0), ReadTarget::List, 5},
                  {"check", OperationKind::JobRead, "", 100, milliseconds(0),
                   ReadTarget::Own, 1}};
  return S;
}

/// What a run against the fake gave.
struct Outcome {
  RunHistory Run;
  std::vector<Violation> Violations;
  std::vector<Metric> Metrics;

  std::uint64_t violations(ViolationKind Kind) const {
    return std::uint64_t(
        std::count_if(Violations.begin(), Violations.end(),
                      [Kind](const auto &V) { return V.Kind == Kind; }));
  }

  double total(const std::string &Name) const {
    for (const Metric &M : Metrics)
      if (M.Scope == "total" && M.Name == Name)
        return M.Value;
    return -1;
  }
};

Outcome runAgainst(FakeCallerService &Service, Scenario S) {
  const FakeProxy First(Service);
  const FakeProxy Second(Service);
  S.Proxies = {First.address(), Second.address()};
  CallerClient Client(S.Proxies, S.Client.ChannelsPerProxy, {"test", "s", ""});
  const auto Token = prepareDatabases(Client, S, "run");
  CPPUNIT_ASSERT(Token.has_value());
  Outcome Result;
  Result.Run = runScenario(S, "run", Token.value(), Client);
  const auto Final = readFinalState(Client, S, "run");
  CPPUNIT_ASSERT(Final.has_value());
  Result.Violations = HistoryChecker(Result.Run.History).check(Final.value());
  Result.Metrics = summarize(S, Result.Run, Result.Violations);
  return Result;
}

/// Runs the whole tool against an in-process fake of the proxy.
class RunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunnerTest);
  CPPUNIT_TEST(aCorrectServiceShowsNoViolation);
  CPPUNIT_TEST(settlesLostAnswersAndDroppedRequests);
  CPPUNIT_TEST(findsAcknowledgedWritesWithoutEffect);
  CPPUNIT_TEST(findsJobsThatRanTwice);
  CPPUNIT_TEST(countsLatencyFromTheIntendedStart);
  CPPUNIT_TEST(movesSessionsBetweenProxies);
  CPPUNIT_TEST_SUITE_END();

  void aCorrectServiceShowsNoViolation() {
    FakeCallerService Service;
    const Outcome O = runAgainst(Service, mixedLoad());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, O.Violations.size());
    CPPUNIT_ASSERT(O.total("requests") > 100);
    CPPUNIT_ASSERT_EQUAL(O.total("requests"), O.total("answered"));
  }

  void settlesLostAnswersAndDroppedRequests() {
    FakeFaults Faults;
    Faults.LoseAnswerPeriod = 3;
    Faults.DropPeriod = 2;
    FakeCallerService Service(Faults);
    const Outcome O = runAgainst(Service, mixedLoad());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, O.Violations.size());
    CPPUNIT_ASSERT_EQUAL(0.0, O.total("unsettled_writes"));
    CPPUNIT_ASSERT(Service.lookUps() > 0);
    CPPUNIT_ASSERT(O.total("tries") > O.total("requests"));
  }

  void findsAcknowledgedWritesWithoutEffect() {
    FakeFaults Faults;
    Faults.ForgetPeriod = 7;
    FakeCallerService Service(Faults);
    const Outcome O = runAgainst(Service, mixedLoad());
    CPPUNIT_ASSERT(O.violations(ViolationKind::LostWrite) > 0);
  }

  void findsJobsThatRanTwice() {
    FakeFaults Faults;
    Faults.LoseAnswerPeriod = 5;
    Faults.RunEveryTry = true;
    FakeCallerService Service(Faults);
    const Outcome O = runAgainst(Service, mixedLoad());
    CPPUNIT_ASSERT(O.violations(ViolationKind::DoubledWrite) > 0);
  }

  void countsLatencyFromTheIntendedStart() {
    // One session and 20 ms for each answer serve 50 requests/s at most, so
    // that at 200 requests/s the last of them wait for about a second.
    FakeFaults Faults;
    Faults.Delay = milliseconds(20);
    FakeCallerService Service(Faults);
    Scenario S = mixedLoad();
    S.Sessions = 1;
    S.Operations = {S.Operations[0]};
    const Outcome O = runAgainst(Service, S);
    CPPUNIT_ASSERT(O.total("latency_max_ms") > 400);
  }

  void movesSessionsBetweenProxies() {
    FakeCallerService Service;
    const Outcome O = runAgainst(Service, mixedLoad());
    CPPUNIT_ASSERT(O.Run.SessionMoves > 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerTest);

} // namespace
} // namespace borageridge::load
