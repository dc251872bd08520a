#ifndef BORAGERIDGE_RPC_AUTHENTICATOR_H
#define BORAGERIDGE_RPC_AUTHENTICATOR_H

#include "borageridge/Failure.h"
#include "settings/Callers.h"
#include "settings/Settings.h"

#include <grpcpp/server_context.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::rpc {

enum class AuthenticationError {
  /// Neither metadata nor a client certificate.
  NoCredentials,
  /// Metadata that is incomplete, repeated or not a bearer secret.
  Malformed,
  /// Unknown caller or another secret; not told apart.
  WrongSecret,
  /// A valid certificate that belongs to no caller.
  UnknownCertificate,
  /// Credentials of different callers in one request.
  Ambiguous,
  /// A caller's certificate where only instances and operators may connect.
  CallerCertificate,
};

/// Returns the lower-case name of an error, as used in logs and answers.
std::string_view name(AuthenticationError Error);

/// Finds out who sent a request. Thread-safe.
class Authenticator {
public:
  using Metadata = std::multimap<grpc::string_ref, grpc::string_ref>;

  Authenticator(settings::CallerDirectory Directory, settings::Transport Mode);

  /// The name of the caller; PermissionDenied with the name of an
  /// AuthenticationError otherwise.
  Expected<std::string> caller(const grpc::ServerContextBase &Context) const;

  /// For the addresses of peers and operators: refuses certificates of callers
  /// and, with TLS, requests without a certificate.
  Expected<void> instance(const grpc::ServerContextBase &Context) const;

  /// The caller according to metadata and the names in a verified certificate.
  Expected<std::string, AuthenticationError>
  identify(const Metadata &Given,
           const std::vector<std::string> &CertificateNames) const;

private:
  Expected<std::string, AuthenticationError>
  fromMetadata(const Metadata &Given) const;
  Expected<std::string, AuthenticationError>
  fromCertificate(const std::vector<std::string> &CertificateNames) const;
  std::vector<std::string>
  certificateNames(const grpc::ServerContextBase &Context) const;

  settings::CallerDirectory Callers;
  settings::Transport Mode;
};

} // namespace borageridge::rpc

#endif // BORAGERIDGE_RPC_AUTHENTICATOR_H
