#include "load/CallerClient.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

namespace borageridge::load {

namespace {

using std::chrono::milliseconds;

/// Callers try a proxy that came back soon again; the default of gRPC starts
/// at 1 s and would be measured as a failover gap.
constexpr int FirstReconnectDelayMs = 100;
constexpr int LastReconnectDelayMs = 500;

/// Bounds one try of a request that is sent to any proxy.
constexpr milliseconds TryTimeout{5000};
constexpr milliseconds TryPause{50};

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::shared_ptr<grpc::ChannelCredentials>
credentials(const CallerIdentity &Identity) {
  if (Identity.AuthorityFile.empty())
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions Options;
  Options.pem_root_certs = readFile(Identity.AuthorityFile);
  return grpc::SslCredentials(Options);
}

} // namespace

std::shared_ptr<grpc::Channel> makeChannel(const std::string &Address,
                                           const CallerIdentity &Identity) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   FirstReconnectDelayMs);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, FirstReconnectDelayMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, LastReconnectDelayMs);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(Address, credentials(Identity), Arguments);
}

void authenticate(const CallerIdentity &Identity,
                  grpc::ClientContext &Context) {
  Context.AddMetadata("authorization", "Bearer " + Identity.Secret);
  Context.AddMetadata("x-borageridge-caller", Identity.Caller);
}

CallerClient::CallerClient(const std::vector<std::string> &Proxies,
                           std::uint32_t ChannelsPerProxy, CallerIdentity Id)
    : Identity(std::move(Id)) {
  for (const std::string &Address : Proxies) {
    auto &Lanes = Stubs.emplace_back();
    for (std::uint32_t I = 0; I < ChannelsPerProxy; ++I)
      Lanes.push_back(
          caller::CallerService::NewStub(makeChannel(Address, Identity)));
  }
}

CallerClient::Stub &CallerClient::stub(std::size_t Proxy, std::size_t Lane) {
  const auto &Lanes = Stubs[Proxy];
  return *Lanes[Lane % Lanes.size()];
}

void CallerClient::prepare(grpc::ClientContext &Context,
                           Duration Timeout) const {
  authenticate(Identity, Context);
  Context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(Timeout));
}

void CallerClient::execute(std::size_t Proxy, std::size_t Lane,
                           Duration Timeout,
                           const caller::ExecuteRequest &Request,
                           caller::ExecuteReply &Reply,
                           grpc::ClientContext &Context, Done OnDone) {
  prepare(Context, Timeout);
  stub(Proxy, Lane)
      .async()
      ->Execute(&Context, &Request, &Reply, std::move(OnDone));
}

void CallerClient::lookUp(std::size_t Proxy, std::size_t Lane, Duration Timeout,
                          const caller::LookUpRequest &Request,
                          caller::LookUpReply &Reply,
                          grpc::ClientContext &Context, Done OnDone) {
  prepare(Context, Timeout);
  stub(Proxy, Lane)
      .async()
      ->LookUp(&Context, &Request, &Reply, std::move(OnDone));
}

grpc::Status
CallerClient::executeAnywhere(const caller::ExecuteRequest &Request,
                              caller::ExecuteReply &Reply, Duration Timeout) {
  const Time End = std::chrono::steady_clock::now() + Timeout;
  grpc::Status Last(grpc::StatusCode::UNAVAILABLE, "no proxy");
  for (std::size_t Try = 0; std::chrono::steady_clock::now() < End; ++Try) {
    grpc::ClientContext Context;
    prepare(Context, TryTimeout);
    Reply.Clear();
    Last = stub(Try % proxies(), 0).Execute(&Context, Request, &Reply);
    if (Last.ok() && !Reply.has_refusal())
      return Last;
    if (Last.ok())
      Last = {grpc::StatusCode::FAILED_PRECONDITION,
              caller::RefusalReason_Name(Reply.refusal().reason()) + ": " +
                  Reply.refusal().detail()};
    std::this_thread::sleep_for(TryPause);
  }
  return Last;
}

} // namespace borageridge::load
