#include "proxy/Daemon.h"

#include "endpoint/GrpcEndpoint.h"
#include "membership/GrpcInstanceList.h"
#include "proxy/AdminServer.h"
#include "proxy/CallMetrics.h"
#include "proxy/CallerServer.h"
#include "proxy/ControlLoop.h"
#include "proxy/ControlPlane.h"
#include "proxy/GroupRuntime.h"
#include "proxy/PeerClient.h"
#include "proxy/PeerServer.h"
#include "rpc/Authenticator.h"
#include "rpc/ConnectionLimits.h"
#include "rpc/Credentials.h"
#include "store/EtcdStore.h"
#include "telemetry/LibraryMessages.h"
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <grpcpp/health_check_service_interface.h>
#include <grpcpp/server_builder.h>
#include <prometheus/exposer.h>

#include <atomic>
#include <random>
#include <thread>

namespace borageridge::proxy {

namespace {

using endpoint::GrpcEndpoint;
using membership::GrpcInstanceList;
using store::EtcdStore;
using telemetry::event::ProxyDraining;
using telemetry::event::ProxyReady;
using telemetry::event::ProxyStarted;
using telemetry::event::ProxyStopped;
using telemetry::event::StartFailed;

constexpr absl::Duration StopPoll = absl::Milliseconds(10);
constexpr absl::Duration FiguresInterval = absl::Seconds(1);
// Callers that are told to move need a moment to hear of it before the
// address closes.
constexpr absl::Duration LeastDrain = absl::Milliseconds(200);
constexpr dispatch::ConnectionId ConnectionsPerGroup = 1ULL << 40U;

std::uint64_t randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

dispatch::EngineSettings engineSettings(const settings::ProxySettings &From,
                                        std::uint64_t Seed) {
  dispatch::EngineSettings Engine;
  Engine.Self = {From.Instance.Name, From.Instance.AvailabilityZone};
  Engine.PingInterval = From.Failover.PingInterval;
  Engine.Suspicion.PingInterval = From.Failover.PingInterval;
  Engine.Suspicion.QuickSuspicion = From.Failover.QuickSuspicion;
  Engine.Suspicion.RefusedConfirmation = From.Failover.RefusedConfirmation;
  Engine.Suspicion.SilentConfirmation = From.Failover.SilentConfirmation;
  Engine.Suspicion.EvidenceLifetime = 3 * From.Peers.ExchangeInterval;
  Engine.Suspicion.Policy =
      From.Failover.Policy == settings::SuspicionPolicy::OneLevel
          ? failover::ConfirmationPolicy::OneLevel
          : failover::ConfirmationPolicy::TwoLevel;
  Engine.Promotion.MinChangeInterval = From.Failover.MinimumChangeInterval;
  Engine.Queue.MaxTickets = From.Limits.MaxQueuedRequests;
  Engine.Queue.MaxBytes = From.Limits.MaxQueuedBytes;
  Engine.Seed = Seed;
  return Engine;
}

ControlSettings controlSettings(const settings::ProxySettings &From,
                                std::uint64_t Seed) {
  ControlSettings Control;
  Control.Peers.Self = {From.Instance.Name, From.Instance.AvailabilityZone};
  Control.Peers.OwnAddress = From.Instance.PeerAddress;
  Control.Peers.Seeds = From.Peers.Seeds;
  Control.Peers.ExchangeInterval = From.Peers.ExchangeInterval;
  Control.Seed = Seed;
  return Control;
}

} // namespace

class Daemon::Parts {
public:
  explicit Parts(DaemonConfiguration Given)
      : Settings(std::move(Given.Settings)),
        Log(Settings.Instance.Name, Settings.Log.Level),
        Authenticator(std::move(Given.Callers), Settings.Security.Mode),
        Tokens(std::move(Given.TokenKey)), Calls(Metrics),
        Control(controlSettings(Settings, randomSeed()),
                [this](std::string_view Database) {
                  return makeGroup(Database);
                }) {}

