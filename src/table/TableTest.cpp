#include "table/Table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace borageridge::table {
namespace {

// Names are few so that rows of two generated tables often have the same key.
rc::Gen<std::string> anyName() {
  return rc::gen::element<std::string>("*", "a", "b", "c");
}

rc::Gen<double> anyShare() {
  return rc::gen::map(rc::gen::inRange(0, 5), [](int N) { return N / 4.0; });
}

rc::Gen<std::uint32_t> anyLimit() {
  return rc::gen::inRange<std::uint32_t>(1, 4);
}

Table anyTable() {
  Table T;
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    T.Groups[*anyName()] = {*anyLimit(), *anyLimit(), *anyShare()};
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    T.Classes[*anyName()] = {
        *rc::gen::element(RequestKind::Read, RequestKind::Write), *anyLimit()};
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    T.Reads[{*anyName(), *anyName()}] = {
        *anyShare(), std::chrono::milliseconds(*anyLimit())};
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    T.Writes[{*anyName(), *anyName()}] =
        *rc::gen::element(Acknowledge::Majority, Acknowledge::Primary);
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I)
    T.Callers[{*anyName(), *anyName()}] = {*anyLimit(), *anyLimit()};
  return T;
}

class TableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(rowForADatabaseGoesBeforeTheDefaultRow);
  CPPUNIT_TEST(lookupWithoutARowReturnsTheDefaults);
  CPPUNIT_TEST(differenceNamesRowKeyAndBothValues);
  CPPUNIT_TEST(differenceNamesAddedAndRemovedRows);
  CPPUNIT_TEST(differencePrintsCloseSharesApart);
  CPPUNIT_TEST(differenceIsEmptyIfAndOnlyIfTheTablesAreEqual);
  CPPUNIT_TEST_SUITE_END();

  void rowForADatabaseGoesBeforeTheDefaultRow() {
    Table T;
    T.Groups["*"].MaxProxies = 3;
    T.Groups["d"].MaxProxies = 4;
    T.Reads[{"*", "r"}].ReplicaShare = 0.25;
    T.Reads[{"d", "r"}].ReplicaShare = 0.75;
    T.Callers[{"*", "c"}].MaxInFlight = 5;
    CPPUNIT_ASSERT_EQUAL(4U, T.group("d").MaxProxies);
    CPPUNIT_ASSERT_EQUAL(3U, T.group("e").MaxProxies);
    CPPUNIT_ASSERT_EQUAL(0.75, T.read("d", "r").ReplicaShare);
    CPPUNIT_ASSERT_EQUAL(0.25, T.read("e", "r").ReplicaShare);
    CPPUNIT_ASSERT_EQUAL(5U, T.caller("d", "c").MaxInFlight);
  }

  void lookupWithoutARowReturnsTheDefaults() {
    const Table T;
    CPPUNIT_ASSERT(T.group("d") == GroupPolicy());
    CPPUNIT_ASSERT(T.read("d", "r") == ReadPolicy());
    CPPUNIT_ASSERT(T.caller("d", "c") == CallerPolicy());
    CPPUNIT_ASSERT(T.acknowledge("d", "w") == Acknowledge::Majority);
    CPPUNIT_ASSERT(!T.requestClass("r").has_value());
  }

  void differenceNamesRowKeyAndBothValues() {
    Table Old;
    Old.Reads[{"ledger-1", "stock_glance"}].AcceptedAge =
        std::chrono::milliseconds(1000);
    Table New = Old;
    New.Reads[{"ledger-1", "stock_glance"}].AcceptedAge =
        std::chrono::milliseconds(500);
    const auto Lines = difference(Old, New);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Lines.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("read ledger-1/stock_glance: accepted_age_ms 1000 -> 500"),
        Lines.front());
  }

  void differenceNamesAddedAndRemovedRows() {
    Table Old;
    Old.Classes["order"] = {RequestKind::Write, 1};
    Table New;
    New.Groups["d"] = {2, 3, 0.5};
    const auto Lines = difference(Old, New);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("group d: added max_proxies 2, "
                                     "connections_per_member 3, "
                                     "primary_write_reserve 0.5"),
                         Lines[0]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("class order: removed kind write, priority 1"), Lines[1]);
  }

  // Guards against a rounded output in which a change looks like none.
  void differencePrintsCloseSharesApart() {
    Table Old;
    Old.Reads[{"d", "r"}].ReplicaShare = 0.3;
    Table New;
    New.Reads[{"d", "r"}].ReplicaShare = 0.1 + 0.2;
    const auto Lines = difference(Old, New);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Lines.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("read d/r: replica_share 0.3 -> 0.30000000000000004"),
        Lines.front());
  }

  void differenceIsEmptyIfAndOnlyIfTheTablesAreEqual() {
    CPPUNIT_ASSERT(rc::check("difference is empty iff equal", [] {
      const Table A = anyTable();
      const Table B = *rc::gen::arbitrary<bool>() ? A : anyTable();
      RC_ASSERT(difference(A, B).empty() == (A == B));
      RC_ASSERT(difference(A, A).empty());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

} // namespace
} // namespace borageridge::table
