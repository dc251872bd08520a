#include "proxy/PeerServer.h"

namespace borageridge::proxy {

grpc::ServerUnaryReactor *
PeerServer::Exchange(grpc::CallbackServerContext *Context,
                     const peer::ExchangeRequest *Request,
                     peer::ExchangeReply *Reply) {
  grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
  const Expected<void> Allowed = MayCall(*Context);
  if (!Allowed.has_value()) {
    Reactor->Finish(
        {grpc::StatusCode::PERMISSION_DENIED, Allowed.error().Detail});
    return Reactor;
  }
  *Reply = Control.exchangeReceived(*Request, std::chrono::steady_clock::now());
  Reactor->Finish(grpc::Status::OK);
  return Reactor;
}

} // namespace borageridge::proxy
