#include "load/Scenario.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::load {
namespace {

constexpr std::string_view Sample = R"(
name = "sample"
seed = 7
sessions = 20
databases = ["a", "b"]

[[operation]]
name = "glance"
kind = "register_read"
class = "stock_glance"
rate_per_s = 100
accepted_age_ms = 1000
target = "list"
list_size = 5

[[burst]]
operation = "glance"
start_ms = 100
length_ms = 200
factor = 20

[client]
threads = 3
)";

class ScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioTest);
  CPPUNIT_TEST(readsAllParts);
  CPPUNIT_TEST(namesTheLineAndTheKeyOfAnUnknownKey);
  CPPUNIT_TEST(refusesAValueOutOfRange);
  CPPUNIT_TEST(refusesAnUnknownKind);
  CPPUNIT_TEST(refusesABurstOfAnUnknownOperation);
  CPPUNIT_TEST_SUITE_END();

  void readsAllParts() {
    const auto Parsed = parseScenario(Sample);
    CPPUNIT_ASSERT(Parsed.has_value());
    const Scenario &S = Parsed.value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, S.Seed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S.Databases.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, S.Operations.at(0).ListSize);
    CPPUNIT_ASSERT(S.Operations[0].Target == ReadTarget::List);
    CPPUNIT_ASSERT(S.Operations[0].AcceptedAge == std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(20.0, S.Bursts.at(0).Factor);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, S.Client.Threads);
  }

  void assertRefused(const std::string &Text, const std::string &Expected) {
    const auto Parsed = parseScenario(Text);
    CPPUNIT_ASSERT(!Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(Expected, Parsed.error().Detail);
  }

  void namesTheLineAndTheKeyOfAnUnknownKey() {
    assertRefused(std::string(Sample) + "treads = 3\n",
                  "line 24, client.treads: unknown key");
  }

  void refusesAValueOutOfRange() {
    assertRefused(std::string(Sample) + "max_read_tries = 0\n",
                  "line 24, client.max_read_tries: out of range");
  }

  void refusesAnUnknownKind() {
    assertRefused("name = \"x\"\n[[operation]]\nname = \"y\"\nkind = \"z\"\n"
                  "rate_per_s = 1\n",
                  "line 4, operation.kind: unknown kind");
  }

  void refusesABurstOfAnUnknownOperation() {
    assertRefused("name = \"x\"\n[[operation]]\nname = \"y\"\n"
                  "kind = \"job_insert\"\nrate_per_s = 1\n[[burst]]\n"
                  "operation = \"z\"\n",
                  "burst.operation: unknown operation z");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

} // namespace
} // namespace borageridge::load
