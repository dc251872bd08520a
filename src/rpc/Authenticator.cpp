#include "rpc/Authenticator.h"

#include <grpc/grpc_security_constants.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace borageridge::rpc {
namespace {

constexpr const char *AuthorizationKey = "authorization";
constexpr const char *CallerKey = "x-borageridge-caller";
constexpr std::string_view BearerPrefix = "Bearer ";

std::string_view view(grpc::string_ref Text) {
  return {Text.data(), Text.size()};
}

// The value of a key that is given exactly once.
std::optional<std::string_view> single(const Authenticator::Metadata &Given,
                                       const char *Key) {
  const auto [Begin, End] = Given.equal_range(Key);
  if (Begin == End || std::next(Begin) != End)
    return std::nullopt;
  return view(Begin->second);
}

Failure denied(AuthenticationError Error) {
  return {FailureKind::PermissionDenied, std::string(name(Error))};
}

} // namespace

std::string_view name(AuthenticationError Error) {
  switch (Error) {
  case AuthenticationError::NoCredentials:
    return "no_credentials";
  case AuthenticationError::Malformed:
    return "malformed_credentials";
  case AuthenticationError::WrongSecret:
    return "wrong_secret";
  case AuthenticationError::UnknownCertificate:
    return "unknown_certificate";
  case AuthenticationError::Ambiguous:
    return "ambiguous_credentials";
  case AuthenticationError::CallerCertificate:
    return "caller_certificate";
  }
  return "no_credentials";
}

Authenticator::Authenticator(settings::CallerDirectory Directory,
                             settings::Transport Transport)
    : Callers(std::move(Directory)), Mode(Transport) {}

Expected<std::string>
Authenticator::caller(const grpc::ServerContextBase &Context) const {
  auto Name = identify(Context.client_metadata(), certificateNames(Context));
  if (!Name.has_value())
    return denied(Name.error());
  return std::move(Name.value());
}

Expected<void>
Authenticator::instance(const grpc::ServerContextBase &Context) const {
  if (Mode == settings::Transport::Plaintext)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  const std::vector<std::string> Names = certificateNames(Context);
  if (Names.empty())
    return denied(AuthenticationError::NoCredentials);
  for (const std::string &Name : Names)
    if (Callers.byCertificateName(Name))
      return denied(AuthenticationError::CallerCertificate);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Expected<std::string, AuthenticationError> Authenticator::identify(
    const Metadata &Given,
    const std::vector<std::string> &CertificateNames) const {
  const bool HasMetadata =
      Given.contains(AuthorizationKey) || Given.contains(CallerKey);
  if (!HasMetadata)
    return fromCertificate(CertificateNames);
  auto Named = fromMetadata(Given);
  if (!Named.has_value() || CertificateNames.empty())
    return Named;
  // A certificate that belongs to no caller may be that of an intermediary.
  const auto Certified = fromCertificate(CertificateNames);
  const bool Contradicts =
      Certified.has_value()
          ? Certified.value() != Named.value()
          : Certified.error() == AuthenticationError::Ambiguous;
  if (Contradicts)
    return AuthenticationError::Ambiguous;
  return Named;
}

Expected<std::string, AuthenticationError>
Authenticator::fromMetadata(const Metadata &Given) const {
  const auto Authorization = single(Given, AuthorizationKey);
  const auto Name = single(Given, CallerKey);
  if (!Authorization || !Name || !Authorization->starts_with(BearerPrefix))
    return AuthenticationError::Malformed;
  if (!Callers.hasSecret(*Name, Authorization->substr(BearerPrefix.size())))
    return AuthenticationError::WrongSecret;
  return std::string(*Name);
}

Expected<std::string, AuthenticationError> Authenticator::fromCertificate(
    const std::vector<std::string> &CertificateNames) const {
  if (CertificateNames.empty())
    return AuthenticationError::NoCredentials;
  std::optional<std::string> Found;
  for (const std::string &Name : CertificateNames) {
    auto Caller = Callers.byCertificateName(Name);
    if (Caller && Found && *Caller != *Found)
      return AuthenticationError::Ambiguous;
    if (Caller)
      Found = std::move(Caller);
  }
  if (!Found)
    return AuthenticationError::UnknownCertificate;
  return std::move(*Found);
}

std::vector<std::string>
Authenticator::certificateNames(const grpc::ServerContextBase &Context) const {
  std::vector<std::string> Names;
  if (Mode == settings::Transport::Plaintext)
    return Names;
  const auto Peer = Context.auth_context();
  if (Peer == nullptr || !Peer->IsPeerAuthenticated())
    return Names;
  for (const char *Property :
       {GRPC_X509_CN_PROPERTY_NAME, GRPC_X509_SAN_PROPERTY_NAME})
    for (const grpc::string_ref &Value : Peer->FindPropertyValues(Property))
      Names.emplace_back(view(Value));
  return Names;
}

} // namespace borageridge::rpc
