#include "failover/ClusterSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace borageridge::failover {
namespace {

using testing::ClusterSimulation;
using testing::InjectedFaults;
using testing::RunResult;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Sanitizers slow a run down about tenfold.
constexpr std::uint64_t Seeds = 1000;
#else
constexpr std::uint64_t Seeds = 10000;
#endif

/// Runs random schedules. A failure is reproduced by the seed in its message.
class PromotionScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionScheduleTest);
  CPPUNIT_TEST(everyScheduleKeepsConfirmedWritesAndRecovers);
  CPPUNIT_TEST(detectsMembersThatIgnoreTheirSeal);
  CPPUNIT_TEST(detectsConfirmationByThePrimaryAlone);
  CPPUNIT_TEST(detectsACandidateWithoutTheLongestLog);
  CPPUNIT_TEST(detectsConfirmationWithoutTermCheck);
  CPPUNIT_TEST_SUITE_END();

  void everyScheduleKeepsConfirmedWritesAndRecovers() {
    std::size_t Terms = 0;
    std::size_t Confirmed = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const RunResult Result = ClusterSimulation(Seed, {}).run();
      const std::string Where = "seed " + std::to_string(Seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Where, std::string(), Result.Violation);
      CPPUNIT_ASSERT_MESSAGE(Where + " did not recover", Result.Recovered);
      Terms += Result.Terms;
      Confirmed += Result.Confirmed;
    }
    std::cout << '(' << Seeds << " seeds, " << Terms << " terms, " << Confirmed
              << " confirmed writes) ";
    // Guards against schedules without changes or confirmed writes.
    CPPUNIT_ASSERT(Terms > 2 * Seeds);
    CPPUNIT_ASSERT(Confirmed > 50 * Seeds);
  }

  /// Fails unless the injected fault violates an invariant for at least one
  /// seed.
  void expectViolation(const InjectedFaults &Injected) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const RunResult Result = ClusterSimulation(Seed, Injected).run();
      if (Result.Violation.empty())
        continue;
      std::cout << "(seed " << Seed << ": " << Result.Violation << ") ";
      return;
    }
    CPPUNIT_FAIL("no seed detects the injected fault");
  }

  void detectsMembersThatIgnoreTheirSeal() {
    InjectedFaults Injected;
    Injected.IgnoreSeal = true;
    expectViolation(Injected);
  }

  void detectsConfirmationByThePrimaryAlone() {
    InjectedFaults Injected;
    Injected.ConfirmAtPrimaryAlone = true;
    expectViolation(Injected);
  }

  void detectsACandidateWithoutTheLongestLog() {
    InjectedFaults Injected;
    Injected.ShortestCandidate = true;
    expectViolation(Injected);
  }

  void detectsConfirmationWithoutTermCheck() {
    InjectedFaults Injected;
    Injected.ConfirmWithoutTermCheck = true;
    expectViolation(Injected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionScheduleTest);

} // namespace
} // namespace borageridge::failover
