#include "cluster/ConnectionHolders.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace borageridge::cluster {
namespace {

std::vector<DaemonRecord> makeDaemons(int Daemons, int Zones) {
  std::vector<DaemonRecord> Result;
  Result.reserve(static_cast<std::size_t>(Daemons));
  for (int I = 0; I < Daemons; ++I)
    Result.push_back({"entry-" + std::to_string(I), "10.0.0.1", 7440,
                      "zone-" + std::to_string(I % Zones), 1});
  return Result;
}

class ConnectionHoldersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionHoldersTest);
  CPPUNIT_TEST(holdersAreNeededWhenSharesAreTooSmall);
  CPPUNIT_TEST(everyZoneHasOneHolder);
  CPPUNIT_TEST(aZonePrefersItsOwnDaemons);
  CPPUNIT_TEST(theInputOrderDoesNotMatter);
  CPPUNIT_TEST(aLostDaemonMovesOnlyItsOwnServices);
  CPPUNIT_TEST(servicesAreDistributedOverTheDaemons);
  CPPUNIT_TEST_SUITE_END();

  void holdersAreNeededWhenSharesAreTooSmall() {
    CPPUNIT_ASSERT(!needsConnectionHolders(22, 6));
    CPPUNIT_ASSERT(!needsConnectionHolders(32, 8));
    CPPUNIT_ASSERT(!needsConnectionHolders(22, 10));
    CPPUNIT_ASSERT(needsConnectionHolders(35, 73));
  }

  void everyZoneHasOneHolder() {
    const auto Live = makeDaemons(73, 4);
    const auto Chosen = connectionHolders(Live, "db1");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Chosen.size());
    std::set<std::string> Zones;
    for (const DaemonRecord &D : Live)
      if (std::find(Chosen.begin(), Chosen.end(), D.Name) != Chosen.end())
        Zones.insert(D.AvailabilityZone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Zones.size());
  }

  void aZonePrefersItsOwnDaemons() {
    const auto Live = makeDaemons(8, 4);
    const auto Order = rankConnectionHolders(Live, "db1", "zone-2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Order.size());
    const std::set<std::string> First(Order.begin(), Order.begin() + 2);
    CPPUNIT_ASSERT((First == std::set<std::string>{"entry-2", "entry-6"}));
  }

  void theInputOrderDoesNotMatter() {
    auto Live = makeDaemons(20, 3);
    const auto Before = rankConnectionHolders(Live, "db1", "zone-1");
    std::reverse(Live.begin(), Live.end());
    CPPUNIT_ASSERT(Before == rankConnectionHolders(Live, "db1", "zone-1"));
  }

  void aLostDaemonMovesOnlyItsOwnServices() {
    auto Live = makeDaemons(73, 4);
    const std::string LostDaemon = connectionHolders(Live, "db0").front();
    std::map<std::string, std::vector<std::string>> Before;
    for (int I = 0; I < 8; ++I)
      Before["db" + std::to_string(I)] =
          connectionHolders(Live, "db" + std::to_string(I));
    std::erase_if(Live,
                  [&](const DaemonRecord &D) { return D.Name == LostDaemon; });
    for (auto &[Service, Old] : Before) {
      const auto New = connectionHolders(Live, Service);
      for (std::size_t Zone = 0; Zone < Old.size(); ++Zone)
        CPPUNIT_ASSERT(Old[Zone] == LostDaemon || Old[Zone] == New[Zone]);
    }
  }

  void servicesAreDistributedOverTheDaemons() {
    const auto Live = makeDaemons(73, 4);
    std::map<std::string, int> ServiceCount;
    for (int I = 0; I < 8; ++I)
      for (const std::string &Name :
           connectionHolders(Live, "db" + std::to_string(I)))
        ++ServiceCount[Name];
    for (const auto &[Name, Count] : ServiceCount)
      CPPUNIT_ASSERT_MESSAGE(Name, Count <= 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionHoldersTest);

} // namespace
} // namespace borageridge::cluster