  Expected<void> start() {
    auto Loaded = rpc::Credentials::load(Settings.Security);
    if (!Loaded.has_value()) {
      Log.write(StartFailed, "credentials", Loaded.error().Detail);
      return Loaded.error();
    }
    Credentials = std::move(Loaded.value());
    store::EtcdStoreOptions Options;
    Options.Addresses = Settings.Store.Addresses;
    Options.Prefix = Settings.Store.Prefix;
    Options.Credentials = Credentials.forChannels();
    Store = std::make_unique<EtcdStore>(std::move(Options));
    List = std::make_unique<GrpcInstanceList>(Settings.InstanceList.Address,
                                              Credentials.forChannels());
    Peers = std::make_unique<PeerClient>(
        Credentials.forChannels(), rpc::channelArguments(Settings.Limits));
    makeServices();
    if (!listen())
      return Failure{FailureKind::Unavailable,
                     "an address cannot be listened on"};
    startLoop();
    Log.write(ProxyStarted, Settings.Instance.CallerAddress,
              Settings.Instance.PeerAddress,
              Settings.Instance.AvailabilityZone);
    return succeeded();
  }

  std::size_t run() {
    bool Ready = false;
    while (!Stopping) {
      absl::SleepFor(StopPoll);
      if (!Ready && Control.tableVersion() > 0) {
        Ready = true;
        Log.write(ProxyReady, Control.tableVersion(), Control.groups().size());
      }
    }
    return drain();
  }

