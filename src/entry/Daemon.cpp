#include "entry/Daemon.h"

#include "entry/Events.h"
#include "http/HttpServer.h"
#include "platform/Promotion.h"
#include "runtime/Clock.h"

#include <algorithm>
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
// A session that has just been answered or accepted is not closed by a stop
// yet, since the next request of its caller may be under way.
constexpr Duration MinIdleTime = std::chrono::milliseconds(100);
// Less than a stop waits for the answer to a statement that it has given up.
constexpr Duration AbandonmentCheckInterval = std::chrono::milliseconds(150);
constexpr Duration LeaseReleaseTime = std::chrono::milliseconds(100);
// Between two looks at whether the last answers have been written.
constexpr Duration LastAnswersPollInterval = std::chrono::milliseconds(10);
// Part of the leave limit that is kept for the change of primary of a leaving
// member, which takes up to two seconds.
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
      View(S), Registrar(S, View), PeerExchange(S),
      ChangeCoordinator(S, PeerExchange, Promotion), SessionForwarding(S),
      OrganisationQuotas(S), Limits(S) {
  S.Incarnation = Incarnation;
  if (S.Settings.StrictRevocation)
    S.StatementExecutor.recency().setLimit(S.Settings.RevocationLimit);
  S.Shared.LeavingPrimaryLimit = S.Settings.LeaveLimit - LeavingReserve;
  S.StatementExecutor.setOperationGate(
      [this](std::string Organisation, Time Deadline) {
        return OrganisationQuotas.admit(std::move(Organisation), Deadline);
      });
  PeerExchange.setQuotaHandler([this](const peer::QuotaRequest &Asked) {
    return OrganisationQuotas.answer(Asked);
  });
  S.Store.setRelay([this](http::Request Call, Duration Limit) {
    return PeerExchange.relay(std::move(Call), Limit);
  });
}

