#ifndef BORAGERIDGE_STANDINS_SUPPORT_SERVEROPTIONS_H
#define BORAGERIDGE_STANDINS_SUPPORT_SERVEROPTIONS_H

#include "borageridge/Failure.h"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>

#include <initializer_list>
#include <memory>
#include <string>

namespace borageridge::standins {

/// Paths of PEM files; all empty means plaintext.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  /// If set, callers must present a certificate of this authority.
  std::string Authority;
};

Expected<std::shared_ptr<grpc::ServerCredentials>>
serverCredentials(const TlsFiles &Files);

/// A running server and the port that it got.
struct RunningServer {
  std::unique_ptr<grpc::Server> Server;
  int Port = 0;
};

/// Starts a server; port 0 in the address picks a free one.
Expected<RunningServer>
startServer(const std::string &Address,
            std::shared_ptr<grpc::ServerCredentials> Credentials,
            std::initializer_list<grpc::Service *> Services);

/// Blocks until SIGTERM or SIGINT. Call blockStopSignals first, before any
/// thread is started.
void blockStopSignals();
void waitForStopSignal();

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_SUPPORT_SERVEROPTIONS_H
