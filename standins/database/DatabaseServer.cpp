#include "database/DatabaseServer.h"

#include "database/ConnectStream.h"
#include "database/ObserveStream.h"
#include "database/ReplicateStream.h"
#include "database/Replicator.h"

#include "control.grpc.pb.h"
#include "endpoint.grpc.pb.h"

namespace borageridge::database {

namespace {

constexpr int MaxMessageBytes = 4 << 20;
// Callers' keepalive pings may come this often.
constexpr int MinPingIntervalMs = 500;

std::unique_ptr<grpc::Server>
listen(const std::string &Address,
       const std::shared_ptr<grpc::ServerCredentials> &Credentials,
       grpc::Service &Service, int &Port) {
  grpc::ServerBuilder Builder;
  Builder.AddListeningPort(Address, Credentials, &Port);
  Builder.RegisterService(&Service);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  // A second process on the same port must fail instead of sharing it.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
  return Builder.BuildAndStart();
}

// Cancels the calls in progress.
void shutDown(grpc::Server *Server) {
  if (Server != nullptr)
    Server->Shutdown(std::chrono::system_clock::now());
}

} // namespace

class DatabaseServer::Endpoint final
    : public endpoint::EndpointService::CallbackService {
public:
  explicit Endpoint(ServerCore &ServerCore) : Core(ServerCore) {}

  grpc::ServerBidiReactor<endpoint::ConnectionRequest,
                          endpoint::ConnectionReply> *
  Connect(grpc::CallbackServerContext *Context) override {
    return ConnectStream::open(Core, Context);
  }

  grpc::ServerBidiReactor<endpoint::Ping, endpoint::MemberStatus> *
  Observe(grpc::CallbackServerContext *Context) override {
    return ObserveStream::open(Core, Context);
  }

  grpc::ServerUnaryReactor *Seal(grpc::CallbackServerContext *Context,
                                 const endpoint::SealRequest *Request,
                                 endpoint::SealReply *Reply) override {
    return answer(Context, [this, Request, Reply] {
      *Reply = Core.member().seal(Request->term());
    });
  }

  grpc::ServerUnaryReactor *Promote(grpc::CallbackServerContext *Context,
                                    const endpoint::PromoteRequest *Request,
                                    endpoint::PromoteReply *Reply) override {
    return answer(Context, [this, Request, Reply] {
      *Reply = Core.member().promote(*Request);
    });
  }

  grpc::ServerUnaryReactor *Follow(grpc::CallbackServerContext *Context,
                                   const endpoint::FollowRequest *Request,
                                   endpoint::FollowReply *Reply) override {
    return answer(Context, [this, Request, Reply] {
      *Reply = Core.member().follow(*Request);
    });
  }

  grpc::ServerWriteReactor<endpoint::LogEntry> *
  Replicate(grpc::CallbackServerContext * /*Context*/,
            const endpoint::ReplicateRequest *Request) override {
    return ReplicateStream::open(Core, *Request);
  }

private:
  /// Runs Work, which fills the reply, unless a fault prevents it.
  template <typename F>
  grpc::ServerUnaryReactor *answer(grpc::CallbackServerContext *Context,
                                   F Work) {
    auto *const Reactor = Context->DefaultReactor();
    if (Core.Switches.down()) {
      Reactor->Finish({grpc::StatusCode::UNAVAILABLE, "down"});
      return Reactor;
    }
    Core.whenReachable([this, Context, Reactor, Work] {
      if (Context->IsCancelled())
        return Reactor->Finish(grpc::Status::CANCELLED);
      Core.post([this, Reactor, Work] {
        Work();
        Core.after(Core.Switches.answerDelay(), [this, Reactor] {
          Core.whenReachable([Reactor] { Reactor->Finish(grpc::Status::OK); });
        });
      });
    });
    return Reactor;
  }

  ServerCore &Core;
};

class DatabaseServer::Control final
    : public control::ControlService::CallbackService {
public:
  explicit Control(ServerCore &ServerCore) : Core(ServerCore) {}

  grpc::ServerUnaryReactor *SetFaults(grpc::CallbackServerContext *Context,
                                      const control::Faults *Request,
                                      control::Counters *Reply) override {
    Core.setFaults(*Request);
    return answer(Context, Reply);
  }

  grpc::ServerUnaryReactor *Read(grpc::CallbackServerContext *Context,
                                 const control::ReadRequest * /*Request*/,
                                 control::Counters *Reply) override {
    return answer(Context, Reply);
  }

private:
  grpc::ServerUnaryReactor *answer(grpc::CallbackServerContext *Context,
                                   control::Counters *Reply) {
    const endpoint::MemberStatus Status = Core.status();
    auto &Counters = *Reply->mutable_counters();
    Counters["open_connections"] = Status.open_connections();
    Counters["peak_connections"] = Core.PeakConnections;
    Counters["statements"] = Core.member().statementCount();
    Counters["commits"] = Core.member().commitCount();
    Counters["log_entries"] = Status.received().index();
    Counters["received"] = Status.received().index();
    Counters["applied"] = Status.applied().index();
    Counters["term"] = Core.member().servedTerm();
    Counters["sealed_term"] = Status.sealed_term();
    auto *const Reactor = Context->DefaultReactor();
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }

  ServerCore &Core;
};

DatabaseServer::DatabaseServer(const ServerOptions &Options)
    : Core(Options), EndpointPart(std::make_unique<Endpoint>(Core)),
      ControlPart(std::make_unique<Control>(Core)) {}

std::unique_ptr<DatabaseServer>
DatabaseServer::start(const ServerOptions &Options,
                      const ServerAddresses &Addresses,
                      const ServerSecurity &Security) {
  std::unique_ptr<DatabaseServer> Result(new DatabaseServer(Options));
  Result->Server = listen(Addresses.Listen, Security.Server,
                          *Result->EndpointPart, Result->Port);
  Result->ControlServer = listen(Addresses.Control, Security.Server,
                                 *Result->ControlPart, Result->ControlPort);
  if (!Result->Server || !Result->ControlServer)
    return nullptr;
  Result->Replication =
      std::make_shared<Replicator>(Result->Core, Security.Client);
  Result->Core.add(Result->Replication);
  return Result;
}

DatabaseServer::~DatabaseServer() {
  // Without delays, every stream ends soon after it is cancelled.
  Core.stop();
  Replication.reset();
  shutDown(Server.get());
  shutDown(ControlServer.get());
}

} // namespace borageridge::database
