#include "operator/CommandFixture.h"

namespace borageridge::operators {
namespace {

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(helpIsAResultOfEveryCommand);
  CPPUNIT_TEST(helpNamesTheExitCodes);
  CPPUNIT_TEST(unknownOrMissingArgumentsAreUsageErrors);
  CPPUNIT_TEST(commandsWithoutTheirServerAreUsageErrors);
  CPPUNIT_TEST(failureKindsHaveDistinctExitCodes);
  CPPUNIT_TEST_SUITE_END();

  void helpIsAResultOfEveryCommand() {
    const std::vector<std::vector<std::string>> Commands = {
        {},
        {"table"},
        {"table", "validate"},
        {"table", "show"},
        {"table", "diff"},
        {"table", "apply"},
        {"table", "history"},
        {"status"},
        {"group"},
        {"group", "init"},
        {"group", "show"},
        {"group", "change-primary"},
        {"proxy"},
        {"proxy", "drain"},
        {"request"},
        {"request", "lookup"}};
    for (std::vector<std::string> Command : Commands) {
      Command.emplace_back("--help");
      const Outcome Done = runCommand(Command);
      assertCode(ExitCode::Ok, Done);
      CPPUNIT_ASSERT(Done.Results.find("Usage:") != std::string::npos);
    }
  }

  void helpNamesTheExitCodes() {
    const Outcome Done = runCommand({"--help"});
    CPPUNIT_ASSERT(Done.Results.find("8 outcome unknown") != std::string::npos);
  }

  void unknownOrMissingArgumentsAreUsageErrors() {
    assertCode(ExitCode::Usage, runCommand({}));
    assertCode(ExitCode::Usage, runCommand({"tables"}));
    assertCode(ExitCode::Usage, runCommand({"table"}));
    assertCode(ExitCode::Usage, runCommand({"table", "validate"}));
    assertCode(ExitCode::Usage, runCommand({"table", "apply", "f"}));
    assertCode(ExitCode::Usage, runCommand({"status", "--output", "xml"}));
  }

  void commandsWithoutTheirServerAreUsageErrors() {
    assertCode(ExitCode::Usage, runCommand({"table", "show"}));
    assertCode(ExitCode::Usage, runCommand({"status"}));
    assertCode(ExitCode::Usage, runCommand({"proxy", "drain"}));
  }

  // Guards against scripts that take an uncertain change for a failed one.
  void failureKindsHaveDistinctExitCodes() {
    CPPUNIT_ASSERT(exitCodeOf(FailureKind::Unknown) == ExitCode::Unknown);
    CPPUNIT_ASSERT(exitCodeOf(FailureKind::Unavailable) ==
                   ExitCode::Unreachable);
    CPPUNIT_ASSERT(exitCodeOf(FailureKind::Conflict) == ExitCode::Conflict);
    CPPUNIT_ASSERT(exitCodeOfRead(FailureKind::Unknown) ==
                   ExitCode::Unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace
} // namespace borageridge::operators
