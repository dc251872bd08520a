#ifndef BORAGERIDGE_OPERATOR_CREDENTIALS_H
#define BORAGERIDGE_OPERATOR_CREDENTIALS_H

#include "borageridge/Failure.h"

#include <grpcpp/security/credentials.h>

#include <memory>
#include <string>

namespace borageridge::operators {

/// Paths of PEM files; all empty means plaintext.
struct TlsFiles {
  std::string Certificate;
  std::string Key;
  std::string Authority;
};

Expected<std::string> readFile(const std::string &Path);

Expected<std::shared_ptr<grpc::ChannelCredentials>>
channelCredentials(const TlsFiles &Files);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_CREDENTIALS_H
