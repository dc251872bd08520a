#include "keyvalue/StoreClient.h"

#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace borageridge::keyvalue {
namespace {

using runtime::Task;
using std::chrono::milliseconds;

std::optional<http::Response> unavailable(const http::Request & /*Call*/) {
  return http::Response{503, "{}"};
}

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(retriesARejectedReadThroughTheRelay);
  CPPUNIT_TEST(retriesARejectedRenewalThroughTheRelay);
  CPPUNIT_TEST(sendsARejectedTransactionOnlyOnce);
  CPPUNIT_TEST(prefersTheRelayAfterAFailure);
  CPPUNIT_TEST(retriesDirectlyWithoutARelay);
  CPPUNIT_TEST(storeIsReachableAfterASuccess);
  CPPUNIT_TEST(waitEndsWhenAnotherRequestSucceeds);
  CPPUNIT_TEST(waitEndsAtTheTimeout);
  CPPUNIT_TEST(failedRequestAbortsWatches);
  CPPUNIT_TEST(staleReadIsMarkedInTheRequest);
  CPPUNIT_TEST(knowsTheEraOfDirectAndOfRelayedAnswers);
  CPPUNIT_TEST(watchOfAnEarlierEraIsCompactedInsteadOfMissingChanges);
  CPPUNIT_TEST(watchDuringWhichTheStoreIsRestoredIsCompacted);
  CPPUNIT_TEST(transactionOfAnEarlierEraIsNotSent);
  CPPUNIT_TEST(transactionExecutedAfterARestoreIsUnknown);
  CPPUNIT_TEST(leaseOfAnEarlierEraIsNeitherRenewedNorEnded);
  CPPUNIT_TEST(answerFromBeforeARestoreIsNotUsed);
  CPPUNIT_TEST_SUITE_END();

  runtime::asio::io_context Io;
  platform::FakeStore Store{Io};
  StoreClient Client{Io, Store.address()};
  std::size_t Relayed = 0;

  void installRelay() {
    Client.setRelay(
        [this](http::Request, Duration) -> Task<Expected<http::Response>> {
          ++Relayed;
          http::Response Answer;
          Answer.Status = 200;
          Answer.Body = R"({"items":[],"has_more":false,"store_revision":7})";
          co_return Answer;
        });
  }

