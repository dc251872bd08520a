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

/// Answers a message of another daemon.
using Handler = std::function<runtime::Task<Message>(Message)>;

/// Requests to one other daemon over one connection; they may overlap.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
public:
  PeerChannel(runtime::asio::io_context &Io, runtime::tcp::endpoint To);

  /// Unavailable: the daemon was not reached. Unknown: no answer in time.
  runtime::Task<Expected<Message>> ask(Message Request, Duration Limit);

  void close();

private:
  struct Pending;
  struct Link;
  runtime::Task<std::shared_ptr<Link>> connect(Duration Limit);
  runtime::Task<void> readAnswers(std::shared_ptr<Link> From);

  runtime::asio::io_context &Io;
  runtime::tcp::endpoint To;
  std::shared_ptr<Link> Current;
  std::uint64_t LastId = 0;
};

/// Accepts connections of other daemons until the loop ends.
Expected<void> serve(runtime::asio::io_context &Io,
                     runtime::tcp::endpoint Address, Handler Answer);

} // namespace borageridge::peer

#endif // BORAGERIDGE_PEER_PEERCHANNEL_H
