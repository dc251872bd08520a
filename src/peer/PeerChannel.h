#ifndef BORAGERIDGE_PEER_PEERCHANNEL_H
#define BORAGERIDGE_PEER_PEERCHANNEL_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "runtime/Async.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace borageridge::peer {

using Message = nlohmann::json;

/// Returns the reply to a request of another daemon.
using Handler = std::function<runtime::Task<Message>(Message)>;

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
                     runtime::tcp::endpoint Address, Handler Handle);

} // namespace borageridge::peer

#endif // BORAGERIDGE_PEER_PEERCHANNEL_H