  template <typename T> Expected<T> run(Task<Expected<T>> Work) {
    std::optional<Expected<T>> Result;
    const auto Await = [&]() -> Task<void> {
      Result = co_await std::move(Work);
      Io.stop();
    };
    runtime::spawn(Io, Await());
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Result.has_value());
    return std::move(*Result);
  }

  void retriesARejectedReadThroughTheRelay() {
    installRelay();
    Store.Intercept = unavailable;
    const Expected<RangePage> Page = run(Client.range("a"));
    CPPUNIT_ASSERT(Page.has_value());
    CPPUNIT_ASSERT_EQUAL(Revision(7), Page.value().StoreRevision);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-range"));
  }

  void retriesARejectedRenewalThroughTheRelay() {
    installRelay();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(run(Client.renew(3, FirstEra)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Relayed);
  }

  void sendsARejectedTransactionOnlyOnce() {
    installRelay();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Client.commit(Transaction())).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Relayed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-txn"));
  }

  void prefersTheRelayAfterAFailure() {
    installRelay();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-range"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Relayed);
  }

  void retriesDirectlyWithoutARelay() {
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Client.range("a")).has_value());
    Store.Intercept = [](const http::Request &) { return std::nullopt; };
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
  }

  void storeIsReachableAfterASuccess() {
    CPPUNIT_ASSERT(!Client.isReachable(runtime::bootTime()));
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
    CPPUNIT_ASSERT(Client.isReachable(runtime::bootTime()));
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Client.range("a")).has_value());
    CPPUNIT_ASSERT(!Client.isReachable(runtime::bootTime()));
  }

  Duration measureWait(Duration Timeout) {
    const Time Start = runtime::bootTime();
    std::optional<Time> Ended;
    const auto Wait = [&]() -> Task<void> {
      co_await Client.waitUntilReachable(Timeout);
      Ended = runtime::bootTime();
      Io.stop();
    };
    runtime::spawn(Io, Wait());
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Ended.has_value());
    return *Ended - Start;
  }

  void waitEndsWhenAnotherRequestSucceeds() {
    const auto Read = [this]() -> Task<void> {
      const Expected<RangePage> Page = co_await Client.range("a");
      CPPUNIT_ASSERT(Page.has_value());
    };
    runtime::spawn(Io, Read());
    CPPUNIT_ASSERT(measureWait(std::chrono::seconds(2)) < milliseconds(500));
  }

  void waitEndsAtTheTimeout() {
    const Duration Waited = measureWait(milliseconds(100));
    CPPUNIT_ASSERT(Waited >= milliseconds(100));
    CPPUNIT_ASSERT(Waited < milliseconds(500));
  }

  // Guards against a watch that waits until its timeout on a dead connection.
  // The listener accepts connections and never answers.
  void failedRequestAbortsWatches() {
    Expected<runtime::tcp::acceptor> Silent = runtime::listen(
        Io,
        runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0));
    StoreClient Isolated(Io, Silent.value().local_endpoint());
    std::optional<Time> Ended;
    const Time Start = runtime::bootTime();
    const auto Watch = [&]() -> Task<void> {
      const Expected<WatchResult> Result =
          co_await Isolated.watch("a", {FirstEra, 1}, std::chrono::seconds(15));
      CPPUNIT_ASSERT(!Result.has_value());
      Ended = runtime::bootTime();
    };
    runtime::spawn(Io, Watch());
    const auto Renew = [&]() -> Task<void> {
      const Expected<void> Renewed = co_await Isolated.renew(3, FirstEra);
      CPPUNIT_ASSERT(!Renewed.has_value());
      co_await runtime::sleepFor(milliseconds(50));
      Io.stop();
    };
    runtime::spawn(Io, Renew());
    Io.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Ended.has_value());
    CPPUNIT_ASSERT(*Ended - Start < std::chrono::seconds(2));
  }

  void knowsTheEraOfDirectAndOfRelayedAnswers() {
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
    CPPUNIT_ASSERT_EQUAL(Era(1), Client.era());
    Store.Intercept = unavailable;
    Client.setRelay(
        [](http::Request, Duration) -> Task<Expected<http::Response>> {
          http::Response Answer;
          Answer.Status = 200;
          Answer.Body = R"({"items":[],"has_more":false,"store_revision":7})";
          platform::setStoreEra(Answer, 2);
          co_return Answer;
        });
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
    CPPUNIT_ASSERT_EQUAL(Era(2), Client.era());
  }

  /// Restores the store, which the client notices.
  void restoreStore() {
    ++Store.Era;
    CPPUNIT_ASSERT(run(Client.range("a")).has_value());
  }

  // The restored store assigns the same revisions again.
  void watchOfAnEarlierEraIsCompactedInsteadOfMissingChanges() {
    restoreStore();
    const auto Seen = run(Client.watch("a", {FirstEra, 1}, milliseconds(10)));
    CPPUNIT_ASSERT(Seen.value().Compacted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.count("kv-watch"));
  }

  void watchDuringWhichTheStoreIsRestoredIsCompacted() {
    ++Store.Era;
    const auto Seen = run(Client.watch("a", {FirstEra, 1}, milliseconds(10)));
    CPPUNIT_ASSERT(Seen.value().Compacted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-watch"));
  }

  void transactionOfAnEarlierEraIsNotSent() {
    restoreStore();
    CPPUNIT_ASSERT(run(Client.commit(Transaction())).error().Kind ==
                   FailureKind::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.count("kv-txn"));
  }

  void transactionExecutedAfterARestoreIsUnknown() {
    ++Store.Era;
    CPPUNIT_ASSERT(run(Client.commit(Transaction())).error().Kind ==
                   FailureKind::Unknown);
  }

  // The restored store assigns the same lease ids again.
  void leaseOfAnEarlierEraIsNeitherRenewedNorEnded() {
    restoreStore();
    CPPUNIT_ASSERT(run(Client.renew(3, FirstEra)).error().Kind ==
                   FailureKind::NotFound);
    CPPUNIT_ASSERT(run(Client.revokeLease(3, FirstEra)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.count("kv-keep"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.count("kv-lease"));
  }

  void answerFromBeforeARestoreIsNotUsed() {
    restoreStore();
    --Store.Era;
    CPPUNIT_ASSERT(run(Client.range("a")).error().Kind == FailureKind::Unknown);
  }

  void staleReadIsMarkedInTheRequest() {
    CPPUNIT_ASSERT(run(Client.range("a", ReadMode::AllowStale)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("serializable=1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace
} // namespace borageridge::keyvalue
