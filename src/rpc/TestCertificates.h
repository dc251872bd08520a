#ifndef BORAGERIDGE_RPC_TESTCERTIFICATES_H
#define BORAGERIDGE_RPC_TESTCERTIFICATES_H

#include "settings/Settings.h"

#include <filesystem>
#include <memory>
#include <string>

namespace borageridge::rpc {

/// A certificate authority for one test. Its files live in a directory that is
/// removed with it.
class TestAuthority {
public:
  TestAuthority();
  ~TestAuthority();
  TestAuthority(const TestAuthority &) = delete;
  TestAuthority &operator=(const TestAuthority &) = delete;

  /// TLS settings with a certificate of the given common name for 127.0.0.1.
  settings::SecuritySettings issue(const std::string &CommonName) const;

  std::filesystem::path directory() const { return Directory; }

private:
  struct Keys;
  std::unique_ptr<Keys> Root;
  std::filesystem::path Directory;
};

} // namespace borageridge::rpc

#endif // BORAGERIDGE_RPC_TESTCERTIFICATES_H
