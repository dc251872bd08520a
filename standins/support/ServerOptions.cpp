#include "standins/support/ServerOptions.h"

#include <grpcpp/server_builder.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace borageridge::standins {
namespace {

Expected<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In)
    return Failure{FailureKind::NotFound, "cannot read " + Path};
  return Text.str();
}

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

} // namespace

Expected<std::shared_ptr<grpc::ServerCredentials>>
serverCredentials(const TlsFiles &Files) {
  if (Files.Certificate.empty() && Files.Key.empty())
    return grpc::InsecureServerCredentials();
  const auto Certificate = readFile(Files.Certificate);
  if (!Certificate.has_value())
    return Certificate.error();
  const auto Key = readFile(Files.Key);
  if (!Key.has_value())
    return Key.error();
  grpc::SslServerCredentialsOptions Options;
  Options.pem_key_cert_pairs.push_back({Key.value(), Certificate.value()});
  if (!Files.Authority.empty()) {
    const auto Authority = readFile(Files.Authority);
    if (!Authority.has_value())
      return Authority.error();
    Options.pem_root_certs = Authority.value();
    Options.client_certificate_request =
        GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY;
  }
  return grpc::SslServerCredentials(Options);
}

Expected<RunningServer>
startServer(const std::string &Address,
            std::shared_ptr<grpc::ServerCredentials> Credentials,
            std::initializer_list<grpc::Service *> Services) {
  RunningServer Running;
  grpc::ServerBuilder Builder;
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, std::move(Credentials), &Running.Port);
  for (grpc::Service *Service : Services)
    Builder.RegisterService(Service);
  Running.Server = Builder.BuildAndStart();
  if (Running.Server == nullptr || Running.Port == 0)
    return Failure{FailureKind::Unavailable, "cannot listen on " + Address};
  return Running;
}

void blockStopSignals() {
  const sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
}

void waitForStopSignal() {
  const sigset_t Set = stopSignals();
  int Received = 0;
  sigwait(&Set, &Received);
}

} // namespace borageridge::standins
