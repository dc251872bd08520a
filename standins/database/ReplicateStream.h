#ifndef BORAGERIDGE_DATABASE_REPLICATESTREAM_H
#define BORAGERIDGE_DATABASE_REPLICATESTREAM_H

#include "database/ServerCore.h"

#include <grpcpp/grpcpp.h>

#include <deque>
#include <memory>
#include <optional>

namespace borageridge::database {

/// Sends the log to a replica. An entry without position is a heartbeat.
class ReplicateStream final
    : public grpc::ServerWriteReactor<endpoint::LogEntry>,
      public Listener,
      public std::enable_shared_from_this<ReplicateStream> {
public:
  static ReplicateStream *open(ServerCore &Core,
                               const endpoint::ReplicateRequest &Request);

  ReplicateStream(ServerCore &StreamCore,
                  const endpoint::ReplicateRequest &Request);

  void changed() override { advance(); }
  void tick() override;
  void OnWriteDone(bool Ok) override;
  void OnCancel() override;
  void OnDone() override { Self.reset(); }

private:
  /// Writes the next entry or finishes, if one of them is due.
  void advance();
  std::optional<grpc::Status> next() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  std::optional<grpc::Status> fill() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  ServerCore &Core;
  const Term ServedTerm;
  const std::uint64_t Generation;
  std::shared_ptr<ReplicateStream> Self;

  absl::Mutex Mutex;
  borageridge::Position Sent ABSL_GUARDED_BY(Mutex);
  std::deque<endpoint::LogEntry> Queue ABSL_GUARDED_BY(Mutex);
  bool Writing ABSL_GUARDED_BY(Mutex) = false;
  bool Broken ABSL_GUARDED_BY(Mutex) = false;
  bool Finished ABSL_GUARDED_BY(Mutex) = false;
  bool HeartbeatDue ABSL_GUARDED_BY(Mutex) = true;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_REPLICATESTREAM_H
