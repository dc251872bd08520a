#ifndef BORAGERIDGE_OPERATOR_REQUESTCOMMANDS_H
#define BORAGERIDGE_OPERATOR_REQUESTCOMMANDS_H

#include "borageridge/Types.h"
#include "operator/Console.h"

#include <grpcpp/security/credentials.h>

#include <memory>
#include <string>

namespace borageridge::operators {

struct RequestLookUp {
  std::string CallerAddress;
  std::string Caller;
  std::string SecretFile;
  std::string Database;
  std::string RequestId;
  std::shared_ptr<grpc::ChannelCredentials> Credentials;
  Duration Timeout = std::chrono::seconds(2);
};

/// Settles a request id and prints its outcome. Repeating it is harmless.
ExitCode requestLookUp(Console &Out, const RequestLookUp &LookUp);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_REQUESTCOMMANDS_H
