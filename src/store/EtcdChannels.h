#ifndef BORAGERIDGE_STORE_ETCDCHANNELS_H
#define BORAGERIDGE_STORE_ETCDCHANNELS_H

#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace borageridge::store {

/// One channel for each address of the store, and the address in use.
/// Thread-safe.
class EtcdChannels {
public:
  /// What a failed call says about its channel.
  enum class Fault {
    /// Refused or broken; the channel reconnects by itself.
    Unreachable,
    /// No answer in time. The connection may be silent for ever, so it is
    /// replaced.
    Silent
  };

  struct Picked {
    std::shared_ptr<grpc::Channel> Channel;
    std::size_t Slot = 0;
  };

  EtcdChannels(std::vector<std::string> StoreAddresses,
               std::shared_ptr<grpc::ChannelCredentials> ChannelCredentials);

  /// The channel to the address in use.
  Picked pick();
  /// Moves on to the next address, if the failed channel is still in use.
  void failed(const Picked &Which, Fault Why);

  std::size_t size() const { return Addresses.size(); }

private:
  std::shared_ptr<grpc::Channel> open(const std::string &Address) const;

  const std::vector<std::string> Addresses;
  const std::shared_ptr<grpc::ChannelCredentials> Credentials;
  std::mutex Mutex;
  std::vector<std::shared_ptr<grpc::Channel>> Channels;
  std::size_t InUse = 0;
};

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_ETCDCHANNELS_H
