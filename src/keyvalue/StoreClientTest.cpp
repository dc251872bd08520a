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
  CPPUNIT_TEST(aRefusedReadIsRepeatedThroughAPeer);
  CPPUNIT_TEST(aRefusedRenewalIsRepeatedThroughAPeer);
  CPPUNIT_TEST(aRefusedChangeIsNotSentTwice);
  CPPUNIT_TEST(afterAFailureCallsGoThroughAPeerFirst);
  CPPUNIT_TEST(withoutAPeerTheStoreIsAskedAgain);
  CPPUNIT_TEST(aSuccessMakesTheStoreCountAsReached);
  CPPUNIT_TEST(aWaitEndsWhenAnotherCallReachesTheStore);
  CPPUNIT_TEST(aWaitForTheStoreEndsInTime);
  CPPUNIT_TEST(aFailingCallEndsTheWatches);
  CPPUNIT_TEST(aReadThatMayBeOldSaysSo);
  CPPUNIT_TEST_SUITE_END();

  runtime::asio::io_context Io;
  platform::FakeStore Store{Io};
  StoreClient Subject{Io, Store.address()};
  std::size_t Relayed = 0;

  void relayThroughAPeer() {
    Subject.setRelay(
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

  void aRefusedReadIsRepeatedThroughAPeer() {
    relayThroughAPeer();
    Store.Intercept = unavailable;
    const Expected<RangePage> Page = run(Subject.range("a"));
    CPPUNIT_ASSERT(Page.has_value());
    CPPUNIT_ASSERT_EQUAL(Revision(7), Page.value().StoreRevision);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-range"));
  }

  void aRefusedRenewalIsRepeatedThroughAPeer() {
    relayThroughAPeer();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(run(Subject.renew(3)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Relayed);
  }

  void aRefusedChangeIsNotSentTwice() {
    relayThroughAPeer();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Subject.commit(Transaction())).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Relayed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-txn"));
  }

  void afterAFailureCallsGoThroughAPeerFirst() {
    relayThroughAPeer();
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(run(Subject.range("a")).has_value());
    CPPUNIT_ASSERT(run(Subject.range("a")).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-range"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Relayed);
  }

  void withoutAPeerTheStoreIsAskedAgain() {
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Subject.range("a")).has_value());
    Store.Intercept = [](const http::Request &) { return std::nullopt; };
    CPPUNIT_ASSERT(run(Subject.range("a")).has_value());
  }

  void aSuccessMakesTheStoreCountAsReached() {
    CPPUNIT_ASSERT(!Subject.isReached(runtime::bootTime()));
    CPPUNIT_ASSERT(run(Subject.range("a")).has_value());
    CPPUNIT_ASSERT(Subject.isReached(runtime::bootTime()));
    Store.Intercept = unavailable;
    CPPUNIT_ASSERT(!run(Subject.range("a")).has_value());
    CPPUNIT_ASSERT(!Subject.isReached(runtime::bootTime()));
  }

  Duration timeOfWait(Duration Limit) {
    const Time Start = runtime::bootTime();
    std::optional<Time> Ended;
    const auto Wait = [&]() -> Task<void> {
      co_await Subject.waitUntilReached(Limit);
      Ended = runtime::bootTime();
      Io.stop();
    };
    runtime::spawn(Io, Wait());
    Io.restart();
    Io.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Ended.has_value());
    return *Ended - Start;
  }

  void aWaitEndsWhenAnotherCallReachesTheStore() {
    const auto Read = [this]() -> Task<void> {
      const Expected<RangePage> Page = co_await Subject.range("a");
      CPPUNIT_ASSERT(Page.has_value());
    };
    runtime::spawn(Io, Read());
    CPPUNIT_ASSERT(timeOfWait(std::chrono::seconds(2)) < milliseconds(500));
  }

  void aWaitForTheStoreEndsInTime() {
    const Duration Waited = timeOfWait(milliseconds(100));
    CPPUNIT_ASSERT(Waited >= milliseconds(100));
    CPPUNIT_ASSERT(Waited < milliseconds(500));
  }

  // The watch hangs on a listener that accepts and never answers.
  void aFailingCallEndsTheWatches() {
    Expected<runtime::tcp::acceptor> Silent = runtime::listen(
        Io,
        runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0));
    StoreClient Hanging(Io, Silent.value().local_endpoint());
    std::optional<Time> Ended;
    const Time Start = runtime::bootTime();
    const auto Watch = [&]() -> Task<void> {
      const Expected<WatchResult> Seen =
          co_await Hanging.watch("a", 1, std::chrono::seconds(15));
      CPPUNIT_ASSERT(!Seen.has_value());
      Ended = runtime::bootTime();
    };
    runtime::spawn(Io, Watch());
    const auto Renew = [&]() -> Task<void> {
      const Expected<void> Renewed = co_await Hanging.renew(3);
      CPPUNIT_ASSERT(!Renewed.has_value());
      co_await runtime::sleepFor(milliseconds(50));
      Io.stop();
    };
    runtime::spawn(Io, Renew());
    Io.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT(Ended.has_value());
    CPPUNIT_ASSERT(*Ended - Start < std::chrono::seconds(2));
  }

  void aReadThatMayBeOldSaysSo() {
    CPPUNIT_ASSERT(run(Subject.range("a", ReadMode::MayBeOld)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("serializable=1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace
} // namespace borageridge::keyvalue
