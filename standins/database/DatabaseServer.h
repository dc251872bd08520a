#ifndef BORAGERIDGE_DATABASE_DATABASESERVER_H
#define BORAGERIDGE_DATABASE_DATABASESERVER_H

#include "database/ServerCore.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace borageridge::database {

struct ServerAddresses {
  /// IP:port; port 0 takes a free port.
  std::string Listen = "127.0.0.1:0";
  std::string Control = "127.0.0.1:0";
};

struct ServerSecurity {
  std::shared_ptr<grpc::ServerCredentials> Server =
      grpc::InsecureServerCredentials();
  /// For the connection to the primary.
  std::shared_ptr<grpc::ChannelCredentials> Client =
      grpc::InsecureChannelCredentials();
};

/// A database member that serves EndpointService and, on another address,
/// ControlService. It runs until destroyed.
class DatabaseServer {
public:
  /// Returns nothing if an address cannot be used.
  static std::unique_ptr<DatabaseServer>
  start(const ServerOptions &Options, const ServerAddresses &Addresses,
        const ServerSecurity &Security = {});

  ~DatabaseServer();
  DatabaseServer(const DatabaseServer &) = delete;
  DatabaseServer &operator=(const DatabaseServer &) = delete;

  int port() const { return Port; }
  int controlPort() const { return ControlPort; }
  ServerCore &core() { return Core; }

private:
  class Endpoint;
  class Control;

  explicit DatabaseServer(const ServerOptions &Options);

  ServerCore Core;
  std::unique_ptr<Endpoint> EndpointPart;
  std::unique_ptr<Control> ControlPart;
  std::shared_ptr<Listener> Replication;
  std::unique_ptr<grpc::Server> Server;
  std::unique_ptr<grpc::Server> ControlServer;
  int Port = 0;
  int ControlPort = 0;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_DATABASESERVER_H