  void requestStop(std::string_view Cause) {
    if (Stopping.exchange(true))
      return;
    Log.write(ProxyDraining, Callers->inFlight(), Cause);
  }

private:
  static Expected<void> succeeded() {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  std::unique_ptr<GroupHandle> makeGroup(std::string_view Database) {
    GroupEnvironment<GrpcEndpoint, EtcdStore> Environment;
    Environment.MakeEndpoint = [this](std::string_view Address) {
      return std::make_unique<GrpcEndpoint>(std::string(Address),
                                            Credentials.forChannels());
    };
    Environment.Answer = CallerServer::deliver;
    Environment.Service = Store.get();
    Environment.RecordKey = absl::StrCat("group/", std::string(Database));
    Environment.StoreTimeout = Settings.Store.CallTimeout;
    dispatch::EngineSettings Engine = engineSettings(Settings, randomSeed());
    Engine.FirstConnectionId = ++Groups * ConnectionsPerGroup;
    return std::make_unique<GroupRuntime<GrpcEndpoint, EtcdStore>>(
        std::string(Database), std::move(Engine),
        [this]() { return nextAttempt(); }, std::move(Environment));
  }

  // Unique in the fleet and over restarts of the same instance.
  std::string nextAttempt() {
    return absl::StrCat(Settings.Instance.Name, "-", RunId, "-", ++Attempts);
  }

  void makeServices() {
    CallerServerEnvironment Environment;
    Environment.Authenticate =
        [this](const grpc::CallbackServerContext &Context) {
          return Authenticator.caller(Context);
        };
    Environment.Target = [this](std::string_view Database) -> RequestTarget * {
      return Control.group(Database);
    };
    Environment.Tokens = &Tokens;
    Environment.OnFinished = [this](const FinishedCall &Call) {
      Calls.finished(Call);
    };
    Callers = std::make_unique<CallerServer>(std::move(Environment));
    PeerService = std::make_unique<PeerServer>(
        Control, [this](const grpc::ServerContextBase &Context) {
          return Authenticator.instance(Context);
        });
    AdminService = std::make_unique<AdminServer>(
        Control,
        [this](const grpc::ServerContextBase &Context) {
          return Authenticator.instance(Context);
        },
        [this]() { return Callers->inFlight(); },
        [this]() { requestStop("operator"); });
  }

  std::unique_ptr<grpc::Server>
  serve(grpc::Service &Service, const std::string &Address,
        std::shared_ptr<grpc::ServerCredentials> With) {
    grpc::ServerBuilder Builder;
    rpc::applyLimits(Builder, Settings.Limits);
    Builder.AddListeningPort(Address, std::move(With));
    Builder.RegisterService(&Service);
    std::unique_ptr<grpc::Server> Server = Builder.BuildAndStart();
    if (!Server)
      Log.write(StartFailed, Address, "the address cannot be listened on");
    return Server;
  }

  bool listen() {
    grpc::EnableDefaultHealthCheckService(true);
    const settings::InstanceSettings &Self = Settings.Instance;
    CallerListener =
        serve(*Callers, Self.CallerAddress, Credentials.forCallers());
    PeerListener =
        serve(*PeerService, Self.PeerAddress, Credentials.forInstances());
    AdminListener =
        serve(*AdminService, Self.AdminAddress, Credentials.forInstances());
    if (!CallerListener || !PeerListener || !AdminListener)
      return false;
    try {
      Exposer = std::make_unique<prometheus::Exposer>(Self.MetricsAddress, 1);
      Exposer->RegisterCollectable(Metrics.registry());
    } catch (const std::exception &Why) {
      Log.write(StartFailed, Self.MetricsAddress, Why.what());
      return false;
    }
    return true;
  }

  void startLoop() {
    LoopSettings Loop;
    Loop.ListInterval = Settings.InstanceList.PollInterval;
    Loop.StoreTimeout = Settings.Store.CallTimeout;
    Loop.Seed = randomSeed();
    Driver = std::make_unique<ControlLoop<EtcdStore, GrpcInstanceList>>(
        Loop, Control, *Store, *List, *Peers);
    LoopThread = std::thread([this]() { Driver->run(); });
    FiguresThread = std::thread([this]() { publishFigures(); });
  }

  void publishFigures() {
    while (!LoopsEnded) {
      Calls.publish(Control);
      absl::SleepFor(FiguresInterval);
    }
  }

  std::size_t drain() {
    const absl::Time Began = absl::Now();
    Control.setDraining();
    Callers->drain();
    CallerListener->GetHealthCheckService()->SetServingStatus(false);
    const absl::Duration Bound = absl::FromChrono(Settings.Limits.DrainTimeout);
    while (absl::Now() - Began < Bound) {
      if (Callers->inFlight() == 0 && absl::Now() - Began >= LeastDrain)
        break;
      absl::SleepFor(StopPoll);
    }
    const std::size_t Left = Callers->inFlight();
    Log.write(ProxyStopped, Left,
              static_cast<std::uint64_t>(
                  absl::ToInt64Milliseconds(absl::Now() - Began)));
    LoopsEnded = true;
    Driver->stop();
    LoopThread.join();
    FiguresThread.join();
    Log.flush();
    return Left;
  }

  settings::ProxySettings Settings;
  telemetry::Log Log;
  telemetry::LibraryMessages Libraries{Log};
  telemetry::Metrics Metrics;
  rpc::Credentials Credentials;
  rpc::Authenticator Authenticator;
  session::TokenCodec Tokens;
  CallMetrics Calls;
  const std::uint64_t RunId = randomSeed();
  std::atomic<std::uint64_t> Attempts = 0;
  std::uint64_t Groups = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> LoopsEnded = false;

  std::unique_ptr<EtcdStore> Store;
  std::unique_ptr<GrpcInstanceList> List;
  std::unique_ptr<PeerClient> Peers;
  ControlPlane Control;
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<PeerServer> PeerService;
  std::unique_ptr<AdminServer> AdminService;
  std::unique_ptr<grpc::Server> CallerListener;
  std::unique_ptr<grpc::Server> PeerListener;
  std::unique_ptr<grpc::Server> AdminListener;
  std::unique_ptr<prometheus::Exposer> Exposer;
  std::unique_ptr<ControlLoop<EtcdStore, GrpcInstanceList>> Driver;
  std::thread LoopThread;
  std::thread FiguresThread;
};

Daemon::Daemon(DaemonConfiguration Configuration)
    : Own(std::make_unique<Parts>(std::move(Configuration))) {}

Daemon::~Daemon() = default;

Expected<void> Daemon::start() { return Own->start(); }

std::size_t Daemon::run() { return Own->run(); }

void Daemon::requestStop(std::string_view Cause) { Own->requestStop(Cause); }

} // namespace borageridge::proxy
