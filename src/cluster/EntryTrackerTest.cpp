#include "cluster/EntryTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

using keyvalue::Item;
using keyvalue::RangePage;
using keyvalue::Revision;
using std::chrono::seconds;

constexpr Time Now{seconds(100)};

RangePage read(std::vector<Item> Items, Revision At) {
  return {std::move(Items), false, At};
}

Item item(std::string Key, Revision Changed) {
  Item Result;
  Result.Key = std::move(Key);
  Result.ModRevision = Changed;
  return Result;
}

class EntryTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTrackerTest);
  CPPUNIT_TEST(aNewEntryIsReported);
  CPPUNIT_TEST(anUnchangedEntryIsReportedOnce);
  CPPUNIT_TEST(aStaleReadDoesNotRevertAnEntry);
  CPPUNIT_TEST(aStaleReadDoesNotRemoveANewerEntry);
  CPPUNIT_TEST(anAbsentEntryIsReportedForEachRead);
  CPPUNIT_TEST(aRecreatedEntryIsReported);
  CPPUNIT_TEST(anUnchangedEntryThatReturnsIsReported);
  CPPUNIT_TEST(entriesThatStayAbsentAreDropped);
  CPPUNIT_TEST(anEntryWithALowerRevisionAfterARestoreIsReported);
  CPPUNIT_TEST(anEntryThatARestoredStoreLostIsAbsent);
  CPPUNIT_TEST_SUITE_END();

  EntryTracker Subject;

  static RangePage readAfterRestore(std::vector<Item> Items, Revision At) {
    RangePage Result = read(std::move(Items), At);
    Result.StoreEra = 2;
    return Result;
  }

  void anEntryWithALowerRevisionAfterARestoreIsReported() {
    Subject.update(read({item("a", 9)}, 9), Now);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), Subject.update(readAfterRestore({item("a", 5)}, 5), Now)
                            .Written.size());
    CPPUNIT_ASSERT(Subject.update(readAfterRestore({item("a", 5)}, 6), Now)
                       .Written.empty());
  }

  void anEntryThatARestoredStoreLostIsAbsent() {
    Subject.update(read({item("a", 9)}, 9), Now);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Subject.update(readAfterRestore({}, 5), Now).Absent.size());
  }

  void aNewEntryIsReported() {
    const auto Seen = Subject.update(read({item("a", 5)}, 5), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Seen.Written.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Seen.Written[0].Key);
    CPPUNIT_ASSERT(Seen.Absent.empty());
  }

  void anUnchangedEntryIsReportedOnce() {
    Subject.update(read({item("a", 5)}, 5), Now);
    CPPUNIT_ASSERT(
        Subject.update(read({item("a", 5)}, 9), Now).Written.empty());
  }

  void aStaleReadDoesNotRevertAnEntry() {
    Subject.update(read({item("a", 5)}, 5), Now);
    CPPUNIT_ASSERT(
        Subject.update(read({item("a", 3)}, 4), Now).Written.empty());
  }

  void aStaleReadDoesNotRemoveANewerEntry() {
    Subject.update(read({item("a", 5)}, 5), Now);
    CPPUNIT_ASSERT(Subject.update(read({}, 4), Now).Absent.empty());
  }

  void anAbsentEntryIsReportedForEachRead() {
    Subject.update(read({item("a", 5)}, 5), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Subject.update(read({}, 6), Now).Absent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Subject.update(read({}, 7), Now).Absent.size());
  }

  void aRecreatedEntryIsReported() {
    Subject.update(read({item("a", 5)}, 5), Now);
    Subject.update(read({}, 6), Now);
    const auto Seen = Subject.update(read({item("a", 7)}, 7), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Seen.Written.size());
    CPPUNIT_ASSERT(Subject.update(read({item("a", 7)}, 8), Now).Absent.empty());
  }

  // The read without the entry may have been older than the revision that it
  // reported.
  void anUnchangedEntryThatReturnsIsReported() {
    Subject.update(read({item("a", 5)}, 5), Now);
    Subject.update(read({}, 6), Now);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Subject.update(read({item("a", 5)}, 7), Now).Written.size());
  }

  void entriesThatStayAbsentAreDropped() {
    Subject.update(read({item("a", 5)}, 5), Now);
    Subject.update(read({}, 6), Now + seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Subject.size());
    Subject.update(read({}, 7), Now + seconds(61));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Subject.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTrackerTest);

} // namespace
} // namespace borageridge::cluster
