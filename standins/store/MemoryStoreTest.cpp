#include "standins/store/MemoryStore.h"
#include "standins/support/TokenBucket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::standins {
namespace {

using namespace etcdserverpb;

PutRequest putOf(const std::string &Key, const std::string &Value) {
  PutRequest Request;
  Request.set_key(Key);
  Request.set_value(Value);
  return Request;
}

RangeRequest rangeOf(const std::string &Key, std::int64_t Revision = 0) {
  RangeRequest Request;
  Request.set_key(Key);
  Request.set_revision(Revision);
  return Request;
}

// Puts Key and Other if Key has the revision.
TxnRequest swapOf(const std::string &Key, std::int64_t Revision,
                  const std::string &Other) {
  TxnRequest Request;
  auto *Condition = Request.add_compare();
  Condition->set_target(Compare::MOD);
  Condition->set_key(Key);
  Condition->set_mod_revision(Revision);
  *Request.add_success()->mutable_request_put() = putOf(Key, "new");
  *Request.add_success()->mutable_request_put() = putOf(Other, "new");
  return Request;
}

class MemoryStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryStoreTest);
  CPPUNIT_TEST(putReplacesTheValueAtANewRevision);
  CPPUNIT_TEST(transactionWritesAllKeysAtOneRevisionOrNone);
  CPPUNIT_TEST(absentKeyComparesWithRevisionZero);
  CPPUNIT_TEST(readsAndChangesBeforeTheCompactionAreRefused);
  CPPUNIT_TEST(readOfAnOldRevisionReturnsTheOldValue);
  CPPUNIT_TEST(valueAboveTheLimitIsRefusedWithoutEffect);
  CPPUNIT_TEST(deletionIsAChangeOfItsOwnRevision);
  CPPUNIT_TEST(tokenBucketAllowsItsRateAndABurstOfOneSecond);
  CPPUNIT_TEST_SUITE_END();

  MemoryStore Store{100};

  std::string value(const std::string &Key, std::int64_t Revision = 0) {
    const auto Reply = Store.range(rangeOf(Key, Revision));
    CPPUNIT_ASSERT(Reply.has_value());
    return Reply.value().kvs().empty() ? "absent"
                                       : Reply.value().kvs(0).value();
  }

  void putReplacesTheValueAtANewRevision() {
    CPPUNIT_ASSERT(Store.put(putOf("k", "a")).has_value());
    const auto Second = Store.put(putOf("k", "b"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), value("k"));
    CPPUNIT_ASSERT_EQUAL(Store.revision(),
                         std::int64_t(Second.value().header().revision()));
  }

  void transactionWritesAllKeysAtOneRevisionOrNone() {
    const auto First = Store.txn(swapOf("k", 0, "o"));
    CPPUNIT_ASSERT(First.value().succeeded());
    const auto Range = Store.range(rangeOf("o"));
    CPPUNIT_ASSERT_EQUAL(Store.revision(),
                         std::int64_t(Range.value().kvs(0).mod_revision()));
    const auto Second = Store.txn(swapOf("k", 0, "p"));
    CPPUNIT_ASSERT(!Second.value().succeeded());
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), value("p"));
  }

  void absentKeyComparesWithRevisionZero() {
    CPPUNIT_ASSERT(!Store.txn(swapOf("k", 5, "o")).value().succeeded());
    CPPUNIT_ASSERT(Store.txn(swapOf("k", 0, "o")).value().succeeded());
  }

  void readsAndChangesBeforeTheCompactionAreRefused() {
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(Store.put(putOf("k", "v")).has_value());
    const std::int64_t Now = Store.revision();
    Store.compact(Now);
    CPPUNIT_ASSERT(!Store.range(rangeOf("k", Now - 1)).has_value());
    CPPUNIT_ASSERT(!Store.changes("k", "", Now).has_value());
    CPPUNIT_ASSERT(Store.changes("k", "", Now + 1).has_value());
  }

  void readOfAnOldRevisionReturnsTheOldValue() {
    CPPUNIT_ASSERT(Store.put(putOf("k", "a")).has_value());
    const std::int64_t Old = Store.revision();
    CPPUNIT_ASSERT(Store.put(putOf("k", "b")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), value("k", Old));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), value("k", Old - 1));
  }

  void valueAboveTheLimitIsRefusedWithoutEffect() {
    const std::int64_t Before = Store.revision();
    const std::string Large(MemoryStore::MaxValueBytes + 1, 'x');
    const auto Refused = Store.put(putOf("k", Large));
    CPPUNIT_ASSERT(Refused.error() == StoreError::TooLarge);
    CPPUNIT_ASSERT_EQUAL(Before, Store.revision());
  }

  void deletionIsAChangeOfItsOwnRevision() {
    CPPUNIT_ASSERT(Store.put(putOf("k", "a")).has_value());
    const std::int64_t From = Store.revision() + 1;
    DeleteRangeRequest Request;
    Request.set_key("k");
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1),
                         std::int64_t(Store.deleteRange(Request).deleted()));
    const auto Changes = Store.changes("k", "", From);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Changes.value().size());
    CPPUNIT_ASSERT(Changes.value()[0].type() == Event::DELETE);
  }

  void tokenBucketAllowsItsRateAndABurstOfOneSecond() {
    const Time Start{};
    TokenBucket Bucket(10, Start);
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Bucket.take(Start));
    CPPUNIT_ASSERT(!Bucket.take(Start));
    CPPUNIT_ASSERT(Bucket.take(Start + std::chrono::milliseconds(101)));
    CPPUNIT_ASSERT(!Bucket.take(Start + std::chrono::milliseconds(102)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryStoreTest);

} // namespace
} // namespace borageridge::standins
