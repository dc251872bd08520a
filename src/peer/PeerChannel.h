#ifndef BORAGERIDGE_PEER_PEERCHANNEL_H
#define BORAGERIDGE_PEER_PEERCHANNEL_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "peer/Frame.h"
#include "runtime/Async.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace borageridge::peer {

/// Returns the reply to a request of another daemon. After a failure the
/// connection is closed without a reply.
using Handler = std::function<runtime::Task<Expected<Message>>(Message)>;

/// Called with the sender's address before a connection is closed because of an
/// invalid frame or a failure of the handler.
using RejectionHandler =
    std::function<void(const std::string &Sender, const Failure &Reason)>;

/// Sends requests to one other daemon, multiplexed over one connection.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
public:
  PeerChannel(runtime::asio::io_context &Io, runtime::tcp::endpoint Peer);

  /// Returns Unavailable if no connection could be made, and Unknown if the
  /// connection closed or Timeout passed before the reply. Connecting may take
  /// additional time.
  runtime::Task<Expected<Message>> request(Message Request, Duration Timeout);

  /// Closes the connection; pending requests fail with Unknown.
  void close();

private:
  struct PendingRequest;
  struct Connection;
  runtime::Task<std::shared_ptr<Connection>> connect(Duration Timeout);
  runtime::Task<void> readReplies(std::shared_ptr<Connection> Source);

  runtime::asio::io_context &Io;
  runtime::tcp::endpoint Peer;
  std::shared_ptr<Connection> Current;
  std::uint64_t LastId = 0;
};

/// Serves requests of other daemons until the event loop stops.
Expected<void> serve(runtime::asio::io_context &Io,
                     runtime::tcp::endpoint Address, Handler Handle,
                     RejectionHandler OnRejection);

} // namespace borageridge::peer

#endif // BORAGERIDGE_PEER_PEERCHANNEL_H
