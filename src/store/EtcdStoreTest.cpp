#include "store/StoreFixture.h"

#include "store/SwapConfirmation.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace borageridge::store {
namespace {

using std::chrono::milliseconds;

// A port on which connections are refused.
std::string refusedAddress() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  CPPUNIT_ASSERT_EQUAL(
      0, bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size));
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  close(Socket);
  return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
}

template <typename Value> std::string kind(const Expected<Value> &Result) {
  return Result.has_value() ? "value" : std::string(name(Result.error().Kind));
}

class EtcdStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(readOfAnAbsentKeyReturnsRevisionZero);
  CPPUNIT_TEST(swapReturnsTheRevisionThatALaterReadShows);
  CPPUNIT_TEST(swapAgainstAnotherRevisionIsAConflictWithoutEffect);
  CPPUNIT_TEST(swapWritesAllKeys);
  CPPUNIT_TEST(refusedConnectionIsUnavailable);
  CPPUNIT_TEST(lostAnswerOfASwapIsUnknownAndTookEffect);
  CPPUNIT_TEST(unavailableAnswerOfTheServerIsUnknown);
  CPPUNIT_TEST(unansweredConnectionAttemptIsUnavailable);
  CPPUNIT_TEST(callsMoveToAnAddressThatWorks);
  CPPUNIT_TEST(readRecoversFromASilentConnectionWithinItsTimeout);
  CPPUNIT_TEST(rateLimitIsResourceExhausted);
  CPPUNIT_TEST(valueAboveTheLimitIsInvalidArgument);
  CPPUNIT_TEST(destructorEndsRunningCallsWithAFailure);
  CPPUNIT_TEST(confirmedSwapRecognisesItsOwnSuccessAfterLostAnswers);
  CPPUNIT_TEST(confirmedSwapReportsTheConflictOfAnotherWriter);
  CPPUNIT_TEST_SUITE_END();

  StoreFixture Server;
  EtcdStore Store{optionsFor({Server.address()})};

  void readOfAnAbsentKeyReturnsRevisionZero() {
    const auto Value = readNow(Store, "absent");
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Value));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Value.value().Revision);
  }

  void swapReturnsTheRevisionThatALaterReadShows() {
    const auto Created = swapNow(Store, "k", 0, "a");
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Created));
    const auto Value = readNow(Store, "k");
    CPPUNIT_ASSERT_EQUAL(Created.value(), Value.value().Revision);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Value.value().Value);
    const auto Changed = swapNow(Store, "k", Created.value(), "b");
    CPPUNIT_ASSERT(Changed.value() > Created.value());
  }

  void swapAgainstAnotherRevisionIsAConflictWithoutEffect() {
    CPPUNIT_ASSERT(swapNow(Store, "k", 0, "a").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         kind(swapNow(Store, "k", 0, "b")));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), readNow(Store, "k").value().Value);
  }

  void swapWritesAllKeys() {
    std::promise<Expected<std::int64_t>> Result;
    const std::vector<StoreWrite> Writes = {{"k", "a"}, {"h/1", "b"}};
    Store.compareAndSwap("k", 0, Writes, CallTimeout,
                         [&](Expected<std::int64_t> Answer) {
                           Result.set_value(std::move(Answer));
                         });
    const auto Revision = Result.get_future().get();
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Revision));
    CPPUNIT_ASSERT_EQUAL(Revision.value(),
                         readNow(Store, "h/1").value().Revision);
  }

  void refusedConnectionIsUnavailable() {
    EtcdStore Away(optionsFor({refusedAddress()}));
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         kind(swapNow(Away, "k", 0, "a")));
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), kind(readNow(Away, "k")));
  }

  // Guards against a repeated change after "not carried out" was reported.
  void lostAnswerOfASwapIsUnknownAndTookEffect() {
    Server.set([](control::Faults &F) { F.set_lose_answers(1); });
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         kind(swapNow(Store, "k", 0, "a")));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), readNow(Store, "k").value().Value);
  }

  // An UNAVAILABLE that the server sends may come after the effect.
  void unavailableAnswerOfTheServerIsUnknown() {
    Server.set([](control::Faults &F) { F.set_down(true); });
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         kind(swapNow(Store, "k", 0, "a")));
  }

  // A listener that never accepts HTTP/2 settings: the call waits unsent.
  void unansweredConnectionAttemptIsUnavailable() {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size));
    CPPUNIT_ASSERT_EQUAL(0, listen(Socket, 16));
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    EtcdStore Mute(
        optionsFor({"127.0.0.1:" + std::to_string(ntohs(Address.sin_port))}));
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         kind(swapNow(Mute, "k", 0, "a")));
    close(Socket);
  }

  void callsMoveToAnAddressThatWorks() {
    EtcdStore Both(optionsFor({refusedAddress(), Server.address()}));
    CPPUNIT_ASSERT_EQUAL(std::string("value"),
                         kind(swapNow(Both, "k", 0, "a")));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), readNow(Both, "k").value().Value);
  }

  void readRecoversFromASilentConnectionWithinItsTimeout() {
    CPPUNIT_ASSERT(swapNow(Store, "k", 0, "a").has_value());
    Server.set(
        [](control::Faults &F) { F.set_silence_open_connections(true); });
    const auto Value = readNow(Store, "k");
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Value));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Value.value().Value);
  }

  void rateLimitIsResourceExhausted() {
    standins::StoreLimits Limits;
    Limits.WritesPerSecond = 1;
    StoreFixture Slow(Limits);
    EtcdStore Limited(optionsFor({Slow.address()}));
    CPPUNIT_ASSERT(swapNow(Limited, "k", 0, "a").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("resource_exhausted"),
                         kind(swapNow(Limited, "j", 0, "a")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Slow.counter("refused_rate"));
  }

  void valueAboveTheLimitIsInvalidArgument() {
    const std::string Large(1024 * 1024 + 1, 'x');
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_argument"),
                         kind(swapNow(Store, "k", 0, Large)));
  }

  void destructorEndsRunningCallsWithAFailure() {
    Server.set([](control::Faults &F) { F.set_cut_off(true); });
    std::promise<Expected<StoreValue>> Result;
    {
      EtcdStore Short(optionsFor({Server.address()}));
      Short.read("k", std::chrono::seconds(30), [&](Expected<StoreValue> V) {
        Result.set_value(std::move(V));
      });
    }
    auto Future = Result.get_future();
    CPPUNIT_ASSERT(Future.wait_for(milliseconds(0)) ==
                   std::future_status::ready);
    CPPUNIT_ASSERT(!Future.get().has_value());
  }

  Expected<std::int64_t> confirmNow(const std::string &Attempt,
                                    std::int64_t Revision) {
    SwapPlan Plan;
    Plan.Key = "k";
    Plan.Revision = Revision;
    Plan.Writes = {{"k", Attempt}};
    Plan.EvidenceKey = "k";
    Plan.IsOwn = [Attempt](std::string_view Value) { return Value == Attempt; };
    Plan.Timeout = milliseconds(200);
    std::promise<Expected<std::int64_t>> Result;
    confirmSwap(Store, std::move(Plan), [&](Expected<std::int64_t> Answer) {
      Result.set_value(std::move(Answer));
    });
    return Result.get_future().get();
  }

  void confirmedSwapRecognisesItsOwnSuccessAfterLostAnswers() {
    Server.set([](control::Faults &F) { F.set_lose_answers(1); });
    const auto Result = confirmNow("mine", 0);
    CPPUNIT_ASSERT_EQUAL(std::string("value"), kind(Result));
    CPPUNIT_ASSERT_EQUAL(readNow(Store, "k").value().Revision, Result.value());
  }

  void confirmedSwapReportsTheConflictOfAnotherWriter() {
    CPPUNIT_ASSERT(swapNow(Store, "k", 0, "theirs").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), kind(confirmNow("mine", 0)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace
} // namespace borageridge::store
