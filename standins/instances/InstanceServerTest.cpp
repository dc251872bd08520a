#include "standins/instances/InstanceServer.h"
#include "standins/instances/InstancesFile.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::standins {
namespace {

using std::chrono::seconds;

control::InstanceSet setOf(const std::string &Name) {
  control::InstanceSet Set;
  Set.add_instances()->set_name(Name);
  return Set;
}

class InstanceServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceServerTest);
  CPPUNIT_TEST(changeBecomesVisibleAfterItsLag);
  CPPUNIT_TEST(changesBecomeVisibleInOrder);
  CPPUNIT_TEST(fileGivesTheInitialList);
  CPPUNIT_TEST(malformedFileIsRefusedWithItsLine);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time() + seconds(10);
  LaggingList List{setOf("a")};

  void changeBecomesVisibleAfterItsLag() {
    List.set(setOf("b"), seconds(2), Start);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         List.visible(Start + seconds(1)).instances(0).name());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         List.visible(Start + seconds(2)).instances(0).name());
  }

  void changesBecomeVisibleInOrder() {
    List.set(setOf("b"), seconds(2), Start);
    List.set(setOf("c"), seconds(0), Start);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         List.visible(Start).instances(0).name());
    const auto Last = List.visible(Start + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Last.instances(0).name());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), std::uint64_t(Last.version()));
  }

  void fileGivesTheInitialList() {
    const auto Set = parseInstances(
        "[[instance]]\nname='m1'\naddress='127.0.0.1:9'\n"
        "availability_zone='az-1'\nkind='endpoint'\nstate='leaving'\n"
        "database='d'\n");
    CPPUNIT_ASSERT(Set.has_value());
    const instances::Instance &Row = Set.value().instances(0);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), Row.database());
    CPPUNIT_ASSERT(Row.kind() == instances::INSTANCE_KIND_ENDPOINT);
    CPPUNIT_ASSERT(Row.state() == instances::INSTANCE_STATE_LEAVING);
  }

  void malformedFileIsRefusedWithItsLine() {
    const auto Set = parseInstances("\n[[instance]]\nname='m1'\n");
    CPPUNIT_ASSERT(!Set.has_value());
    CPPUNIT_ASSERT(Set.error().Detail.starts_with("line 2"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceServerTest);

} // namespace
} // namespace borageridge::standins
