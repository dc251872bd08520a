#ifndef BORAGERIDGE_DATABASE_REPLICATOR_H
#define BORAGERIDGE_DATABASE_REPLICATOR_H

#include "database/ServerCore.h"

#include <grpcpp/grpcpp.h>

#include <deque>
#include <memory>
#include <thread>
#include <utility>

namespace borageridge::database {

/// Fetches the log from the followed primary and appends it after the receive
/// lag.
class Replicator final : public Listener {
public:
  Replicator(ServerCore &MemberCore,
             std::shared_ptr<grpc::ChannelCredentials> PrimaryCredentials);
  ~Replicator() override;

  /// Ends the present fetch if another primary is followed now, the member is
  /// cut off, or nothing has arrived for a while.
  void changed() override;
  void tick() override { changed(); }

private:
  void runFetch();
  void runAppend();
  void fetchFrom(const FollowedPrimary &Primary);
  /// Returns false if the stream has to be opened again.
  bool accept(const FollowedPrimary &Primary, endpoint::LogEntry Entry);
  bool due() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  ServerCore &Core;
  const std::shared_ptr<grpc::ChannelCredentials> Credentials;

  absl::Mutex Mutex;
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
  bool Wake ABSL_GUARDED_BY(Mutex) = false;
  grpc::ClientContext *Active ABSL_GUARDED_BY(Mutex) = nullptr;
  FollowedPrimary ActivePrimary ABSL_GUARDED_BY(Mutex);
  Time LastHeard ABSL_GUARDED_BY(Mutex);
  bool Appending ABSL_GUARDED_BY(Mutex) = false;
  // Entries with the time at which they arrived.
  std::deque<std::pair<endpoint::LogEntry, Time>> Queue ABSL_GUARDED_BY(Mutex);

  std::thread FetchThread;
  std::thread AppendThread;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_REPLICATOR_H
