#include "keyvalue/StoreClient.h"

#include "platform/StoreApi.h"
#include "runtime/Clock.h"

#include <utility>

namespace borageridge::keyvalue {
namespace {

using runtime::Task;

// Usual answers take milliseconds; a slow store needs some hundred.
constexpr Duration CallLimit = std::chrono::milliseconds(800);
// A watch answers this much later than its wait at most.
constexpr Duration WatchSlack = std::chrono::milliseconds(1000);
// After a failure the store is asked through other daemons for this long; then
// one call finds out whether it serves this daemon again.
constexpr Duration AvoidDirect = std::chrono::milliseconds(3000);
constexpr Duration ReturnStep = std::chrono::milliseconds(30);
// Longer than the longest time between two calls other than watches.
constexpr Duration ReachedLifetime = std::chrono::milliseconds(3000);

bool isRefusal(const http::Response &Answer) {
  return Answer.Status == 503 || Answer.Status == 429;
}

} // namespace

StoreClient::StoreClient(runtime::asio::io_context &Io,
                         runtime::tcp::endpoint Server)
    : Direct(Io, Server), Watches(Io, Server) {}

bool StoreClient::isReached(Time Now) const {
  return LastSuccess != Time() && Now - LastSuccess < ReachedLifetime &&
         Now >= AvoidDirectUntil;
}

Task<void> StoreClient::waitUntilReached(Duration Limit) {
  const Time Start = runtime::bootTime();
  do
    co_await runtime::sleepFor(ReturnStep);
  while (!isReached(runtime::bootTime()) &&
         runtime::bootTime() - Start < Limit);
}

Task<Expected<http::Response>> StoreClient::callDirectly(http::Request Call,
                                                         Duration Limit) {
  co_return co_await send(Direct, std::move(Call), Limit);
}

// A watch waits for long; if any other call fails meanwhile, it is likely to
// wait in vain.
Task<Expected<http::Response>>
StoreClient::send(http::HttpClient &Over, http::Request Call, Duration Limit) {
  ++Calls;
  Expected<http::Response> Answer = co_await Over.call(std::move(Call), Limit);
  const Time Now = runtime::bootTime();
  if (Answer && !isRefusal(Answer.value())) {
    LastSuccess = Now;
    AvoidDirectUntil = Time();
  } else {
    AvoidDirectUntil = Now + AvoidDirect;
    Direct.dropConnections();
    Watches.endCalls();
  }
  co_return Answer;
}

// A call that may be repeated is sent through another daemon as soon as the
// direct one has failed. A change is sent once on one way: if its answer is
// lost, it must be known whether it took effect before it is sent again.
Task<Expected<http::Response>> StoreClient::call(http::HttpClient &Over,
                                                 http::Request Call,
                                                 Duration Limit,
                                                 bool Repeatable) {
  const bool Avoid = runtime::bootTime() < AvoidDirectUntil;
  if (Through && Avoid) {
    Expected<http::Response> Answer = co_await Through(Call, Limit);
    const bool Settled = Answer ? !isRefusal(Answer.value())
                                : Answer.error().Kind == FailureKind::Unknown;
    if (Settled)
      co_return Answer;
    co_return co_await send(Over, std::move(Call), Limit);
  }
  Expected<http::Response> Answer = co_await send(Over, Call, Limit);
  const bool Failed = !Answer || isRefusal(Answer.value());
  if (!Through || !Failed || !Repeatable)
    co_return Answer;
  co_return co_await Through(std::move(Call), Limit);
}

Task<Expected<RangePage>> StoreClient::range(std::string Prefix,
                                             ReadMode Mode) {
  RangePage Whole;
  std::string After;
  for (;;) {
    Expected<http::Response> Answer = co_await call(
        Direct, platform::rangeCall(Prefix, After, Mode), CallLimit, true);
    if (!Answer)
      co_return std::move(Answer).error();
    Expected<RangePage> Page = platform::decodeRange(Answer.value());
    if (!Page)
      co_return std::move(Page).error();
    if (After.empty())
      Whole.StoreRevision = Page.value().StoreRevision;
    for (Item &Read : Page.value().Items)
      Whole.Items.push_back(std::move(Read));
    if (!Page.value().HasMore || Whole.Items.empty())
      co_return Whole;
    After = Whole.Items.back().Key;
  }
}

Task<Expected<WatchResult>> StoreClient::watch(std::string Prefix,
                                               Revision After, Duration Wait) {
  Expected<http::Response> Answer = co_await call(
      Watches,
      platform::watchCall(Prefix, After, runtime::toMilliseconds(Wait)),
      Wait + WatchSlack, true);
  if (!Answer)
    co_return std::move(Answer).error();
  co_return platform::decodeWatch(Answer.value());
}

Task<Expected<Revision>> StoreClient::commit(Transaction Change) {
  Expected<http::Response> Answer = co_await call(
      Direct, platform::transactionCall(Change), CallLimit, false);
  if (!Answer)
    co_return std::move(Answer).error();
  co_return platform::decodeTransaction(Answer.value());
}

Task<Expected<LeaseGrant>> StoreClient::grant(Duration Ttl) {
  Expected<http::Response> Answer =
      co_await call(Direct, platform::leaseCall(runtime::toMilliseconds(Ttl)),
                    CallLimit, true);
  if (!Answer)
    co_return std::move(Answer).error();
  co_return platform::decodeLease(Answer.value());
}

Task<Expected<void>> StoreClient::renew(LeaseId Id) {
  Expected<http::Response> Answer =
      co_await call(Direct, platform::renewCall(Id), CallLimit, true);
  if (!Answer)
    co_return std::move(Answer).error();
  co_return platform::decodeRenewal(Answer.value());
}

Task<Expected<void>> StoreClient::endLease(LeaseId Id) {
  Expected<http::Response> Answer =
      co_await call(Direct, platform::endLeaseCall(Id), CallLimit, true);
  if (!Answer)
    co_return std::move(Answer).error();
  co_return platform::decodeRenewal(Answer.value());
}

} // namespace borageridge::keyvalue
