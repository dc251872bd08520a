#include "rpc/Credentials.h"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

namespace borageridge::rpc {
namespace {

using settings::Transport;

template <auto Free> struct Deleter {
  template <typename T> void operator()(T *Object) const { Free(Object); }
};
using Bio = std::unique_ptr<BIO, Deleter<BIO_free>>;
using X509Pointer = std::unique_ptr<X509, Deleter<X509_free>>;
using KeyPointer = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;

Expected<std::string> readFile(const std::filesystem::path &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::string Text(std::istreambuf_iterator<char>(In), {});
  if (!In || Text.empty())
    return Failure{FailureKind::Unavailable,
                   Path.string() + ": cannot be read or is empty"};
  return Text;
}

Bio memory(const std::string &Text) {
  return Bio(BIO_new_mem_buf(Text.data(), static_cast<int>(Text.size())));
}

X509Pointer certificate(const std::string &Pem) {
  return X509Pointer(
      PEM_read_bio_X509(memory(Pem).get(), nullptr, nullptr, nullptr));
}

KeyPointer privateKey(const std::string &Pem) {
  // Without a callback, OpenSSL would ask for a password on the terminal.
  const auto NoPassword = [](char *, int, int, void *) { return -1; };
  return KeyPointer(
      PEM_read_bio_PrivateKey(memory(Pem).get(), nullptr, NoPassword, nullptr));
}

Failure invalid(const std::filesystem::path &Path, std::string_view Why) {
  ERR_clear_error();
  return {FailureKind::InvalidArgument,
          Path.string() + ": " + std::string(Why)};
}

} // namespace

Expected<Credentials>
Credentials::load(const settings::SecuritySettings &Security) {
  Credentials Result;
  Result.Mode = Security.Mode;
  if (Security.Mode == Transport::Plaintext)
    return Result;
  for (auto [Path, Target] :
       {std::pair(&Security.CertificateFile, &Result.Certificate),
        std::pair(&Security.KeyFile, &Result.Key),
        std::pair(&Security.AuthorityFile, &Result.Authority)}) {
    auto Text = readFile(*Path);
    if (!Text.has_value())
      return Text.error();
    *Target = std::move(Text.value());
  }
  // gRPC reports none of these before the first connection.
  const X509Pointer Own = certificate(Result.Certificate);
  const KeyPointer Key = privateKey(Result.Key);
  if (Own == nullptr)
    return invalid(Security.CertificateFile, "no certificate in PEM form");
  if (Key == nullptr)
    return invalid(Security.KeyFile, "no unencrypted private key in PEM form");
  if (X509_check_private_key(Own.get(), Key.get()) != 1)
    return invalid(Security.KeyFile, "does not belong to the certificate");
  if (certificate(Result.Authority) == nullptr)
    return invalid(Security.AuthorityFile, "no certificate in PEM form");
  return Result;
}

std::shared_ptr<grpc::ServerCredentials> Credentials::forCallers() const {
  return server(GRPC_SSL_REQUEST_CLIENT_CERTIFICATE_AND_VERIFY);
}

std::shared_ptr<grpc::ServerCredentials> Credentials::forInstances() const {
  return server(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
}

std::shared_ptr<grpc::ServerCredentials>
Credentials::server(grpc_ssl_client_certificate_request_type Clients) const {
  if (Mode == Transport::Plaintext)
    return grpc::InsecureServerCredentials();
  grpc::SslServerCredentialsOptions Options(Clients);
  Options.pem_root_certs = Authority;
  Options.pem_key_cert_pairs = {{Key, Certificate}};
  return grpc::SslServerCredentials(Options);
}

std::shared_ptr<grpc::ChannelCredentials> Credentials::forChannels() const {
  if (Mode == Transport::Plaintext)
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions Options;
  Options.pem_root_certs = Authority;
  Options.pem_private_key = Key;
  Options.pem_cert_chain = Certificate;
  return grpc::SslCredentials(Options);
}

} // namespace borageridge::rpc
