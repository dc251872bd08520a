#ifndef BORAGERIDGE_RPC_TESTSERVER_H
#define BORAGERIDGE_RPC_TESTSERVER_H

#include "rpc/Authenticator.h"
#include "rpc/ConnectionLimits.h"

#include "caller.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace borageridge::rpc {

/// Answers LookUp with the caller's name as session token, on a free port.
class TestServer final : public caller::CallerService::Service {
public:
  using Identify =
      std::function<Expected<std::string>(const grpc::ServerContextBase &)>;

  TestServer(std::shared_ptr<grpc::ServerCredentials> Credentials,
             const settings::LimitSettings &Limits, Identify WithIdentify)
      : IdentifyCaller(std::move(WithIdentify)) {
    grpc::ServerBuilder Builder;
    applyLimits(Builder, Limits);
    Builder.AddListeningPort("127.0.0.1:0", std::move(Credentials), &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  grpc::Status LookUp(grpc::ServerContext *Context,
                      const caller::LookUpRequest * /*Request*/,
                      caller::LookUpReply *Reply) override {
    const auto Name = IdentifyCaller(*Context);
    if (!Name.has_value())
      return {grpc::StatusCode::UNAUTHENTICATED, Name.error().Detail};
    Reply->set_session_token(Name.value());
    return grpc::Status::OK;
  }

private:
  Identify IdentifyCaller;
  int Port = 0;
  std::unique_ptr<grpc::Server> Server;
};

/// Sends one LookUp and keeps its outcome.
struct TestCall {
  TestCall(const std::shared_ptr<grpc::Channel> &Channel,
           const std::string &Caller, const std::string &Secret,
           std::size_t Bytes = 0) {
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::seconds(10));
    if (!Caller.empty())
      Context.AddMetadata("x-borageridge-caller", Caller);
    if (!Secret.empty())
      Context.AddMetadata("authorization", "Bearer " + Secret);
    caller::LookUpRequest Request;
    Request.set_session_token(std::string(Bytes, 'x'));
    caller::LookUpReply Reply;
    Status = caller::CallerService::NewStub(Channel)->LookUp(&Context, Request,
                                                             &Reply);
    Identity = Reply.session_token();
  }

  grpc::Status Status;
  std::string Identity;
};

} // namespace borageridge::rpc

#endif // BORAGERIDGE_RPC_TESTSERVER_H
