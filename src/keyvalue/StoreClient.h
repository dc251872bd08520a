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

/// Sends a call of the store through another daemon that reaches it.
using Relay = std::function<runtime::Task<Expected<http::Response>>(
    http::Request, Duration)>;

/// Client of the platform's key-value service. Failures: Unavailable: not
/// carried out; Unknown: may have been or may yet be carried out.
class StoreClient {
public:
  StoreClient(runtime::asio::io_context &Io, runtime::tcp::endpoint Server);

  /// Used while the store does not serve this daemon directly.
  void setRelay(Relay Other) { Through = std::move(Other); }

  /// All items with the prefix. The revision is that of the first page, so a
  /// watch from there misses nothing.
  runtime::Task<Expected<RangePage>> range(std::string Prefix,
                                           ReadMode Mode = ReadMode::Newest);
  runtime::Task<Expected<WatchResult>> watch(std::string Prefix, Revision After,
                                             Duration Wait);
  /// Conflict: a condition did not hold.
  runtime::Task<Expected<Revision>> commit(Transaction Change);
  runtime::Task<Expected<LeaseGrant>> grant(Duration Ttl);
  /// NotFound: the lease has ended.
  runtime::Task<Expected<void>> renew(LeaseId Id);
  runtime::Task<Expected<void>> endLease(LeaseId Id);

  /// A call on behalf of another daemon; never relayed any further.
  runtime::Task<Expected<http::Response>> callDirectly(http::Request Call,
                                                       Duration Limit);

  /// Waits until another call has reached the store, for Limit at most.
  runtime::Task<void> waitUntilReached(Duration Limit);

  /// Whether the store answered this daemon itself lately.
  bool isReached(Time Now) const;
  std::uint64_t calls() const { return Calls; }

private:
  runtime::Task<Expected<http::Response>> call(http::HttpClient &Over,
                                               http::Request Call,
                                               Duration Limit, bool Repeatable);

  runtime::Task<Expected<http::Response>>
  send(http::HttpClient &Over, http::Request Call, Duration Limit);

  http::HttpClient Direct;
  /// Of its own, so that long waits can be ended when other calls fail.
  http::HttpClient Watches;
  Relay Through;
  Time LastSuccess;
  Time AvoidDirectUntil;
  std::uint64_t Calls = 0;
};

} // namespace borageridge::keyvalue

#endif // BORAGERIDGE_KEYVALUE_STORECLIENT_H
