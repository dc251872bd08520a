#ifndef BORAGERIDGE_DATABASE_MEMBER_H
#define BORAGERIDGE_DATABASE_MEMBER_H

#include "database/DataFile.h"
#include "database/Faults.h"
#include "database/Locks.h"
#include "database/MemberLog.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace borageridge::database {

struct MemberOptions {
  std::string Directory;
  std::size_t Slots = 3;
  std::chrono::milliseconds TransactionTimeout{5000};
  /// Longest wait for the write lock.
  std::chrono::milliseconds LockTimeout{2000};
  std::uint64_t RequestRetention = 1000000;
};

/// An interactive transaction; owns the write lock until it is finished.
struct OpenTransaction {
  Term ServedTerm = 0;
  Time Deadline;
  /// An EndpointError; nonzero once the transaction has to end.
  std::atomic<int> Ending = endpoint::ENDPOINT_ERROR_NONE;

  /// Held while a step of the transaction runs.
  absl::Mutex Mutex;
  bool Finished ABSL_GUARDED_BY(Mutex) = false;
  endpoint::Batch Logged ABSL_GUARDED_BY(Mutex);
  ResultSets Results ABSL_GUARDED_BY(Mutex);
};

/// The state of one connection. Used by one thread at a time.
struct Session {
  std::shared_ptr<OpenTransaction> Transaction;
};

struct FollowedPrimary {
  Term ServedTerm = 0;
  std::string Address;
  friend bool operator==(const FollowedPrimary &,
                         const FollowedPrimary &) = default;
};

/// One member of a database group: log, data and the rules for terms, without
/// sockets. Thread-safe; calls may block for the lock timeout.
///
/// The log is the truth: a commit appends to the log first, and after a restart
/// entries that are in the log only are applied again. Locks are taken in the
/// order write lock, transaction, state.
class Member {
public:
  /// OnChange is called after a change of the status, without locks held.
  Member(MemberOptions MemberOptions, Faults &MemberFaults,
         std::function<void()> ChangeCallback);
  ~Member();

  /// Runs one step of a connection. Present bounds transactions.
  endpoint::ConnectionReply run(Session &Caller,
                                const endpoint::ConnectionRequest &Request,
                                Time Present);
  /// Rolls back the open transaction of a connection that has ended.
  void close(Session &Caller);
  /// Rolls back the open transaction if its time has run out.
  void expire(Time Present);

  endpoint::SealReply seal(Term Sealed);
  endpoint::PromoteReply promote(const endpoint::PromoteRequest &Request);
  endpoint::FollowReply follow(const endpoint::FollowRequest &Request);

  /// Role, terms and positions; the other fields are left unset.
  endpoint::MemberStatus status() const;
  std::uint64_t servedTerm() const;
  std::uint64_t statementCount() const { return Statements; }
  std::uint64_t commitCount() const { return Commits; }

  /// Entries for a replica that has the log up to After; fails with Conflict
  /// if this is not the primary of the term. If After is not in the log, the
  /// only entry is marked as diverged and holds the last position that both
  /// logs can share.
  Expected<std::vector<endpoint::LogEntry>>
  entriesFor(Term ServedTerm, borageridge::Position After, std::size_t Limit);

  /// The primary to fetch from; none if this is not a serving replica.
  std::optional<FollowedPrimary> followed() const;
  borageridge::Position received() const;
  /// Appends entries from the primary of a term. Returns false if they are
  /// refused, since the term is not followed any more or a gap was found.
  bool receive(Term ServedTerm, std::span<const endpoint::LogEntry> Entries,
               Time Present);
  /// Discards entries after the last one that the primary's log can contain,
  /// and rebuilds the data if any of them was applied.
  bool discardAfter(Term ServedTerm, borageridge::Position Shared);
  /// Applies received entries whose lag has passed. Returns how many.
  std::size_t applyDue(Time Present);

private:
  using Reply = endpoint::ConnectionReply;

  bool servesWrites(Term Wanted) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool servesReads(Term Wanted) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  Term serving() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  Reply read(Term Wanted, const endpoint::Batch &Batch);
  Reply write(Term Wanted, const endpoint::Batch &Batch);
  Reply settle(Term Wanted, const endpoint::RequestKey &Key);
  Reply begin(Session &Caller, Term Wanted, const endpoint::Begin &Begin,
              Time Present);
  Reply statement(Session &Caller, const caller::Statement &Statement);
  Reply end(Session &Caller, bool Commit);
  Reply hello() const;

  /// Runs Body in a write transaction; Body commits it or leaves it open, in
  /// which case it is rolled back.
  template <typename F> Reply inWriteTransaction(Term Wanted, F Body);
  Reply runKeyed(Term ServedTerm, const endpoint::Batch &Batch);
  std::optional<Reply> recorded(const endpoint::RequestKey &Key);
  /// Commits the writer's transaction as the next log entry, unless the term
  /// is not served any more.
  Reply commit(Term ServedTerm, const endpoint::Batch &Batch,
               endpoint::RecordedOutcome Outcome, const ResultSets &Results);

  void finish(OpenTransaction &Transaction)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Transaction.Mutex);
  void requestEnd(const std::shared_ptr<OpenTransaction> &Transaction,
                  endpoint::EndpointError Reason);
  void finishIfEnding(OpenTransaction &Transaction);
  std::shared_ptr<OpenTransaction> raiseSeal(Term Sealed)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool promotable(const endpoint::PromoteRequest &Request) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool startTerm(const endpoint::PromoteRequest &Request);
  bool followable(const endpoint::FollowRequest &Request) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  bool follows(Term ServedTerm) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  std::vector<endpoint::LogEntry> dueEntries(Time Latest);
  std::size_t apply(Time Latest);

  const MemberOptions Options;
  Faults &Switches;
  const std::function<void()> OnChange;

  // Guarded by Lock, which no annotation can express since it moves between
  // threads.
  Sqlite Writer;
  WriteLock Lock;
  Slots Running;

  mutable absl::Mutex Mutex;
  MemberLog Log ABSL_GUARDED_BY(Mutex);
  borageridge::Position Applied ABSL_GUARDED_BY(Mutex);
  std::shared_ptr<OpenTransaction> Current ABSL_GUARDED_BY(Mutex);
  // When entries were received; older entries are not listed.
  std::deque<std::pair<LogIndex, Time>> ReceivedAt ABSL_GUARDED_BY(Mutex);

  std::atomic<std::uint64_t> Statements = 0;
  std::atomic<std::uint64_t> Commits = 0;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_MEMBER_H
