#include "ranking/Rank.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <vector>

namespace borageridge::ranking {
namespace {

class RankTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RankTest);
  CPPUNIT_TEST(everyLiveProxyHasItsOwnRank);
  CPPUNIT_TEST(ranksAreTheSameInEveryProcess);
  CPPUNIT_TEST(aLostProxyShiftsOnlyHigherRanks);
  CPPUNIT_TEST_SUITE_END();

  const std::vector<ProxyIdentity> Live{
      {"proxy-1", "az-1"}, {"proxy-2", "az-2"}, {"proxy-3", "az-3"}};

  void everyLiveProxyHasItsOwnRank() {
    std::set<unsigned> Ranks;
    for (const ProxyIdentity &Proxy : Live)
      Ranks.insert(rankOf(Proxy.Name, Live, "ledger-1"));
    CPPUNIT_ASSERT(Ranks == (std::set<unsigned>{0, 1, 2}));
  }

  // Guards against a hash that is seeded per process. The expected order is
  // that of the SHA-256 digests printed by an independent program.
  void ranksAreTheSameInEveryProcess() {
    CPPUNIT_ASSERT_EQUAL(2U, rankOf("proxy-1", Live, "ledger-1"));
    CPPUNIT_ASSERT_EQUAL(0U, rankOf("proxy-2", Live, "ledger-1"));
    CPPUNIT_ASSERT_EQUAL(1U, rankOf("proxy-3", Live, "ledger-1"));
  }

  // Guards against ranks that depend on the order or length of the list.
  void aLostProxyShiftsOnlyHigherRanks() {
    for (const ProxyIdentity &Lost : Live) {
      std::vector<ProxyIdentity> Rest;
      for (const ProxyIdentity &Proxy : Live)
        if (Proxy.Name != Lost.Name)
          Rest.insert(Rest.begin(), Proxy);
      const unsigned LostRank = rankOf(Lost.Name, Live, "ledger-2");
      for (const ProxyIdentity &Proxy : Rest) {
        const unsigned Before = rankOf(Proxy.Name, Live, "ledger-2");
        const unsigned After = rankOf(Proxy.Name, Rest, "ledger-2");
        CPPUNIT_ASSERT_EQUAL(Before > LostRank ? Before - 1 : Before, After);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RankTest);

} // namespace
} // namespace borageridge::ranking
