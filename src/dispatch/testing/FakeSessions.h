#ifndef BORAGERIDGE_DISPATCH_TESTING_FAKESESSIONS_H
#define BORAGERIDGE_DISPATCH_TESTING_FAKESESSIONS_H

#include "dispatch/testing/GroupSimulation.h"
#include "load/HistoryChecker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace borageridge::dispatch::testing {

/// Result of a run of sessions.
struct SessionReport {
  std::vector<load::Violation> Violations;
  std::size_t Acknowledged = 0;
  std::size_t NotRun = 0;
  std::size_t Unknown = 0;
  std::size_t Reads = 0;
  std::size_t ReplicaReads = 0;
  /// Operations that had not completed at the end of the run.
  std::size_t Unfinished = 0;
  /// No member served as primary at the end.
  bool NoPrimary = false;
};

/// Client sessions that send each operation to a random proxy, run one
/// operation at a time, determine uncertain outcomes by look-up, and record a
/// history.
class FakeSessions {
public:
  FakeSessions(GroupSimulation &Simulation, std::uint32_t Count);

  /// Stops starting new operations.
  void stop() { Stopping = true; }
  /// Checks the history against the data of the current primary.
  SessionReport report();

  /// Accepted age of the reads that may be stale; zero requires current data.
  void setAcceptedAge(Duration Age) { AcceptedAge = Age; }
  void setDeadline(Duration D) { Deadline = D; }
  void setThinkTime(Duration D) { ThinkTime = D; }

private:
  struct Session {
    load::SessionId Id = 0;
    session::SessionPositions Positions;
    std::uint64_t NextValue = 0;
    std::uint64_t NextJob = 0;
    std::uint64_t Attempts = 0;
    load::Operation Current;
    std::string Key;
    std::string Marker;
    bool Busy = false;
    /// The outcome of the current write is uncertain. Only look-ups and
    /// attempts with the same key may follow.
    bool Uncertain = false;
    bool LookingUp = false;
    RequestId OpenTransaction = NoRequest;
    int TransactionProxy = 0;
  };

  void next(Session &S);
  void startOperation(Session &S);
  void attempt(Session &S);
  void attemptTransaction(Session &S, int Proxy);
  void lookUp(Session &S);
  void executed(Session &S, const SendAnswer *Answer);
  void transacted(Session &S, const SendAnswer *Answer);
  void lookedUp(Session &S, const SendAnswer *Answer);
  void refused(Session &S, const caller::Refusal &Refusal);
  void retryOrLookUp(Session &S);
  void complete(Session &S, load::Result Outcome);
  void readResults(Session &S, const caller::ExecuteReply &Reply);
  std::string jobKey(const Session &S, std::uint64_t Number) const;
  std::string registerKey(load::SessionId Id) const;
  load::FinalState finalState() const;

  GroupSimulation &Simulation;
  std::deque<Session> Sessions;
  std::vector<load::Operation> History;
  Duration AcceptedAge = std::chrono::seconds(1);
  Duration Deadline = std::chrono::seconds(2);
  Duration ThinkTime = std::chrono::milliseconds(40);
  bool Stopping = false;
  std::size_t UnknownAnswers = 0;
  std::size_t ReplicaReads = 0;
};

/// Configuration table of the simulated proxies.
std::string sessionTable();

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_FAKESESSIONS_H
