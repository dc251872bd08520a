#include "statement/ConnectionState.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::statement {
namespace {

// Carries a plan out the way a connection does.
Variables afterPlan(Variables Held, const SyncPlan &Plan) {
  if (Plan.Reset)
    Held.clear();
  for (const auto &[Name, Value] : Plan.Set)
    Held[Name] = Value;
  return Held;
}

class ConnectionStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionStateTest);
  CPPUNIT_TEST(aPlanAlwaysEndsWithTheWantedVariables);
  CPPUNIT_TEST(equalVariablesCostNothing);
  CPPUNIT_TEST(variablesThatAreOnlyMissingNeedNoReset);
  CPPUNIT_TEST(foreignVariablesAreCleared);
  CPPUNIT_TEST(equalDefinitionsShareAName);
  CPPUNIT_TEST_SUITE_END();

  // Each of three variables is absent or has one of two values.
  static Variables anyVariables() {
    Variables Result;
    for (const char *Name : {"a", "b", "c"})
      if (const int Value = *rc::gen::inRange(0, 3))
        Result[Name] = std::to_string(Value);
    return Result;
  }

  void aPlanAlwaysEndsWithTheWantedVariables() {
    CPPUNIT_ASSERT(rc::check([] {
      ConnectionState Connection;
      Connection.Values = anyVariables();
      const Variables Target = anyVariables();
      RC_ASSERT(afterPlan(Connection.Values, planSync(Connection, Target)) ==
                Target);
    }));
  }

  void equalVariablesCostNothing() {
    ConnectionState Connection;
    Connection.Values = {{"a", "1"}};
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         planSync(Connection, {{"a", "1"}}).cost());
  }

  void variablesThatAreOnlyMissingNeedNoReset() {
    ConnectionState Connection;
    Connection.Values = {{"a", "1"}};
    const SyncPlan Plan = planSync(Connection, {{"a", "2"}, {"b", "3"}});
    CPPUNIT_ASSERT(!Plan.Reset);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Plan.cost());
  }

  void foreignVariablesAreCleared() {
    ConnectionState Connection;
    Connection.Values = {{"a", "1"}, {"b", "2"}};
    const SyncPlan Plan = planSync(Connection, {{"a", "1"}});
    CPPUNIT_ASSERT(Plan.Reset);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Plan.Set.size());
  }

  void equalDefinitionsShareAName() {
    CPPUNIT_ASSERT_EQUAL(sharedName("READ q1"), sharedName("READ q1"));
    CPPUNIT_ASSERT(sharedName("READ q1") != sharedName("WRITE q1"));
    CPPUNIT_ASSERT(sharedName("READ q1") != sharedName("READ q2"));
    CPPUNIT_ASSERT_EQUAL(std::string::npos,
                         sharedName("READ q1").find_first_of(" \r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionStateTest);

} // namespace
} // namespace borageridge::statement
