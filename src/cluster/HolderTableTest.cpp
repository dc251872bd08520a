#include "cluster/HolderTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace borageridge::cluster {
namespace {

constexpr std::uint32_t Small = 120;
constexpr std::uint32_t Large = 500;

class HolderTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HolderTableTest);
  CPPUNIT_TEST(everyZoneHasOneHolder);
  CPPUNIT_TEST(aZonePrefersItsOwnHolder);
  CPPUNIT_TEST(theOrderOfArrivalDoesNotMatter);
  CPPUNIT_TEST(aLostDaemonMovesOnlyItsOwnServices);
  CPPUNIT_TEST(aDaemonThatReturnsTakesItsServicesBack);
  CPPUNIT_TEST(servicesAreDistributedOverTheDaemons);
  CPPUNIT_TEST(daemonsWithMoreProcessorHoldMoreServices);
  CPPUNIT_TEST(aChangedShareMovesOnlyServicesOfThatDaemon);
  CPPUNIT_TEST(manySmallDaemonsHoldFewServicesBesideTwoLargeOnes);
  CPPUNIT_TEST_SUITE_END();

  static DaemonRecord daemon(int Number, int Zones) {
    return {"entry-" + std::to_string(Number), "10.0.0.1", 7440,
            "zone-" + std::to_string(Number % Zones), 1};
  }

  static HolderTable makeTable(int Daemons, int Zones) {
    HolderTable Result;
    for (int I = 0; I < Daemons; ++I)
      Result.add(daemon(I, Zones));
    return Result;
  }

  static std::string service(int Number) {
    return "db" + std::to_string(Number);
  }

  static std::map<std::string, std::vector<std::string>>
  allHolders(HolderTable &Table, int Services) {
    std::map<std::string, std::vector<std::string>> Result;
    for (int I = 0; I < Services; ++I)
      Result[service(I)] = Table.holders(service(I));
    return Result;
  }

  void everyZoneHasOneHolder() {
    HolderTable Table = makeTable(73, 4);
    const auto Chosen = Table.holders("db1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Chosen.size());
    std::set<std::string> Zones;
    for (int I = 0; I < 73; ++I)
      if (std::ranges::count(Chosen, daemon(I, 4).Name) > 0)
        Zones.insert(daemon(I, 4).AvailabilityZone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Zones.size());
  }

  void aZonePrefersItsOwnHolder() {
    HolderTable Table = makeTable(8, 4);
    const auto Order = Table.byPreference("db1", "zone-2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Order.size());
    CPPUNIT_ASSERT(Order.front() == "entry-2" || Order.front() == "entry-6");
    CPPUNIT_ASSERT_EQUAL(Table.holders("db1")[2], Order.front());
  }

  void theOrderOfArrivalDoesNotMatter() {
    HolderTable Table = makeTable(20, 3);
    HolderTable Other;
    Other.holders(service(0));
    for (int I = 19; I >= 0; --I)
      Other.add(daemon(I, 3));
    CPPUNIT_ASSERT(allHolders(Table, 8) == allHolders(Other, 8));
    CPPUNIT_ASSERT(Table.byPreference("db1", "zone-1") ==
                   Other.byPreference("db1", "zone-1"));
  }

  void aLostDaemonMovesOnlyItsOwnServices() {
    HolderTable Table = makeTable(73, 4);
    const std::string Lost = Table.holders("db0").front();
    const auto Before = allHolders(Table, 8);
    Table.remove(Lost);
    for (const auto &[Service, Old] : Before) {
      const auto New = Table.holders(Service);
      for (std::size_t Zone = 0; Zone < Old.size(); ++Zone) {
        CPPUNIT_ASSERT(New[Zone] != Lost);
        CPPUNIT_ASSERT(Old[Zone] == Lost || Old[Zone] == New[Zone]);
      }
    }
  }

  void aDaemonThatReturnsTakesItsServicesBack() {
    HolderTable Table = makeTable(73, 4);
    const auto Before = allHolders(Table, 8);
    Table.remove("entry-5");
    allHolders(Table, 8);
    Table.add(daemon(5, 4));
    CPPUNIT_ASSERT(Before == allHolders(Table, 8));
  }

  void servicesAreDistributedOverTheDaemons() {
    HolderTable Table = makeTable(73, 4);
    std::map<std::string, int> ServiceCount;
    for (const auto &[Service, Holders] : allHolders(Table, 8))
      for (const std::string &Name : Holders)
        ++ServiceCount[Name];
    for (const auto &[Name, Count] : ServiceCount)
      CPPUNIT_ASSERT_MESSAGE(Name, Count <= 4);
  }

  // Load pattern: a fleet in which six of seven daemons have an eighth of a
  // core and the others half of one.
  void daemonsWithMoreProcessorHoldMoreServices() {
    HolderTable Table;
    for (int I = 0; I < 294; ++I) {
      DaemonRecord Daemon = daemon(I, 6);
      Daemon.ProcessorShare = I / 6 % 7 == 0 ? Large : Small;
      Table.add(Daemon);
    }
    int AtLarge = 0;
    int All = 0;
    for (const auto &[Service, Holders] : allHolders(Table, 20))
      for (const std::string &Name : Holders) {
        const int Number = std::stoi(Name.substr(Name.find('-') + 1));
        AtLarge += Number / 6 % 7 == 0 ? 1 : 0;
        ++All;
      }
    CPPUNIT_ASSERT_EQUAL(120, All);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(AtLarge), 2 * AtLarge > All);
  }

  // Guards against holders of a twelfth of a core that are overrun in bursts.
  void manySmallDaemonsHoldFewServicesBesideTwoLargeOnes() {
    HolderTable Table;
    for (int I = 0; I < 42; ++I) {
      DaemonRecord Daemon;
      Daemon.Name = (I < 2 ? "large-" : "small-") + std::to_string(I);
      Daemon.AvailabilityZone = "z1";
      Daemon.ProcessorShare = I < 2 ? 500 : 84;
      Table.add(Daemon);
    }
    int HeldBySmall = 0;
    for (int I = 0; I < 200; ++I)
      if (Table.holders("db" + std::to_string(I)).at(0).starts_with("small-"))
        ++HeldBySmall;
    CPPUNIT_ASSERT(HeldBySmall <= 10);
  }

  void aChangedShareMovesOnlyServicesOfThatDaemon() {
    HolderTable Table = makeTable(40, 4);
    const auto Before = allHolders(Table, 20);
    DaemonRecord Changed = daemon(7, 4);
    Changed.ProcessorShare = 2 * Changed.ProcessorShare;
    Table.add(Changed);
    for (const auto &[Service, New] : allHolders(Table, 20))
      for (std::size_t Zone = 0; Zone < New.size(); ++Zone)
        CPPUNIT_ASSERT(New[Zone] == Before.at(Service)[Zone] ||
                       New[Zone] == Changed.Name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderTableTest);

} // namespace
} // namespace borageridge::cluster
