#include "load/Probe.h"

#include "endpoint.grpc.pb.h"
#include "load/History.h"
#include "load/Workload.h"

#include <absl/synchronization/notification.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace borageridge::load {

namespace {

/// Bounds one request, so that a silent connection cannot stop the probe.
constexpr std::chrono::seconds RequestTimeout{5};

Time now() { return std::chrono::steady_clock::now(); }

/// The statement that both paths run.
Operation probeOperation() {
  Operation Op;
  Op.ExpectedValues = 1;
  return Op;
}

constexpr const char *ProbeRun = "probe";
constexpr const char *ProbeMarker = "probe";

/// Sends one request after another through a proxy over its own connection.
class ProxyLoop {
public:
  ProxyLoop(const ProbeSpec &Spec, const CallerIdentity &Caller, Time Stop)
      : Identity(Caller), End(Stop), Stub(caller::CallerService::NewStub(
                                         makeChannel(Spec.Address, Identity))) {
    Request.set_database(Spec.Database);
    Request.set_kind(caller::STATEMENT_KIND_READ);
    Request.set_idempotent(true);
    Request.set_request_class(Spec.RequestClass);
    Request.set_accepted_age_ms(Spec.AcceptedAgeMs);
    addStatements(probeOperation(), ProbeRun, ProbeMarker, Request);
  }

  void start() { next(); }
  void wait() { Ended.WaitForNotification(); }

  LatencyHistogram Latency;
  std::uint64_t Failures = 0;

private:
  void next() {
    Context = std::make_unique<grpc::ClientContext>();
    authenticate(Identity, *Context);
    Context->set_deadline(std::chrono::system_clock::now() + RequestTimeout);
    Reply.Clear();
    Sent = now();
    Stub->async()->Execute(Context.get(), &Request, &Reply,
                           [this](const grpc::Status &S) { onAnswer(S); });
  }

  void onAnswer(const grpc::Status &Status) {
    const Time Now = now();
    if (Status.ok() && !Reply.has_refusal())
      Latency.record(Now - Sent);
    else
      ++Failures;
    if (Now < End)
      next();
    else
      Ended.Notify();
  }

  const CallerIdentity &Identity;
  Time End;
  std::unique_ptr<caller::CallerService::Stub> Stub;
  std::unique_ptr<grpc::ClientContext> Context;
  caller::ExecuteRequest Request;
  caller::ExecuteReply Reply;
  Time Sent;
  absl::Notification Ended;
};

/// Sends one batch after another on one endpoint connection.
class EndpointLoop : public grpc::ClientBidiReactor<endpoint::ConnectionRequest,
                                                    endpoint::ConnectionReply> {
public:
  EndpointLoop(const ProbeSpec &Spec, const CallerIdentity &Identity, Time Stop)
      : End(Stop), Stub(endpoint::EndpointService::NewStub(
                       makeChannel(Spec.Address, Identity))) {
    caller::ExecuteRequest Statements;
    addStatements(probeOperation(), ProbeRun, ProbeMarker, Statements);
    *Request.mutable_batch()->mutable_statements() = Statements.statements();
    Request.mutable_batch()->set_read_only(true);
  }

  void start() {
    Stub->async()->Connect(&Context, this);
    Hello.set_hello(true);
    StartWrite(&Hello);
    StartRead(&Reply);
    StartCall();
  }

  void wait() { Ended.WaitForNotification(); }

  void OnReadDone(bool Ok) override {
    const Time Now = now();
    if (!Ok)
      return;
    if (Greeted && Reply.error() == endpoint::ENDPOINT_ERROR_NONE)
      Latency.record(Now - Sent);
    else if (Greeted)
      ++Failures;
    Greeted = true;
    if (Now >= End)
      return StartWritesDone();
    Request.set_sequence(Request.sequence() + 1);
    Sent = now();
    StartRead(&Reply);
    StartWrite(&Request);
  }

  void OnDone(const grpc::Status &Status) override {
    if (!Status.ok())
      ++Failures;
    Ended.Notify();
  }

  LatencyHistogram Latency;
  std::uint64_t Failures = 0;

private:
  Time End;
  std::unique_ptr<endpoint::EndpointService::Stub> Stub;
  grpc::ClientContext Context;
  endpoint::ConnectionRequest Hello;
  endpoint::ConnectionRequest Request;
  endpoint::ConnectionReply Reply;
  bool Greeted = false;
  Time Sent;
  absl::Notification Ended;
};

template <typename Loop>
ProbeResult runLoops(const ProbeSpec &Spec, const CallerIdentity &Identity) {
  const Time Start = now();
  std::vector<std::unique_ptr<Loop>> Loops;
  for (std::uint32_t I = 0; I < Spec.Connections; ++I)
    Loops.push_back(
        std::make_unique<Loop>(Spec, Identity, Start + Spec.Length));
  for (const auto &Each : Loops)
    Each->start();
  ProbeResult Total;
  for (const auto &Each : Loops) {
    Each->wait();
    Total.Latency.merge(Each->Latency);
    Total.Failures += Each->Failures;
  }
  Total.Seconds = std::chrono::duration<double>(now() - Start).count();
  return Total;
}

} // namespace

ProbeResult probeProxy(const ProbeSpec &Spec, const CallerIdentity &Identity) {
  return runLoops<ProxyLoop>(Spec, Identity);
}

ProbeResult probeEndpoint(const ProbeSpec &Spec,
                          const CallerIdentity &Identity) {
  return runLoops<EndpointLoop>(Spec, Identity);
}

} // namespace borageridge::load