Expected<void> Daemon::start(std::uint16_t MetricsPort) {
  if (Expected<void> Bound = listen(MetricsPort); !Bound)
    return Bound;
  Log.write(event::Started, S.Settings.CallerAddress,
            S.Settings.AvailabilityZone, S.Incarnation);
  const auto Keep = [this](const char *Name, std::function<Task<void>()> Run) {
    runtime::spawn(Io, keepRunning(S, Name, std::move(Run)));
  };
  Keep("store view", [this] { return View.run(); });
  Keep("registration", [this] { return Registrar.run(); });
  Keep("exchange", [this] { return PeerExchange.run(); });
  Keep("coordinator", [this] { return ChangeCoordinator.run(); });
  Keep("quotas", [this] { return OrganisationQuotas.run(); });
  Keep("tick", [this] { return tick(); });
  Keep("rebalance", [this] { return rebalance(); });
  Keep("abandoned waits", [this] { return endAbandonedWaits(); });
  Keep("signals", [this] { return handleSignals(); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// A connection counts as open from its acceptance on, so that a stop waits for
// it.
Expected<void> Daemon::listenForCallers(tcp::endpoint Address,
                                        Forwarding *Forwarder) {
  auto Open = runtime::Listener::open(
      Io, Address, [this, Forwarder](tcp::socket Socket) {
        if (!Limits.mayAccept(Callers->size(), bootTime()))
          return;
        const auto Caller = std::make_shared<CallerConnection>(
            S, std::move(Socket), Forwarder, &Limits);
        Callers->insert(Caller);
        runtime::spawn(Io, serveCaller(Caller));
      });
  if (!Open)
    return std::move(Open).error();
  CallerListeners.push_back(std::move(Open).value());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Expected<void> Daemon::listen(std::uint16_t MetricsPort) {
  const tcp::endpoint Frontend = endpointOf(S.Settings.CallerAddress);
  const auto Ip = Frontend.address();
  Expected<void> Bound = listenForCallers(Frontend, &SessionForwarding);
  // Sessions that other daemons forward are never forwarded again.
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
  return peer::serve(
      Io, tcp::endpoint(Ip, S.Settings.PeerPort),
      [this](peer::Message Request) {
        return PeerExchange.answer(std::move(Request));
      },
      [this](const std::string &Sender, const Failure &Reason) {
        S.Metrics.addRejectedPeerMessage();
        if (RejectionLog.tryAcquire(bootTime()))
          Log.write(event::PeerMessageRejected, Sender, Reason.Detail);
      });
}

bool Daemon::isReady(Time Now) const {
  const catalog::Catalog &Config = S.StatementExecutor.catalog();
  const bool ServesKeys =
      !Config.HasOrganisations || S.StatementExecutor.recency().isRecent(Now);
  return S.Loaded && !S.Stopping && Config.Version != 0 && ServesKeys;
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
  S.Metrics.setState(S.StatementExecutor.catalog().Version, Callers->size(),
                     Waiting, Connections, S.Store.calls(), Opened);
  return {200, S.Metrics.text(), "text/plain; version=0.0.4"};
}

Task<void> Daemon::serveCaller(std::shared_ptr<CallerConnection> Caller) {
  // Also if an exception ends the session, or if the event loop is destroyed
  // after the daemon.
  const std::shared_ptr<void> Removal(
      nullptr, [Open = Callers, Caller](void *) { Open->erase(Caller); });
  co_await Caller->run();
}

Task<void> Daemon::tick() {
  for (;;) {
    const Time Now = bootTime();
    View.tick(Now);
    Registrar.tick(Now);
    SessionForwarding.tick();
    for (const auto &[Name, Pool] : S.ByService)
      Pool->tick(Now);
    closeSessionsOfUnreachablePeers();
    if (!WasReady && isReady(Now)) {
      WasReady = true;
      Log.write(event::Ready, S.StatementExecutor.catalog().Version,
                S.ByService.size());
    }
    co_await runtime::sleepFor(TickInterval);
  }
}

// Closes idle sessions whose keys have been revoked, and those that began while
// the connection holders of their service were unknown, so that callers connect
// again and are forwarded to a holder.
Task<void> Daemon::rebalance() {
  for (;;) {
    co_await runtime::sleepFor(RebalanceInterval);
    const auto Open = S.Stopping ? CallerSet() : *Callers;
    for (const auto &Caller : Open) {
      Caller->closeIfHeldElsewhere();
      Caller->closeIfRevoked();
    }
  }
}

void Daemon::closeSessionsOfUnreachablePeers() {
  const auto Open = S.UnreachablePeers.empty() ? CallerSet() : *Callers;
  for (const std::string &Name : std::exchange(S.UnreachablePeers, {}))
    for (const auto &Caller : Open)
      Caller->closeIfHeldBy(Name);
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
      // All settings describe where the process runs, so they change only with
      // a restart.
      Log.write(event::SettingsReloaded, "no settings can be reloaded");
      continue;
    }
    if (!S.Stopping)
      runtime::spawn(Io, stop());
  }
}

Task<void> Daemon::resign(Time Deadline) {
  co_await ChangeCoordinator.stop(Deadline);
  Resigned = true;
}

// Sessions are closed between statements, and open transactions have half of
// the limit to end. The lease is kept until no session needs it.
Task<void> Daemon::stop() {
  const Time Start = bootTime();
  S.Stopping = true;
  Log.write(event::Draining, Callers->size());
  runtime::spawn(Io, OrganisationQuotas.release());
  runtime::spawn(Io, resign(Start + S.Settings.StopLimit / 2));
  StopPlan Plan(Start, S.Settings.StopLimit);
  S.StatementExecutor.setAnswerLimits(
      {Plan.latestAnswer(), Plan.latestReply()});
  for (StopPhase Phase = StopPhase::Announce; Phase != StopPhase::End;) {
    Phase = Plan.update(bootTime(), Callers->size() + (Resigned ? 0 : 1));
    if (Phase == StopPhase::Finish)
      closeCallerListeners();
    if (Phase == StopPhase::Drain || Phase == StopPhase::Finish) {
      S.ClosesSessions = true;
      closeCallers(Plan, bootTime());
    }
    const Time Now = bootTime();
    if (Now >= Plan.latestAnswer())
      endWaits();
    co_await runtime::sleepFor(Plan.untilNextUpdate(Now));
  }
  // Ending the lease spares other daemons waiting for it to expire. The process
  // waits only briefly for the store's answer.
  runtime::spawn(Io, Registrar.release());
  co_await runtime::sleepFor(LeaseReleaseTime);
  co_await waitForAnswers(Plan.latestReply());
  endCalls();
  co_await waitForAnswers(Plan.end());
  Log.write(event::Stopped, Callers->size(), unanswered(),
            runtime::toMilliseconds(bootTime() - Start));
  Io.stop();
}

std::uint64_t Daemon::unanswered() const {
  return static_cast<std::uint64_t>(
      std::count_if(Callers->begin(), Callers->end(),
                    [](const auto &Caller) { return Caller->isWorking(); }));
}

Task<void> Daemon::waitForAnswers(Time Until) {
  while (unanswered() > 0 && bootTime() < Until)
    co_await runtime::sleepFor(LastAnswersPollInterval);
}

void Daemon::endWaits() {
  S.StatementExecutor.endWaits();
  for (const auto &Caller : *Callers)
    Caller->giveUpForwarded();
}

void Daemon::endCalls() {
  S.StatementExecutor.endCalls();
  for (const auto &Caller : *Callers)
    Caller->endForwardedWait();
}

Task<void> Daemon::endAbandonedWaits() {
  for (;;) {
    co_await runtime::sleepFor(AbandonmentCheckInterval);
    for (const auto &Caller : *Callers)
      Caller->endAbandonedWait();
  }
}

void Daemon::closeCallerListeners() {
  for (const auto &Open : std::exchange(CallerListeners, {}))
    Open->close();
}

void Daemon::closeCallers(const StopPlan &Plan, Time Now) {
  const CallerSet Open = *Callers;
  for (const auto &Caller : Open) {
    const bool HasBeenIdle =
        Caller->isIdle() && Caller->waited(Now) >= MinIdleTime;
    const bool Waits = Caller->waitsInTransaction();
    const std::optional<Time> AbortedAt = Caller->abortedAt();
    if (HasBeenIdle ||
        (Waits && AbortedAt && StopPlan::closesTransaction(*AbortedAt, Now)))
      Caller->close();
    else if (Waits && Plan.abortsTransactions(Now))
      Caller->abortTransaction(Now);
  }
}

} // namespace borageridge::entry
