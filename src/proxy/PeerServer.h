#ifndef BORAGERIDGE_PROXY_PEERSERVER_H
#define BORAGERIDGE_PROXY_PEERSERVER_H

#include "borageridge/Failure.h"
#include "proxy/ControlPlane.h"

#include "peer.grpc.pb.h"

#include <functional>

namespace borageridge::proxy {

/// Whether the other side is an instance of the fleet or an operator.
using InstanceCheck =
    std::function<Expected<void>(const grpc::ServerContextBase &)>;

/// Answers the exchanges of other proxies.
class PeerServer final : public peer::PeerService::CallbackService {
public:
  PeerServer(ControlPlane &Plane, InstanceCheck Check)
      : Control(Plane), MayCall(std::move(Check)) {}

  grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *Context,
                                     const peer::ExchangeRequest *Request,
                                     peer::ExchangeReply *Reply) override;

private:
  ControlPlane &Control;
  InstanceCheck MayCall;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_PEERSERVER_H
