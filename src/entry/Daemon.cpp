#include "entry/Daemon.h"

#include "entry/Events.h"
#include "http/HttpServer.h"
#include "platform/Promotion.h"
#include "runtime/Clock.h"
#include "runtime/Listener.h"

#include <csignal>
#include <utility>

namespace borageridge::entry {
namespace {

using runtime::bootTime;
using runtime::error_code;
using runtime::Task;
using runtime::tcp;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration RebalanceInterval = std::chrono::milliseconds(700);
// The load balancer asks once a second and needs two misses.
constexpr Duration BalancerNotices = std::chrono::milliseconds(2300);
constexpr Duration StopStep = std::chrono::milliseconds(50);
// Time to end what is left before the process is killed.
constexpr Duration StopReserve = std::chrono::milliseconds(700);
constexpr Duration ReleaseWait = std::chrono::milliseconds(100);
// The change of primary of a leaving member takes up to two seconds.
constexpr Duration LeavingReserve = std::chrono::milliseconds(1500);

tcp::endpoint endpointOf(const std::string &Text) {
  tcp::endpoint Result;
  runtime::parseEndpoint(Text, Result);
  return Result;
}

} // namespace

Daemon::Daemon(runtime::asio::io_context &Context,
               instance::DaemonSettings Settings, tcp::endpoint Store,
               tcp::endpoint Promotion, std::uint64_t Incarnation,
               telemetry::Log &Output)
    : Io(Context), Log(Output), S(Context, std::move(Settings), Store, Output),
      View(S), Lease(S, View), Others(S), Changes(S, Others, Promotion),
      Sessions(S) {
  S.Incarnation = Incarnation;
  S.Shared.LeavingPrimaryLimit = S.Settings.LeaveLimit - LeavingReserve;
  S.Store.setRelay([this](http::Request Call, Duration Limit) {
    return Others.relay(std::move(Call), Limit);
  });
}

Expected<void> Daemon::start(std::uint16_t MetricsPort) {
  if (Expected<void> Bound = listen(MetricsPort); !Bound)
    return Bound;
  Log.write(event::Started, S.Settings.CallerAddress,
            S.Settings.AvailabilityZone, S.Incarnation);
  runtime::spawn(Io, View.run());
  runtime::spawn(Io, Lease.run());
  runtime::spawn(Io, Others.run());
  runtime::spawn(Io, Changes.run());
  runtime::spawn(Io, tick());
  runtime::spawn(Io, rebalance());
  runtime::spawn(Io, handleSignals());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Expected<void> Daemon::listenForCallers(tcp::endpoint Address,
                                        Forwarding *Forwarder) {
  return runtime::serve(Io, Address, [this, Forwarder](tcp::socket Socket) {
    runtime::spawn(Io, serveCaller(std::make_shared<CallerConnection>(
                           S, std::move(Socket), Forwarder)));
  });
}

Expected<void> Daemon::listen(std::uint16_t MetricsPort) {
  const tcp::endpoint Frontend = endpointOf(S.Settings.CallerAddress);
  const auto Ip = Frontend.address();
  Expected<void> Bound = listenForCallers(Frontend, &Sessions);
  // Sessions that other daemons forward are served here in any case.
  if (Bound)
    Bound = listenForCallers(
        tcp::endpoint(Ip, static_cast<std::uint16_t>(S.Settings.PeerPort + 1)),
        nullptr);
  if (!Bound)
    return Bound;
  Bound = http::serve(
      Io, endpointOf(S.Settings.ReadinessAddress),
      [this](const http::Request &Call) { return answerReadiness(Call); });
  if (!Bound)
    return Bound;
  if (MetricsPort != 0)
    Bound = http::serve(
        Io, tcp::endpoint(Ip, MetricsPort),
        [this](const http::Request &Call) { return answerMetrics(Call); });
  if (!Bound)
    return Bound;
  return peer::serve(Io, tcp::endpoint(Ip, S.Settings.PeerPort),
                     [this](peer::Message Request) {
                       return Others.answer(std::move(Request));
                     });
}

bool Daemon::isReady(Time /*Now*/) const {
  return S.Loaded && !S.Stopping && S.Runner.catalog().Version != 0;
}

http::Response Daemon::answerReadiness(const http::Request &Call) {
  http::Response Answer;
  if (Call.Target != platform::ReadinessPath)
    Answer.Status = 404;
  else
    Answer.Status = isReady(bootTime()) ? 200 : 503;
  Answer.Body = "{}";
  return Answer;
}

http::Response Daemon::answerMetrics(const http::Request & /*Call*/) {
  std::size_t Waiting = 0;
  std::size_t Connections = 0;
  std::uint64_t Opened = 0;
  for (const auto &[Name, Pool] : S.ByService) {
    Waiting += Pool->waiting();
    Connections += Pool->openConnections();
    Opened += Pool->connectionsOpened();
  }
  S.Metrics.setState(S.Runner.catalog().Version, Callers.size(), Waiting,
                     Connections, S.Store.calls(), Opened);
  return {200, S.Metrics.text(), "text/plain; version=0.0.4"};
}

Task<void> Daemon::serveCaller(std::shared_ptr<CallerConnection> Caller) {
  Callers.insert(Caller);
  co_await Caller->run();
  Callers.erase(Caller);
}

Task<void> Daemon::tick() {
  for (;;) {
    const Time Now = bootTime();
    View.tick(Now);
    Lease.tick(Now);
    Sessions.tick();
    for (const auto &[Name, Pool] : S.ByService)
      Pool->tick(Now);
    leaveLostPeers();
    if (!WasReady && isReady(Now)) {
      WasReady = true;
      Log.write(event::Ready, S.Runner.catalog().Version, S.ByService.size());
    }
    co_await runtime::sleepFor(TickInterval);
  }
}

// Sessions that began while the holders of their service were not known go to
// them once they are.
Task<void> Daemon::rebalance() {
  for (;;) {
    co_await runtime::sleepFor(RebalanceInterval);
    const auto Open = S.Stopping ? decltype(Callers)() : Callers;
    for (const auto &Caller : Open)
      Caller->leaveIfHeldElsewhere();
  }
}

void Daemon::leaveLostPeers() {
  const auto Open = S.LostPeers.empty() ? decltype(Callers)() : Callers;
  for (const std::string &Name : std::exchange(S.LostPeers, {}))
    for (const auto &Caller : Open)
      Caller->leaveHolder(Name);
}

Task<void> Daemon::handleSignals() {
  runtime::asio::signal_set Signals(Io, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    error_code Error;
    const int Number =
        co_await Signals.async_wait(redirect_error(use_awaitable, Error));
    if (Error)
      co_return;
    if (Number == SIGHUP) {
      // All settings are those of the process's place; a change of them comes
      // with a restart.
      Log.write(event::SettingsReloaded, "nothing to apply");
      continue;
    }
    if (!S.Stopping)
      runtime::spawn(Io, stop());
  }
}

// New connections are accepted until the load balancer has noticed; sessions
// are closed between statements, transactions have half of the time to end.
Task<void> Daemon::stop() {
  const Time Start = bootTime();
  S.Stopping = true;
  Log.write(event::Draining, Callers.size());
  runtime::spawn(Io, Changes.resign("stopping"));
  const Duration Limit = S.Settings.StopLimit - StopReserve;
  for (;;) {
    const Duration Passed = bootTime() - Start;
    if (Passed >= Limit || (Passed >= BalancerNotices && Callers.empty()))
      break;
    closeCallers(Passed);
    co_await runtime::sleepFor(StopStep);
  }
  // Others need not wait for the end of the lease; the process does not wait
  // for the store either.
  runtime::spawn(Io, Lease.release());
  co_await runtime::sleepFor(ReleaseWait);
  Log.write(event::Stopped, Callers.size(),
            runtime::toMilliseconds(bootTime() - Start));
  Io.stop();
}

void Daemon::closeCallers(Duration Passed) {
  if (Passed < BalancerNotices)
    return;
  const bool EndTransactions = Passed >= S.Settings.StopLimit / 2;
  const auto Open = Callers;
  for (const auto &Caller : Open)
    if (Caller->isIdle() ||
        (EndTransactions && Caller->isInTransaction() && !Caller->isWorking()))
      Caller->close();
}

} // namespace borageridge::entry
