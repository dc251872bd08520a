#ifndef BORAGERIDGE_RPC_CREDENTIALS_H
#define BORAGERIDGE_RPC_CREDENTIALS_H

#include "borageridge/Failure.h"
#include "settings/Settings.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>

namespace borageridge::rpc {

/// Transport credentials of one process. Plaintext only if the settings say so.
class Credentials {
public:
  /// Reads and checks the files of the settings. Unavailable if one cannot be
  /// read; InvalidArgument if one is not PEM, or if the key does not belong to
  /// the certificate.
  static Expected<Credentials> load(const settings::SecuritySettings &Security);

  /// For the address of callers. With TLS a client certificate is verified if
  /// there is one; callers without one give a secret.
  std::shared_ptr<grpc::ServerCredentials> forCallers() const;

  /// For the addresses of peers and operators. With TLS a client certificate is
  /// required.
  std::shared_ptr<grpc::ServerCredentials> forInstances() const;

  /// Towards peers. With TLS the certificate of the other side must contain the
  /// IP number that is connected to.
  std::shared_ptr<grpc::ChannelCredentials> forChannels() const;

  settings::Transport transport() const { return Mode; }

private:
  std::shared_ptr<grpc::ServerCredentials>
  server(grpc_ssl_client_certificate_request_type Clients) const;

  settings::Transport Mode = settings::Transport::Tls;
  std::string Certificate;
  std::string Key;
  std::string Authority;
};

} // namespace borageridge::rpc

#endif // BORAGERIDGE_RPC_CREDENTIALS_H
