#include "rpc/TestCertificates.h"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>

namespace borageridge::rpc {
namespace {

constexpr long OneDay = 24L * 60 * 60;

struct FreeX509 {
  void operator()(X509 *Object) const { X509_free(Object); }
};
struct FreeKey {
  void operator()(EVP_PKEY *Object) const { EVP_PKEY_free(Object); }
};
using X509Pointer = std::unique_ptr<X509, FreeX509>;
using KeyPointer = std::unique_ptr<EVP_PKEY, FreeKey>;

void addExtension(X509 *Certificate, int Kind, const char *Value) {
  X509_EXTENSION *Extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, Kind, Value);
  X509_add_ext(Certificate, Extension, -1);
  X509_EXTENSION_free(Extension);
}

X509Pointer unsignedCertificate(EVP_PKEY *Key, const std::string &CommonName) {
  static long LastSerial = 0;
  X509Pointer Result(X509_new());
  X509_set_version(Result.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Result.get()), ++LastSerial);
  X509_gmtime_adj(X509_getm_notBefore(Result.get()), -OneDay);
  X509_gmtime_adj(X509_getm_notAfter(Result.get()), OneDay);
  X509_set_pubkey(Result.get(), Key);
  X509_NAME_add_entry_by_txt(
      X509_get_subject_name(Result.get()), "CN", MBSTRING_UTF8,
      reinterpret_cast<const unsigned char *>(CommonName.c_str()), -1, -1, 0);
  return Result;
}

void writeCertificate(const std::filesystem::path &Path, X509 *Certificate) {
  std::FILE *File = std::fopen(Path.c_str(), "w");
  PEM_write_X509(File, Certificate);
  std::fclose(File);
}

void writeKey(const std::filesystem::path &Path, EVP_PKEY *Key) {
  std::FILE *File = std::fopen(Path.c_str(), "w");
  PEM_write_PrivateKey(File, Key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(File);
}

} // namespace

struct TestAuthority::Keys {
  KeyPointer Key{EVP_EC_gen("P-256")};
  X509Pointer Certificate = unsignedCertificate(Key.get(), "test authority");
};

TestAuthority::TestAuthority() : Root(std::make_unique<Keys>()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "borageridge-XXXXXX").string();
  Directory = mkdtemp(Template.data());
  X509 *Own = Root->Certificate.get();
  X509_set_issuer_name(Own, X509_get_subject_name(Own));
  addExtension(Own, NID_basic_constraints, "critical,CA:TRUE");
  X509_sign(Own, Root->Key.get(), EVP_sha256());
  writeCertificate(Directory / "authority.pem", Own);
}

TestAuthority::~TestAuthority() { std::filesystem::remove_all(Directory); }

settings::SecuritySettings
TestAuthority::issue(const std::string &CommonName) const {
  const KeyPointer Key(EVP_EC_gen("P-256"));
  const X509Pointer Issued = unsignedCertificate(Key.get(), CommonName);
  X509_set_issuer_name(Issued.get(),
                       X509_get_subject_name(Root->Certificate.get()));
  addExtension(Issued.get(), NID_subject_alt_name, "IP:127.0.0.1");
  X509_sign(Issued.get(), Root->Key.get(), EVP_sha256());
  settings::SecuritySettings Result;
  Result.Mode = settings::Transport::Tls;
  Result.CertificateFile = Directory / (CommonName + ".pem");
  Result.KeyFile = Directory / (CommonName + ".key");
  Result.AuthorityFile = Directory / "authority.pem";
  writeCertificate(Result.CertificateFile, Issued.get());
  writeKey(Result.KeyFile, Key.get());
  return Result;
}

} // namespace borageridge::rpc
