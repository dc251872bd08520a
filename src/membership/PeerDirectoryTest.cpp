#include "membership/PeerDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace borageridge::membership {
namespace {

using std::chrono::milliseconds;

Time at(int Milliseconds) { return Time(milliseconds(Milliseconds)); }

instances::ListReply makeList(std::initializer_list<const char *> Addresses) {
  instances::ListReply List;
  for (const char *Address : Addresses) {
    instances::Instance &I = *List.add_instances();
    I.set_kind(instances::INSTANCE_KIND_PROXY);
    I.set_state(instances::INSTANCE_STATE_LIVE);
    I.set_address(Address);
    I.set_name(std::string("proxy-") + Address);
    I.set_availability_zone("az-2");
  }
  return List;
}

class PeerDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerDirectoryTest);
  CPPUNIT_TEST(ownProxyIsAlive);
  CPPUNIT_TEST(peerIsAliveUntilTheTimeoutAfterAnExchange);
  CPPUNIT_TEST(drainingPeerIsNotAlive);
  CPPUNIT_TEST(listedPeerWithoutExchangesIsAWitnessUntilTheTimeout);
  CPPUNIT_TEST(contactsAtMostFanoutPeersInAnInterval);
  CPPUNIT_TEST(reachesEveryPeerOverTime);
  CPPUNIT_TEST(neverContactsItself);
  CPPUNIT_TEST(returnsLeavingEndpoints);
  CPPUNIT_TEST(removesPeersThatAreNeitherListedNorInContact);
  CPPUNIT_TEST_SUITE_END();

  static PeerSettings settings() {
    PeerSettings Settings;
    Settings.Self = {"proxy-self", "az-1"};
    Settings.OwnAddress = "self";
    return Settings;
  }

  PeerDirectory Directory{settings(), 1};

  void ownProxyIsAlive() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.alive(at(0)).size());
  }

  void peerIsAliveUntilTheTimeoutAfterAnExchange() {
    Directory.recordExchange("b", {"proxy-b", "az-2", 1, false}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Directory.alive(at(1499)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.alive(at(1500)).size());
  }

  void drainingPeerIsNotAlive() {
    Directory.recordExchange("b", {"proxy-b", "az-2", 1, true}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.alive(at(10)).size());
  }

  // Guards against a proxy that has lost contact with its peers and, taking
  // itself for the only one, promotes on its own evidence.
  void listedPeerWithoutExchangesIsAWitnessUntilTheTimeout() {
    Directory.updateFromList(makeList({"b"}), at(0));
    Directory.recordExchange("b", {"proxy-b", "az-2", 1, false}, at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.alive(at(5000)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Directory.witnesses(at(5000)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.witnesses(at(11000)).size());
  }

  void contactsAtMostFanoutPeersInAnInterval() {
    Directory.updateFromList(makeList({"a", "b", "c", "d", "e"}), at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Directory.dueTargets(at(0)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Directory.dueTargets(at(100)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Directory.dueTargets(at(300)).size());
  }

  void reachesEveryPeerOverTime() {
    Directory.updateFromList(makeList({"a", "b", "c", "d", "e", "f"}), at(0));
    std::set<std::string> Reached;
    for (int I = 0; I < 50; ++I)
      for (const std::string &Address : Directory.dueTargets(at(I * 300)))
        Reached.insert(Address);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Reached.size());
  }

  void neverContactsItself() {
    Directory.updateFromList(makeList({"self", "b"}), at(0));
    const std::vector<std::string> Targets = Directory.dueTargets(at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Targets.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Targets.front());
  }

  void returnsLeavingEndpoints() {
    instances::ListReply List;
    instances::Instance &I = *List.add_instances();
    I.set_kind(instances::INSTANCE_KIND_ENDPOINT);
    I.set_state(instances::INSTANCE_STATE_LEAVING);
    I.set_name("ledger-1-a");
    Directory.updateFromList(List, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Directory.leavingEndpoints().size());
    Directory.updateFromList({}, at(10));
    CPPUNIT_ASSERT(Directory.leavingEndpoints().empty());
  }

  void removesPeersThatAreNeitherListedNorInContact() {
    Directory.updateFromList(makeList({"a"}), at(0));
    Directory.updateFromList(makeList({"b"}), at(100));
    const std::vector<std::string> Targets = Directory.dueTargets(at(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Targets.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Targets.front());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDirectoryTest);

} // namespace
} // namespace borageridge::membership
