#include "Options.h"

#include "load/Audit.h"
#include "load/Probe.h"
#include "load/Scenario.h"
#include "load/Workload.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace borageridge::load {

namespace {

using std::chrono::milliseconds;

int fail(const std::string &What) {
  std::cerr << "borageridge-load: " << What << '\n';
  return ExitFailure;
}

/// Creates the register that the probe reads.
bool prepare(const Options &O) {
  Scenario S;
  S.Sessions = 1;
  S.Databases = O.Databases;
  CallerClient Client(O.Proxies, 1, O.Identity);
  const auto Token = prepareDatabases(Client, S, "probe");
  if (!Token.has_value())
    std::cerr << "borageridge-load: preparation: " << Token.error().Detail
              << '\n';
  return Token.has_value();
}

ProbeSpec specOf(const Options &O, const std::string &Address) {
  ProbeSpec Spec;
  Spec.Address = Address;
  Spec.Database = O.Databases.front();
  Spec.RequestClass = O.RequestClass;
  Spec.AcceptedAgeMs = O.AcceptedAgeMs;
  Spec.Connections = O.Connections;
  Spec.Length = milliseconds(O.SliceMs);
  return Spec;
}

void printSlice(const char *Path, std::uint32_t Repeat, const ProbeResult &R) {
  const auto Rate = double(R.Latency.count()) / R.Seconds;
  std::cout << nlohmann::ordered_json{{"record", "probe"},
                                      {"path", Path},
                                      {"repeat", Repeat},
                                      {"reads", R.Latency.count()},
                                      {"failures", R.Failures},
                                      {"rate_per_s", Rate},
                                      {"p50_ms", R.Latency.percentileMs(0.5)},
                                      {"p99_ms", R.Latency.percentileMs(0.99)}}
            << '\n';
}

void printSummary(const char *Metric, std::vector<double> Values,
                  const char *Unit) {
  std::sort(Values.begin(), Values.end());
  std::cout << nlohmann::ordered_json{{"record", "summary"},
                                      {"metric", Metric},
                                      {"value", Values[Values.size() / 2]},
                                      {"lowest", Values.front()},
                                      {"highest", Values.back()},
                                      {"unit", Unit}}
            << '\n';
}

} // namespace

int probeMode(const Options &O) {
  if (O.Proxies.empty() || O.Databases.empty())
    return fail("--probe needs --proxies and --databases");
  if (!prepare(O))
    return ExitFailure;
  std::vector<double> Added;
  std::vector<double> Through;
  std::vector<double> Direct;
  std::vector<double> Rate;
  std::uint64_t Failures = 0;
  for (std::uint32_t I = 0; I < O.Repeats; ++I) {
    const auto Proxy = probeProxy(specOf(O, O.Proxies.front()), O.Identity);
    printSlice("proxy", I, Proxy);
    Failures += Proxy.Failures;
    Rate.push_back(double(Proxy.Latency.count()) / Proxy.Seconds);
    Through.push_back(Proxy.Latency.percentileMs(0.5));
    if (O.Endpoint.empty())
      continue;
    const auto Endpoint = probeEndpoint(specOf(O, O.Endpoint), O.Identity);
    printSlice("direct", I, Endpoint);
    Failures += Endpoint.Failures;
    Direct.push_back(Endpoint.Latency.percentileMs(0.5));
    Added.push_back(Through.back() - Direct.back());
  }
  printSummary("proxy_rate", Rate, "1/s");
  printSummary("proxy_latency_p50_ms", Through, "ms");
  if (!Added.empty()) {
    printSummary("direct_latency_p50_ms", Direct, "ms");
    printSummary("added_latency_p50_ms", Added, "ms");
  }
  return Failures == 0 ? ExitOk : fail(std::to_string(Failures) + " failures");
}

int idleMode(const Options &O) {
  if (O.Proxies.empty() || O.Databases.empty())
    return fail("--idle-sessions needs --proxies and --databases");
  if (!prepare(O))
    return ExitFailure;
  caller::ExecuteRequest Request;
  Request.set_database(O.Databases.front());
  Request.set_kind(caller::STATEMENT_KIND_READ);
  Request.set_request_class(O.RequestClass);
  Request.set_accepted_age_ms(O.AcceptedAgeMs);
  Operation Op;
  Op.ExpectedValues = 1;
  addStatements(Op, "probe", "idle", Request);
  std::vector<std::unique_ptr<CallerClient>> Sessions;
  for (std::uint32_t I = 0; I < O.IdleSessions; ++I) {
    auto Client = std::make_unique<CallerClient>(
        std::vector<std::string>{O.Proxies.front()}, 1, O.Identity);
    caller::ExecuteReply Reply;
    const auto Status =
        Client->executeAnywhere(Request, Reply, std::chrono::seconds(10));
    if (!Status.ok())
      return fail("session " + std::to_string(I) + ": " +
                  Status.error_message());
    Sessions.push_back(std::move(Client));
  }
  std::cout << nlohmann::ordered_json{{"record", "idle"},
                                      {"sessions", Sessions.size()}}
            << std::endl;
  std::this_thread::sleep_for(milliseconds(O.HoldMs));
  return ExitOk;
}

} // namespace borageridge::load
