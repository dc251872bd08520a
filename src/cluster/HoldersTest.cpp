#include "cluster/Holders.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace borageridge::cluster {
namespace {

std::vector<DaemonRecord> fleet(int Daemons, int Zones) {
  std::vector<DaemonRecord> Result;
  Result.reserve(static_cast<std::size_t>(Daemons));
  for (int I = 0; I < Daemons; ++I)
    Result.push_back({"entry-" + std::to_string(I), "10.0.0.1", 7440,
                      "zone-" + std::to_string(I % Zones), 1});
  return Result;
}

class HoldersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HoldersTest);
  CPPUNIT_TEST(holdersAreNeededWhenSharesAreTooSmall);
  CPPUNIT_TEST(everyZoneHasOneHolder);
  CPPUNIT_TEST(aZonePrefersItsOwnDaemons);
  CPPUNIT_TEST(theOrderOfDaemonsDoesNotMatter);
  CPPUNIT_TEST(aLossMovesOnlyWhatTheLostDaemonHeld);
  CPPUNIT_TEST(servicesAreSpreadOverTheDaemons);
  CPPUNIT_TEST_SUITE_END();

  void holdersAreNeededWhenSharesAreTooSmall() {
    CPPUNIT_ASSERT(!needsHolders(22, 6));
    CPPUNIT_ASSERT(!needsHolders(32, 8));
    CPPUNIT_ASSERT(!needsHolders(22, 10));
    CPPUNIT_ASSERT(needsHolders(35, 73));
  }

  void everyZoneHasOneHolder() {
    const auto Live = fleet(73, 4);
    const auto Chosen = holders(Live, "db1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Chosen.size());
    std::set<std::string> Zones;
    for (const DaemonRecord &D : Live)
      if (std::find(Chosen.begin(), Chosen.end(), D.Name) != Chosen.end())
        Zones.insert(D.AvailabilityZone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Zones.size());
  }

  void aZonePrefersItsOwnDaemons() {
    const auto Live = fleet(8, 4);
    const auto Order = holderRanking(Live, "db1", "zone-2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Order.size());
    const std::set<std::string> First(Order.begin(), Order.begin() + 2);
    CPPUNIT_ASSERT((First == std::set<std::string>{"entry-2", "entry-6"}));
  }

  void theOrderOfDaemonsDoesNotMatter() {
    auto Live = fleet(20, 3);
    const auto Before = holderRanking(Live, "db1", "zone-1");
    std::reverse(Live.begin(), Live.end());
    CPPUNIT_ASSERT(Before == holderRanking(Live, "db1", "zone-1"));
  }

  void aLossMovesOnlyWhatTheLostDaemonHeld() {
    auto Live = fleet(73, 4);
    const std::string Lost = holders(Live, "db0").front();
    std::map<std::string, std::vector<std::string>> Before;
    for (int I = 0; I < 8; ++I)
      Before["db" + std::to_string(I)] =
          holders(Live, "db" + std::to_string(I));
    std::erase_if(Live, [&](const DaemonRecord &D) { return D.Name == Lost; });
    for (auto &[Service, Old] : Before) {
      const auto New = holders(Live, Service);
      for (std::size_t Zone = 0; Zone < Old.size(); ++Zone)
        CPPUNIT_ASSERT(Old[Zone] == Lost || Old[Zone] == New[Zone]);
    }
  }

  void servicesAreSpreadOverTheDaemons() {
    const auto Live = fleet(73, 4);
    std::map<std::string, int> Held;
    for (int I = 0; I < 8; ++I)
      for (const std::string &Name : holders(Live, "db" + std::to_string(I)))
        ++Held[Name];
    for (const auto &[Name, Count] : Held)
      CPPUNIT_ASSERT_MESSAGE(Name, Count <= 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HoldersTest);

} // namespace
} // namespace borageridge::cluster
