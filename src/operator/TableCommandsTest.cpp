#include "operator/CommandFixture.h"
#include "store/StoreFixture.h"

namespace borageridge::operators {
namespace {

std::string tableOf(int Proxies) {
  return "[[group]]\ndatabase = \"*\"\nmax_proxies = " +
         std::to_string(Proxies) +
         "\nconnections_per_member = 20\nprimary_write_reserve = 0.5\n";
}

class TableCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableCommandsTest);
  CPPUNIT_TEST(validateNamesLineAndKeyOfAnError);
  CPPUNIT_TEST(validateOfAMissingFileIsInvalidInput);
  CPPUNIT_TEST(showPrintsTheTextAsItWasApplied);
  CPPUNIT_TEST(showOfAnAbsentTableIsNotFound);
  CPPUNIT_TEST(showOfAnOldVersionReadsTheHistory);
  CPPUNIT_TEST(showAsJsonHasTheVersion);
  CPPUNIT_TEST(diffPrintsChangedRows);
  CPPUNIT_TEST(applyAgainstAnotherVersionIsAConflictWithAllDifferences);
  CPPUNIT_TEST(applyRecognisesItsOwnSuccessAfterALostAnswer);
  CPPUNIT_TEST(applyOfAMalformedFileChangesNothing);
  CPPUNIT_TEST(applyWithoutAnyAnswerIsUnknown);
  CPPUNIT_TEST(applyWithoutAReachableStoreIsUnreachable);
  CPPUNIT_TEST(twoOperatorsWithTheSameBaseNeverBothSucceed);
  CPPUNIT_TEST(historyListsVersionsNewestFirst);
  CPPUNIT_TEST_SUITE_END();

  store::StoreFixture Server;
  TemporaryFile File{tableOf(3)};

  Outcome table(std::vector<std::string> Arguments) {
    std::vector<std::string> All = {"--store", Server.address(), "table"};
    All.insert(All.end(), Arguments.begin(), Arguments.end());
    return runCommand(All);
  }

