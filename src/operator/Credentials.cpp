#include "operator/Credentials.h"

#include <fstream>
#include <sstream>

namespace borageridge::operators {

Expected<std::string> readFile(const std::string &Path) {
  const std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In.is_open())
    return Failure{FailureKind::InvalidArgument, "cannot read " + Path};
  return Text.str();
}

Expected<std::shared_ptr<grpc::ChannelCredentials>>
channelCredentials(const TlsFiles &Files) {
  if (Files.Certificate.empty() && Files.Authority.empty())
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions Options;
  const auto Load = [](const std::string &Path,
                       std::string &Into) -> Expected<bool> {
    if (Path.empty())
      return false;
    auto Text = readFile(Path);
    if (!Text.has_value())
      return Text.error();
    Into = std::move(Text).value();
    return true;
  };
  for (const auto &Loaded : {Load(Files.Authority, Options.pem_root_certs),
                             Load(Files.Certificate, Options.pem_cert_chain),
                             Load(Files.Key, Options.pem_private_key)})
    if (!Loaded.has_value())
      return Loaded.error();
  return grpc::SslCredentials(Options);
}

} // namespace borageridge::operators
