#include "table/TableState.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace borageridge::table {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

record::TableRecord record(std::uint64_t Version, std::string Text = "") {
  record::TableRecord Record;
  Record.set_version(Version);
  Record.set_text(std::move(Text));
  return Record;
}

std::string proxies(std::uint64_t Count) {
  return "[[group]]\ndatabase='*'\nconnections_per_member=1\n"
         "primary_write_reserve=0\nmax_proxies=" +
         std::to_string(Count);
}

class TableStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableStateTest);
  CPPUNIT_TEST(startsWithTheDefaultsAndVersionZero);
  CPPUNIT_TEST(takesAHigherVersionAndItsTable);
  CPPUNIT_TEST(ignoresALowerOrEqualVersion);
  CPPUNIT_TEST(keepsTheVersionInForceIfAHigherOneDoesNotParse);
  CPPUNIT_TEST(offerAloneDoesNotMakeAVersionRecent);
  CPPUNIT_TEST(confirmationIsRecentForTheBoundOnly);
  CPPUNIT_TEST(confirmationOfALowerVersionIsIgnored);
  CPPUNIT_TEST(confirmationOfAHigherVersionEndsRecent);
  CPPUNIT_TEST(olderConfirmationDoesNotTurnTheTimeBack);
  CPPUNIT_TEST(versionNeverGoesDownWhateverTheOrderOfOffers);
  CPPUNIT_TEST_SUITE_END();

  const Time Start = Time() + seconds(100);
  TableState State{seconds(5)};

  void startsWithTheDefaultsAndVersionZero() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), State.version());
    CPPUNIT_ASSERT(*State.table() == Table());
    CPPUNIT_ASSERT(!State.recent(Start));
  }

  void takesAHigherVersionAndItsTable() {
    const auto Result = State.offer(record(7, proxies(3)), Start);
    CPPUNIT_ASSERT(Result.has_value());
    CPPUNIT_ASSERT(Result.value() == TableState::Offer::Taken);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), State.version());
    CPPUNIT_ASSERT_EQUAL(3U, State.table()->group("d").MaxProxies);
    CPPUNIT_ASSERT(State.takenAt() == Start);
  }

  void ignoresALowerOrEqualVersion() {
    CPPUNIT_ASSERT(State.offer(record(7, proxies(3)), Start).has_value());
    const auto Older = State.offer(record(6, proxies(9)), Start);
    const auto Same = State.offer(record(7, proxies(9)), Start);
    CPPUNIT_ASSERT(Older.value() == TableState::Offer::Older);
    CPPUNIT_ASSERT(Same.value() == TableState::Offer::InForce);
    CPPUNIT_ASSERT_EQUAL(3U, State.table()->group("d").MaxProxies);
  }

  void keepsTheVersionInForceIfAHigherOneDoesNotParse() {
    CPPUNIT_ASSERT(State.offer(record(7, proxies(3)), Start).has_value());
    State.confirm(7, Start);
    const auto Broken = State.offer(record(8, proxies(0)), Start);
    CPPUNIT_ASSERT(!Broken.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("max_proxies"), Broken.error().Key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), State.version());
    CPPUNIT_ASSERT(!State.recent(Start));
  }

  // Guards against a stale peer that makes its own table look confirmed.
  void offerAloneDoesNotMakeAVersionRecent() {
    CPPUNIT_ASSERT(State.offer(record(7), Start).has_value());
    State.confirm(7, Start);
    CPPUNIT_ASSERT(State.recent(Start));
    CPPUNIT_ASSERT(State.offer(record(8), Start).has_value());
    CPPUNIT_ASSERT(!State.recent(Start));
  }

  void confirmationIsRecentForTheBoundOnly() {
    CPPUNIT_ASSERT(State.offer(record(7), Start).has_value());
    State.confirm(7, Start);
    CPPUNIT_ASSERT(State.recent(Start + seconds(5)));
    CPPUNIT_ASSERT(!State.recent(Start + seconds(5) + milliseconds(1)));
  }

  void confirmationOfALowerVersionIsIgnored() {
    CPPUNIT_ASSERT(State.offer(record(7), Start).has_value());
    State.confirm(6, Start);
    CPPUNIT_ASSERT(!State.recent(Start));
  }

  void confirmationOfAHigherVersionEndsRecent() {
    CPPUNIT_ASSERT(State.offer(record(7), Start).has_value());
    State.confirm(7, Start);
    State.confirm(8, Start);
    CPPUNIT_ASSERT(!State.recent(Start));
  }

  void olderConfirmationDoesNotTurnTheTimeBack() {
    CPPUNIT_ASSERT(State.offer(record(7), Start).has_value());
    State.confirm(7, Start + seconds(4));
    State.confirm(7, Start);
    CPPUNIT_ASSERT(State.recent(Start + seconds(8)));
  }

  void versionNeverGoesDownWhateverTheOrderOfOffers() {
    CPPUNIT_ASSERT(rc::check("a version never goes down", [this] {
      TableState Fresh{seconds(5)};
      std::uint64_t HighestValid = 0;
      const auto Versions = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 20));
      for (const std::uint64_t Version : Versions) {
        const std::uint64_t Before = Fresh.version();
        const bool Valid = *rc::gen::arbitrary<bool>();
        // A limit of zero makes the text malformed.
        const std::string Text = proxies(Valid ? Version + 1 : 0);
        const auto Result = Fresh.offer(record(Version, Text), Start);
        RC_ASSERT(Fresh.version() >= Before);
        RC_ASSERT(Result.has_value() || (!Valid && Version > Before));
        if (Valid)
          HighestValid = std::max(HighestValid, Version);
        RC_ASSERT(Fresh.version() == HighestValid);
        if (HighestValid > 0)
          RC_ASSERT(Fresh.table()->group("d").MaxProxies == HighestValid + 1);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableStateTest);

} // namespace
} // namespace borageridge::table