  Outcome apply(std::uint64_t Base, const std::string &Author = "ana") {
    return table({"apply", File.Path, "--base", std::to_string(Base),
                  "--author", Author});
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  void validateNamesLineAndKeyOfAnError() {
    File.write(tableOf(0));
    const Outcome Done = runCommand({"table", "validate", File.Path});
    assertCode(ExitCode::InvalidInput, Done);
    CPPUNIT_ASSERT(contains(Done.Notes, "line 3, key max_proxies"));
    File.write(tableOf(1));
    assertCode(ExitCode::Ok, runCommand({"table", "validate", File.Path}));
  }

  void validateOfAMissingFileIsInvalidInput() {
    assertCode(ExitCode::InvalidInput,
               runCommand({"table", "validate", "/nonexistent/table.toml"}));
  }

  void showPrintsTheTextAsItWasApplied() {
    assertCode(ExitCode::Ok, apply(0));
    const Outcome Done = table({"show"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL(tableOf(3), Done.Results);
    CPPUNIT_ASSERT(contains(Done.Notes, "version 1 by ana"));
  }

  void showOfAnAbsentTableIsNotFound() {
    assertCode(ExitCode::NotFound, table({"show"}));
    assertCode(ExitCode::NotFound, table({"show", "--version", "4"}));
  }

  void showOfAnOldVersionReadsTheHistory() {
    assertCode(ExitCode::Ok, apply(0));
    File.write(tableOf(4));
    assertCode(ExitCode::Ok, apply(1));
    CPPUNIT_ASSERT_EQUAL(tableOf(3), table({"show", "--version", "1"}).Results);
    CPPUNIT_ASSERT_EQUAL(tableOf(4), table({"show"}).Results);
  }

  void showAsJsonHasTheVersion() {
    assertCode(ExitCode::Ok, apply(0));
    const Outcome Done = table({"show", "--output", "json"});
    CPPUNIT_ASSERT_MESSAGE(Done.Results,
                           contains(Done.Results, "\"version\":1"));
  }

  void diffPrintsChangedRows() {
    assertCode(ExitCode::Ok, apply(0));
    File.write(tableOf(5));
    const Outcome Done = table({"diff", File.Path});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL(std::string("group *: max_proxies 3 -> 5\n"),
                         Done.Results);
  }

  void applyAgainstAnotherVersionIsAConflictWithAllDifferences() {
    assertCode(ExitCode::Ok, apply(0));
    File.write(tableOf(4));
    assertCode(ExitCode::Ok, apply(1, "bor"));
    File.write(tableOf(5));
    const Outcome Done = apply(1);
    assertCode(ExitCode::Conflict, Done);
    CPPUNIT_ASSERT(contains(Done.Notes, "version 2 by bor"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("base to current\tgroup *: max_proxies 3 -> 4\n"
                    "base to own\tgroup *: max_proxies 3 -> 5\n"
                    "current to own\tgroup *: max_proxies 4 -> 5\n"),
        Done.Results);
    CPPUNIT_ASSERT_EQUAL(tableOf(4), table({"show"}).Results);
  }

  void applyRecognisesItsOwnSuccessAfterALostAnswer() {
    Server.set([](control::Faults &F) { F.set_lose_answers(1); });
    const Outcome Done = table({"apply", File.Path, "--base", "0", "--author",
                                "ana", "--timeout-ms", "300"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Server.counter("lost_answers"));
    CPPUNIT_ASSERT(contains(table({"show"}).Notes, "version 1 by ana"));
  }

  void applyOfAMalformedFileChangesNothing() {
    File.write("[[groups]]\n");
    assertCode(ExitCode::InvalidInput, apply(0));
    assertCode(ExitCode::NotFound, table({"show"}));
  }

  // The store answers reads, and loses each answer to a change and then stops.
  void applyWithoutAnyAnswerIsUnknown() {
    Server.set([](control::Faults &F) { F.set_lose_answers(1); });
    std::thread Stop([this] {
      while (Server.counter("lost_answers") == 0)
        usleep(1000);
      Server.set([](control::Faults &F) { F.set_cut_off(true); });
    });
    const Outcome Done = table({"apply", File.Path, "--base", "0", "--author",
                                "ana", "--timeout-ms", "200"});
    Stop.join();
    assertCode(ExitCode::Unknown, Done);
  }

  void applyWithoutAReachableStoreIsUnreachable() {
    assertCode(ExitCode::Unreachable,
               runCommand({"--store", RefusedAddress, "table", "apply",
                           File.Path, "--base", "0", "--author", "ana"}));
  }

  void twoOperatorsWithTheSameBaseNeverBothSucceed() {
    for (std::uint64_t Base = 0; Base < 10; ++Base) {
      Outcome First;
      std::thread Other([&] { First = apply(Base, "ana"); });
      const Outcome Second = apply(Base, "bor");
      Other.join();
      const bool FirstWon = First.Code == ExitCode::Ok;
      assertCode(FirstWon ? ExitCode::Conflict : ExitCode::Ok, Second);
      assertCode(FirstWon ? ExitCode::Ok : ExitCode::Conflict, First);
    }
  }

  void historyListsVersionsNewestFirst() {
    assertCode(ExitCode::Ok, apply(0, "ana"));
    assertCode(ExitCode::Ok, apply(1, "bor"));
    const Outcome Done = table({"history"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_MESSAGE(Done.Results, Done.Results.starts_with("2\tbor\t"));
    CPPUNIT_ASSERT_MESSAGE(Done.Results, contains(Done.Results, "\n1\tana\t"));
    const Outcome Short = table({"history", "--limit", "1"});
    CPPUNIT_ASSERT(!contains(Short.Results, "ana"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableCommandsTest);

} // namespace
} // namespace borageridge::operators
