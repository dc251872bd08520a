#include "keyvalue/StoreClient.h"

#include "platform/StoreApi.h"
#include "runtime/Clock.h"

#include <algorithm>
#include <utility>

namespace borageridge::keyvalue {
namespace {

using runtime::Task;

// The store usually answers within milliseconds, and within some hundred when
// it is slow.
constexpr Duration RequestTimeout = std::chrono::milliseconds(800);
// Time that the answer to a watch may take beyond the requested wait.
constexpr Duration WatchGracePeriod = std::chrono::milliseconds(1000);
// After a failure, requests go through the relay for this long. Then a direct
// request is tried again.
constexpr Duration DirectRetryDelay = std::chrono::milliseconds(3000);
constexpr Duration PollInterval = std::chrono::milliseconds(30);
// Longer than the longest interval between two requests other than watches.
constexpr Duration ReachableFor = std::chrono::milliseconds(3000);

bool isRejection(const http::Response &Response) {
  return Response.Status == 503 || Response.Status == 429;
}

} // namespace

StoreClient::StoreClient(runtime::asio::io_context &Io,
                         runtime::tcp::endpoint Server)
    : Direct(Io, Server), Watches(Io, Server) {}

bool StoreClient::isReachable(Time Now) const {
  return LastSuccess != Time() && Now - LastSuccess < ReachableFor &&
         Now >= DirectRetryTime;
}

Task<void> StoreClient::waitUntilReachable(Duration Timeout) {
  const Time Start = runtime::bootTime();
  do
    co_await runtime::sleepFor(PollInterval);
  while (!isReachable(runtime::bootTime()) &&
         runtime::bootTime() - Start < Timeout);
}

void StoreClient::observeEra(const http::Response &Response, Time Now) {
  const Era Stated = platform::storeEra(Response);
  if (Stated <= CurrentEra)
    return;
  CurrentEra = Stated;
  EraSeenAt = Now;
}

Era StoreClient::eraOf(const http::Response &Response) const {
  const Era Stated = platform::storeEra(Response);
  return Stated == 0 ? CurrentEra : Stated;
}

Task<Expected<http::Response>> StoreClient::callDirectly(http::Request Request,
                                                         Duration Timeout) {
  co_return co_await send(Direct, std::move(Request), Timeout);
}

// When any request fails, pending watches are aborted, since they would
// probably wait on a dead connection until their timeout.
Task<Expected<http::Response>> StoreClient::send(http::HttpClient &Client,
                                                 http::Request Request,
                                                 Duration Timeout) {
  ++RequestCount;
  Expected<http::Response> Response =
      co_await Client.send(std::move(Request), Timeout);
  const Time Now = runtime::bootTime();
  if (Response)
    observeEra(Response.value(), Now);
  if (Response && !isRejection(Response.value())) {
    LastSuccess = Now;
    DirectRetryTime = Time();
  } else {
    DirectRetryTime = Now + DirectRetryDelay;
    Direct.closeIdleConnections();
    Watches.abortRequests();
  }
  co_return Response;
}

Task<Expected<http::Response>> StoreClient::relay(http::Request Request,
                                                  Duration Timeout) {
  Expected<http::Response> Response =
      co_await RelayRequest(std::move(Request), Timeout);
  if (Response)
    observeEra(Response.value(), runtime::bootTime());
  co_return Response;
}

Task<Expected<http::Response>> StoreClient::request(http::HttpClient &Client,
                                                    http::Request Request,
                                                    Duration Timeout,
                                                    bool Idempotent) {
  Expected<http::Response> Response =
      co_await deliver(Client, std::move(Request), Timeout, Idempotent);
  if (Response && eraOf(Response.value()) < CurrentEra)
    co_return Failure{FailureKind::Unknown,
                      "answered before the store was restored"};
  co_return Response;
}

// After a direct request has failed, only an idempotent request is retried
// through the relay: if the answer to a transaction is lost, the caller must
// find out whether it took effect before sending it again. A request that the
// relay could not deliver, or to which the store answered with a rejection, is
// then sent directly, also if it is a transaction.
Task<Expected<http::Response>> StoreClient::deliver(http::HttpClient &Client,
                                                    http::Request Request,
                                                    Duration Timeout,
                                                    bool Idempotent) {
  const bool UseRelay = runtime::bootTime() < DirectRetryTime;
  if (RelayRequest && UseRelay) {
    Expected<http::Response> Response = co_await relay(Request, Timeout);
    const bool OutcomeFinal =
        Response ? !isRejection(Response.value())
                 : Response.error().Kind == FailureKind::Unknown;
    if (OutcomeFinal)
      co_return Response;
    co_return co_await send(Client, std::move(Request), Timeout);
  }
  Expected<http::Response> Response = co_await send(Client, Request, Timeout);
  const bool Failed = !Response || isRejection(Response.value());
  if (!RelayRequest || !Failed || !Idempotent)
    co_return Response;
  co_return co_await relay(std::move(Request), Timeout);
}

Task<Expected<RangePage>> StoreClient::range(std::string Prefix,
                                             ReadMode Mode) {
  RangePage Result;
  std::string After;
  for (;;) {
    Expected<http::Response> Response =
        co_await request(Direct, platform::rangeRequest(Prefix, After, Mode),
                         RequestTimeout, true);
    if (!Response)
      co_return std::move(Response).error();
    Expected<RangePage> Page = platform::decodeRange(Response.value());
    if (!Page)
      co_return std::move(Page).error();
    const Era PageEra = eraOf(Response.value());
    if (After.empty()) {
      Result.StoreRevision = Page.value().StoreRevision;
      Result.StoreEra = PageEra;
    } else if (PageEra != Result.StoreEra) {
      co_return Failure{FailureKind::Unavailable,
                        "the store was restored between two pages"};
    }
    // The next page starts after the last item, so that a page without items
    // cannot be continued.
    const bool IsLast = !Page.value().HasMore || Page.value().Items.empty();
    for (Item &Read : Page.value().Items)
      Result.Items.push_back(std::move(Read));
    if (IsLast)
      co_return Result;
    After = Result.Items.back().Key;
  }
}

// Positions, conditions and leases of an earlier era name something else in the
// present one, or nothing, so they are not sent. If the store is restored while
// the request is under way, the response tells.
Task<Expected<WatchResult>>
StoreClient::watch(std::string Prefix, WatchPosition From, Duration Wait) {
  WatchResult Lost;
  Lost.Compacted = true;
  if (From.StoreEra != CurrentEra)
    co_return Lost;
  Expected<http::Response> Response = co_await request(
      Watches,
      platform::watchRequest(Prefix, From.After, runtime::toMilliseconds(Wait)),
      Wait + WatchGracePeriod, true);
  if (!Response)
    co_return std::move(Response).error();
  if (eraOf(Response.value()) != From.StoreEra)
    co_return Lost;
  co_return platform::decodeWatch(Response.value());
}

Task<Expected<Revision>> StoreClient::commit(Transaction Change) {
  if (Change.StoreEra != CurrentEra)
    co_return Failure{FailureKind::Conflict, "the store has been restored"};
  Expected<http::Response> Response = co_await request(
      Direct, platform::transactionRequest(Change), RequestTimeout, false);
  if (!Response)
    co_return std::move(Response).error();
  // A condition may have held by accident.
  if (eraOf(Response.value()) != Change.StoreEra)
    co_return Failure{FailureKind::Unknown, "the store has been restored"};
  co_return platform::decodeTransaction(Response.value());
}

Task<Expected<LeaseGrant>> StoreClient::grant(Duration Ttl) {
  Expected<http::Response> Response = co_await request(
      Direct, platform::grantLeaseRequest(runtime::toMilliseconds(Ttl)),
      RequestTimeout, true);
  if (!Response)
    co_return std::move(Response).error();
  Expected<LeaseGrant> Result = platform::decodeLeaseGrant(Response.value());
  if (Result)
    Result.value().StoreEra = eraOf(Response.value());
  co_return Result;
}

Task<Expected<void>> StoreClient::renew(LeaseId Id, Era GrantedIn) {
  const Failure Ended{FailureKind::NotFound,
                      "ended when the store was restored"};
  if (GrantedIn != CurrentEra)
    co_return Ended;
  Expected<http::Response> Response = co_await request(
      Direct, platform::renewLeaseRequest(Id), RequestTimeout, true);
  if (!Response)
    co_return std::move(Response).error();
  if (eraOf(Response.value()) != GrantedIn)
    co_return Ended;
  co_return platform::decodeLeaseUpdate(Response.value());
}

Task<Expected<void>> StoreClient::revokeLease(LeaseId Id, Era GrantedIn) {
  if (GrantedIn != CurrentEra)
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
  Expected<http::Response> Response = co_await request(
      Direct, platform::revokeLeaseRequest(Id), RequestTimeout, true);
  if (!Response)
    co_return std::move(Response).error();
  co_return platform::decodeLeaseUpdate(Response.value());
}

} // namespace borageridge::keyvalue
