#ifndef BORAGERIDGE_KEYVALUE_STORECLIENT_H
#define BORAGERIDGE_KEYVALUE_STORECLIENT_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "http/Http.h"
#include "http/HttpClient.h"
#include "keyvalue/KeyValue.h"
#include "runtime/Async.h"

#include <cstdint>
#include <functional>
#include <string>

namespace borageridge::keyvalue {

/// Forwards a store request through another daemon that can reach the store.
using Relay = std::function<runtime::Task<Expected<http::Response>>(
    http::Request, Duration)>;

/// Client of the platform's key-value service. A failure of kind Unavailable
/// means that the request was not executed; Unknown means that it may have been
/// or may still be executed. A response that was given before the store was
/// restored is Unknown too.
class StoreClient {
public:
  StoreClient(runtime::asio::io_context &Io, runtime::tcp::endpoint Server);

  /// Sets the relay to use while this daemon cannot reach the store directly.
  void setRelay(Relay NewRelay) { RelayRequest = std::move(NewRelay); }

  /// Reads all items with the prefix. The returned revision is that of the
  /// first page, so that a watch that starts from it misses no change.
  runtime::Task<Expected<RangePage>> range(std::string Prefix,
                                           ReadMode Mode = ReadMode::Latest);
  runtime::Task<Expected<WatchResult>> watch(std::string Prefix,
                                             WatchPosition From, Duration Wait);
  /// Returns Conflict if a condition did not hold, or if the store has been
  /// restored since the era of the transaction.
  runtime::Task<Expected<Revision>> commit(Transaction Change);
  runtime::Task<Expected<LeaseGrant>> grant(Duration Ttl);
  /// Returns NotFound if the lease, granted in the era GrantedIn, has ended.
  runtime::Task<Expected<void>> renew(LeaseId Id, Era GrantedIn);
  runtime::Task<Expected<void>> revokeLease(LeaseId Id, Era GrantedIn);

  /// Sends a request on behalf of another daemon; never relays it.
  runtime::Task<Expected<http::Response>> callDirectly(http::Request Request,
                                                       Duration Timeout);

  /// Waits until another request has reached the store, at most for Timeout.
  runtime::Task<void> waitUntilReachable(Duration Timeout);

  /// Whether the store recently answered a request sent directly.
  bool isReachable(Time Now) const;

  /// The newest era in which the store has answered, also through the relay.
  Era era() const { return CurrentEra; }
  /// When this client first saw that era.
  Time eraSeenAt() const { return EraSeenAt; }
  std::uint64_t calls() const { return RequestCount; }

private:
  runtime::Task<Expected<http::Response>> request(http::HttpClient &Client,
                                                  http::Request Request,
                                                  Duration Timeout,
                                                  bool Idempotent);

  runtime::Task<Expected<http::Response>>
  send(http::HttpClient &Client, http::Request Request, Duration Timeout);

  runtime::Task<Expected<http::Response>> relay(http::Request Request,
                                                Duration Timeout);

  http::HttpClient Direct;
  /// Separate from Direct, so that watches can be aborted when another request
  /// fails.
  http::HttpClient Watches;
  Relay RelayRequest;
  runtime::Task<Expected<http::Response>> deliver(http::HttpClient &Client,
                                                  http::Request Request,
                                                  Duration Timeout,
                                                  bool Idempotent);
  void observeEra(const http::Response &Response, Time Now);
  Era eraOf(const http::Response &Response) const;

  Era CurrentEra = FirstEra;
  Time EraSeenAt;
  Time LastSuccess;
  Time DirectRetryTime;
  std::uint64_t RequestCount = 0;
};

} // namespace borageridge::keyvalue

#endif // BORAGERIDGE_KEYVALUE_STORECLIENT_H
