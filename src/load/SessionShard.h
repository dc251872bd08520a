#ifndef BORAGERIDGE_LOAD_SESSIONSHARD_H
#define BORAGERIDGE_LOAD_SESSIONSHARD_H

#include "load/Arrivals.h"
#include "load/RequestProgress.h"
#include "load/Runner.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace borageridge::load {

/// Place of a shard among the threads of a run.
struct ShardPlace {
  std::uint32_t Index = 0;
  std::uint32_t Count = 1;
};

/// A part of the sessions of a run. One thread starts arrivals and delayed
/// tries; answers arrive on threads of gRPC. One lock guards everything; calls
/// are started without it, because an answer may arrive inside the start.
class SessionShard {
public:
  SessionShard(const Scenario &S, const std::string &Run,
               const std::string &Token, CallerClient &Client,
               ShardPlace Place);
  ~SessionShard();

  /// Starts arrivals from Start on. Returns when all requests are settled.
  void run(Time Start);

  /// Only after run().
  RunHistory takeHistory() { return std::move(Recorded); }

private:
  struct Waiting {
    std::uint32_t Spec = 0;
    Time Intended;
  };

  struct Session {
    SessionId Id = 0;
    std::size_t Proxy = 0;
    std::string Token;
    bool Busy = false;
    std::deque<Waiting> Queue;
    /// Last value or number used, by database.
    std::vector<std::uint64_t> LastValue;
    std::vector<std::uint64_t> LastJob;
    /// Last acknowledged job by database; 0 if there is none.
    std::vector<std::uint64_t> AcknowledgedJob;
  };

  struct Call;
  struct Request;
  struct Timer;
  struct LaterTimer {
    bool operator()(const Timer &A, const Timer &B) const;
  };
  using RequestPointer = std::unique_ptr<Request>;
  using Ready = std::vector<Request *>;

  std::vector<RatePeriod> periodsOf(const OperationSpec &Spec) const;
  void startDueArrivals(Time Now, Ready &Due);
  void startDueTimers(Time Now, Ready &Due);
  void arrive(const Waiting &Arrival, Ready &Due);
  Request *startRequest(Session &Owner, const Waiting &Arrival);
  void planOperation(Session &Owner, const OperationSpec &Spec, Operation &Op);
  void planRead(const OperationSpec &Spec, Operation &Op);
  void moveSession(Session &Owner);
  Time nextWake() const;
  bool finished() const;

  void send(Request &R);
  void sendExecute(Request &R);
  void sendLookUp(Request &R);
  void onAnswer(Request &R, const grpc::Status &Status);
  static TryResult readTry(Request &R, const grpc::Status &Status);
  void finish(Request &R, Result Outcome, Time Now, Ready &Due);

  const Scenario &Spec;
  const std::string Run;
  CallerClient &Client;
  const Time::duration Length;

  std::mutex Lock;
  std::condition_variable Wake;
  std::mt19937_64 Random;
  std::vector<PoissonArrivals> Arrivals;
  std::vector<Session> Sessions;
  std::vector<RequestPointer> Open;
  std::priority_queue<Timer, std::vector<Timer>, LaterTimer> Timers;
  std::uint64_t NextMarker = 0;
  std::string MarkerPrefix;
  RunHistory Recorded;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_SESSIONSHARD_H
