#ifndef BORAGERIDGE_DATABASE_CONNECTSTREAM_H
#define BORAGERIDGE_DATABASE_CONNECTSTREAM_H

#include "database/ServerCore.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace borageridge::database {

/// One connection. Exactly one of these is in progress at a time: a read, the
/// work on a request, a delay, or a write; so its fields need no lock.
class ConnectStream final
    : public grpc::ServerBidiReactor<endpoint::ConnectionRequest,
                                     endpoint::ConnectionReply>,
      public Listener,
      public std::enable_shared_from_this<ConnectStream> {
public:
  static ConnectStream *open(ServerCore &Core,
                             grpc::CallbackServerContext *Context);

  ConnectStream(ServerCore &StreamCore,
                grpc::CallbackServerContext *StreamContext);

  void changed() override;
  void OnReadDone(bool Ok) override;
  void OnWriteDone(bool Ok) override;
  void OnDone() override;

private:
  void start();
  void refuse();
  bool silent() const { return Core.Switches.generation() != Generation; }
  void receive();
  void work();
  void answer();

  ServerCore &Core;
  grpc::CallbackServerContext *const Context;
  const std::uint64_t Generation;
  Session State;
  endpoint::ConnectionRequest Request;
  endpoint::ConnectionReply Reply;
  std::shared_ptr<ConnectStream> Self;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_CONNECTSTREAM_H
