#ifndef BORAGERIDGE_ENTRY_DAEMON_H
#define BORAGERIDGE_ENTRY_DAEMON_H

#include "borageridge/Failure.h"
#include "entry/CallerConnection.h"
#include "entry/CallerLimits.h"
#include "entry/Coordinator.h"
#include "entry/Exchange.h"
#include "entry/LogRateLimiter.h"
#include "entry/Quotas.h"
#include "entry/Registration.h"
#include "entry/State.h"
#include "entry/StopPlan.h"
#include "entry/StoreView.h"
#include "instance/DaemonSettings.h"
#include "runtime/Listener.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace borageridge::entry {

/// The entry daemon. Owns its components, and serves callers, peers, readiness
/// checks and metrics.
class Daemon {
public:
  /// Incarnation: a number that differs for each start of the daemon.
  Daemon(runtime::asio::io_context &Io, instance::DaemonSettings Settings,
         runtime::tcp::endpoint Store, runtime::tcp::endpoint Promotion,
         std::uint64_t Incarnation, telemetry::Log &Log);

  /// Opens the listeners and starts all components on the event loop. Fails if
  /// an address cannot be bound.
  Expected<void> start(std::uint16_t MetricsPort);

private:
  using CallerSet = std::set<std::shared_ptr<CallerConnection>>;

  Expected<void> listen(std::uint16_t MetricsPort);
  Expected<void> listenForCallers(runtime::tcp::endpoint Address,
                                  Forwarding *Forwarder);
  runtime::Task<void> serveCaller(std::shared_ptr<CallerConnection> Caller);
  runtime::Task<void> tick();
  runtime::Task<void> handleSignals();
  runtime::Task<void> stop();
  runtime::Task<void> resign(Time Deadline);
  /// Number of callers whose statement is in work or whose answer is being
  /// written.
  std::uint64_t unanswered() const;
  runtime::Task<void> waitForAnswers(Time Until);
  /// Ends all waits of statements but for the replies of members and holders.
  void endWaits();
  void endCalls();
  /// Ends the waits of forwarded statements that were given up.
  runtime::Task<void> endAbandonedWaits();
  void closeCallerListeners();
  void closeCallers(const StopPlan &Plan, Time Now);
  void closeSessionsOfUnreachablePeers();
  runtime::Task<void> rebalance();
  bool isReady(Time Now) const;
  http::Response answerReadiness(const http::Request &Call);
  http::Response answerMetrics(const http::Request &Call);

  runtime::asio::io_context &Io;
  telemetry::Log &Log;
  State S;
  StoreView View;
  Registration Registrar;
  Exchange PeerExchange;
  Coordinator ChangeCoordinator;
  Forwarding SessionForwarding;
  Quotas OrganisationQuotas;
  CallerLimits Limits;
  std::shared_ptr<CallerSet> Callers = std::make_shared<CallerSet>();
  /// Listeners for callers and for forwarded sessions; empty once closed.
  std::vector<std::shared_ptr<runtime::Listener>> CallerListeners;
  LogRateLimiter RejectionLog;
  bool WasReady = false;
  /// Whether a stop has ended the role of coordinator, if the daemon had it.
  bool Resigned = false;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_DAEMON_H
