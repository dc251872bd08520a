#ifndef BORAGERIDGE_PROXY_ADMINSERVER_H
#define BORAGERIDGE_PROXY_ADMINSERVER_H

#include "borageridge/Failure.h"
#include "proxy/ControlPlane.h"
#include "proxy/PeerServer.h"

#include "admin.grpc.pb.h"

#include <functional>

namespace borageridge::proxy {

/// The service for operators. Calls may wait, so it uses gRPC's own threads.
class AdminServer final : public admin::AdminService::Service {
public:
  /// CountInFlight: requests of callers; StartDrain: begins the shutdown.
  AdminServer(ControlPlane &Plane, InstanceCheck Check,
              std::function<std::size_t()> CountInFlight,
              std::function<void()> StartDrain)
      : Control(Plane), MayCall(std::move(Check)),
        InFlight(std::move(CountInFlight)), OnDrain(std::move(StartDrain)) {}

  grpc::Status Status(grpc::ServerContext *Context,
                      const admin::StatusRequest *Request,
                      admin::StatusReply *Reply) override;
  grpc::Status ChangePrimary(grpc::ServerContext *Context,
                             const admin::ChangePrimaryRequest *Request,
                             admin::ChangePrimaryReply *Reply) override;
  grpc::Status Drain(grpc::ServerContext *Context,
                     const admin::DrainRequest *Request,
                     admin::DrainReply *Reply) override;

private:
  grpc::Status check(const grpc::ServerContext &Context) const;

  ControlPlane &Control;
  InstanceCheck MayCall;
  std::function<std::size_t()> InFlight;
  std::function<void()> OnDrain;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_ADMINSERVER_H
