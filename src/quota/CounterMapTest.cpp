#include "quota/CounterMap.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace borageridge::quota {
namespace {

keyvalue::Change written(const std::string &Key, const std::string &Holder,
                         keyvalue::Revision Revision) {
  keyvalue::Change Result;
  Result.Written = {Key, Holder, Revision, Revision, 1};
  return Result;
}

class CounterMapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CounterMapTest);
  CPPUNIT_TEST(followsTheHolderAndIgnoresLateNews);
  CPPUNIT_TEST(ignoresKeysOfOtherKinds);
  CPPUNIT_TEST(countersOfAnOrganisationPreferDifferentZones);
  CPPUNIT_TEST(moreOrganisationsAreSpreadOverMoreCounters);
  CPPUNIT_TEST_SUITE_END();

  void followsTheHolderAndIgnoresLateNews() {
    CounterMap Known;
    Known.apply(written("borageridge/counters/1", "d1", 5));
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), Known.entry(1).Value);
    Known.apply(written("borageridge/counters/1", "d2", 9));
    Known.apply(written("borageridge/counters/1", "d1", 5));
    CPPUNIT_ASSERT_EQUAL(std::string("d2"), Known.entry(1).Value);
    keyvalue::Change Removal = written("borageridge/counters/1", "", 10);
    Removal.Removed = true;
    Known.apply(Removal);
    CPPUNIT_ASSERT_EQUAL(keyvalue::Revision(0), Known.entry(1).ModRevision);
  }

  void ignoresKeysOfOtherKinds() {
    CounterMap Known;
    Known.apply(written("borageridge/counters/x", "d1", 5));
    Known.apply(written("borageridge/counters/", "d1", 5));
    Known.apply(written("borageridge/promoter", "d1", 5));
    CPPUNIT_ASSERT(Known.keys().empty());
  }

  // Guards against one availability zone whose loss stops all counters.
  void countersOfAnOrganisationPreferDifferentZones() {
    std::map<std::string, cluster::DaemonRecord> Daemons;
    for (int I = 0; I < 9; ++I) {
      cluster::DaemonRecord Record;
      Record.Name = "d" + std::to_string(I);
      Record.AvailabilityZone = "z" + std::to_string(I % 3);
      Daemons[Record.Name] = Record;
    }
    std::set<std::string> Zones;
    for (const CounterNumber Counter : countersOf("mill", 3))
      for (const auto &[Name, Record] : Daemons)
        if (rankFor(Counter, Name, Daemons) == 0)
          Zones.insert(Record.AvailabilityZone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Zones.size());
  }

  void moreOrganisationsAreSpreadOverMoreCounters() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), counterCount(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), counterCount(128));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), counterCount(129));
    std::set<CounterNumber> Used;
    for (int I = 0; I < 40; ++I)
      Used.insert(countersOf("org" + std::to_string(I), 6)[0]);
    CPPUNIT_ASSERT((Used == std::set<CounterNumber>{0, 3}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CounterMapTest);

} // namespace
} // namespace borageridge::quota
