#include "quota/GrantTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::quota {
namespace {

using std::chrono::milliseconds;

constexpr Tolerance Allowed{std::chrono::seconds(5), 0.1, 20};

Time at(int Ms) { return Time(milliseconds(Ms)); }

class GrantTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrantTableTest);
  CPPUNIT_TEST(newHolderBeginsNearlyEmpty);
  CPPUNIT_TEST(grantsAThirdOfTheRateAndAThirdOfTheBurst);
  CPPUNIT_TEST(smallOrganisationMaySendAFewOperationsAtOnce);
  CPPUNIT_TEST(loweredLimitTakesEffectAtOnce);
  CPPUNIT_TEST(tokensLiveShorterUnderASmallerOverage);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a bucket that starts full after its former holder has
  // granted everything.
  void newHolderBeginsNearlyEmpty() {
    GrantTable Table(Allowed, at(0));
    CPPUNIT_ASSERT_EQUAL(2U, Table.grant("mill", {300, 300}, 100, at(0)));
    CPPUNIT_ASSERT_EQUAL(0U, Table.grant("mill", {300, 300}, 100, at(0)));
  }

  void grantsAThirdOfTheRateAndAThirdOfTheBurst() {
    GrantTable Table(Allowed, at(0));
    // 300 x 1.1 / 3 and a sixth of the slack, once the bucket is full.
    CPPUNIT_ASSERT_EQUAL(113U, Table.grant("mill", {300, 300}, 500, at(9000)));
    CPPUNIT_ASSERT_EQUAL(10U, Table.grant("mill", {300, 300}, 500, at(9100)));
  }

  void smallOrganisationMaySendAFewOperationsAtOnce() {
    GrantTable Table(Allowed, at(0));
    CPPUNIT_ASSERT_EQUAL(4U, Table.grant("mill", {2, 2}, 9, at(20000)));
  }

  void loweredLimitTakesEffectAtOnce() {
    GrantTable Table(Allowed, at(0));
    Table.grant("mill", {300, 300}, 1, at(9000));
    CPPUNIT_ASSERT_EQUAL(7U, Table.grant("mill", {3, 10}, 100, at(9001)));
  }

  void tokensLiveShorterUnderASmallerOverage() {
    CPPUNIT_ASSERT(tokenLifetime(Allowed) > milliseconds(230));
    // The tokens of a window and of one lifetime before it are inside the
    // bound.
    CPPUNIT_ASSERT(grantedRate(1000, Allowed) * 5.24 < 1000 * 5 * 1.1);
    CPPUNIT_ASSERT(tokenLifetime(Allowed) < milliseconds(240));
    CPPUNIT_ASSERT(tokenLifetime({milliseconds(1000), 0.1, 20}) <
                   milliseconds(48));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantTableTest);

} // namespace
} // namespace borageridge::quota
