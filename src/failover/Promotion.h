#ifndef BORAGERIDGE_FAILOVER_PROMOTION_H
#define BORAGERIDGE_FAILOVER_PROMOTION_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "failover/Actions.h"
#include "failover/Backoff.h"
#include "failover/ChangeRateLimiter.h"
#include "failover/MemberReconciler.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace borageridge::failover {

enum class ChangeReason { Unplanned, Planned };

enum class StartResult {
  Started,
  /// A change has been requested here or is recorded in the store.
  InProgress,
  /// Too soon after the last unplanned change.
  RateLimited,
  /// No record is known.
  NoRecord,
  /// The preferred member does not exist or is the primary already.
  Unsuitable,
};

struct PromotionSettings {
  /// Delay between the starts of proxies with adjacent ranks.
  Duration RankDelay = std::chrono::milliseconds(200);
  /// Time without progress after which another proxy takes over a change.
  Duration TakeoverDelay = std::chrono::milliseconds(400);
  /// An unanswered store call counts as lost after this time.
  Duration StoreTimeout = std::chrono::seconds(1);
  Duration InitialRetryDelay = std::chrono::milliseconds(50);
  Duration MaxRetryDelay = std::chrono::seconds(1);
  /// A candidate that has not become primary within this time is abandoned.
  Duration PromoteTimeout = std::chrono::seconds(1);
  /// Time to wait for a majority that does not include the avoided member.
  Duration AvoidedMemberTimeout = std::chrono::milliseconds(300);
  /// Planned change: largest lag of the candidate behind the primary at which
  /// the change may begin, and how long to wait for that lag.
  LogIndex MaxCandidateLag = 64;
  Duration CandidateLagTimeout = std::chrono::seconds(5);
  /// Planned change: time for the candidate to receive the log of the sealed
  /// primary.
  Duration CatchUpTimeout = std::chrono::milliseconds(100);
  Duration MinChangeInterval = std::chrono::seconds(10);
  Duration MaxChangeInterval = std::chrono::minutes(5);
};

/// Returns an identifier that is unique among all proxies and calls.
using AttemptGenerator = std::function<std::string()>;

/// State machine that changes the primary of one database group, as run by one
/// proxy.
///
/// After each input, and at nextWake(), the caller calls tick() and performs
/// the returned actions. Results may arrive late, repeatedly or never.
class Promotion {
public:
  Promotion(PromotionSettings Settings, AttemptGenerator NextAttempt);

  /// Reports a record that was read, watched or received from a peer. Ignored
  /// unless its revision is newer.
  void recordChanged(const KnownRecord &Newer, Time Now);
  void rankChanged(unsigned Rank);
  void statusReceived(std::string_view Member,
                      const endpoint::MemberStatus &Status, Time Now);

  /// Requests a change. An unplanned change begins after a delay that depends
  /// on the rank of this proxy. Preferred may be empty; an unplanned change
  /// uses it only to choose between equal logs. An unplanned request expires
  /// unless it is repeated while its reason persists.
  StartResult start(ChangeReason Reason, std::string_view Preferred, Time Now);
  /// Withdraws a request that has not been written to the store.
  void cancel();

  void readFinished(const Expected<KnownRecord> &Result, Time Now);
  /// Result holds the new revision.
  void swapFinished(std::string_view Attempt,
                    const Expected<std::int64_t> &Result, Time Now);
  void sealFinished(std::string_view Member, Term SealedFor,
                    const Expected<endpoint::SealReply> &Result, Time Now);
  void promoteFinished(std::string_view Member, Term PromotedFor,
                       const Expected<endpoint::PromoteReply> &Result,
                       Time Now);

  Actions tick(Time Now);
  /// Time at which tick() has to be called without an input. Reconciliation
  /// needs no wake-up: it runs when statuses arrive.
  std::optional<Time> nextWake() const;
  /// Returns Seal, Promote and Follow actions for members that are behind the
  /// record. Any proxy may repeat them.
  Actions reconcileMembers(Time Now);

  const std::optional<KnownRecord> &record() const { return Known; }
  /// Whether this proxy coordinates a change or has requested one.
  bool hasOwnChange() const { return Coordinating || Requested.has_value(); }

private:
  struct ReceivedStatus {
    endpoint::MemberStatus Status;
    Time Received;
  };
  struct ChangeRequest {
    ChangeReason Reason = ChangeReason::Unplanned;
    std::string Preferred;
    Time NotBefore;
    Time ExpiresAt;
  };
  struct StoreCall {
    bool InFlight = false;
    Time Deadline;
  };
  struct PendingSwap {
    SwapRecord Swap;
    StoreCall Call;
  };
  struct PendingRead {
    Backoff Retry;
    StoreCall Call;
    bool ForTakeover = false;
  };
  struct SealProgress {
    Backoff Retry;
    std::optional<Position> Received;
  };
  /// State of the coordinating proxy in the recorded phase.
  struct PhaseProgress {
    Time Since;
    std::map<std::string, SealProgress, std::less<>> Seals;
    Backoff PromoteBackoff;
    bool Promoted = false;
  };

  const record::GroupRecord &current() const { return Known->Record; }
  bool isChanging() const;
  bool isPlanned() const;
  Term nextTerm() const;
  Backoff newBackoff() const;

  StartResult startPlanned(std::string_view Preferred, Time Now);
  StartResult startUnplanned(std::string_view Preferred, Time Now);
  void applyRecord(const KnownRecord &Newer, Time Now);
  void countForRateLimit(const record::GroupRecord &Newer, Time Now);
  void handleRefusal(Term SealedTerm);
  void coordinate(Time Now);
  void requestRead(bool ForTakeover);

  void expireStoreCalls(Time Now);
  void advance(Time Now, Actions &Out);
  void tickRead(Time Now, Actions &Out);
  void tickSwap(Time Now, Actions &Out);
  void tickRequest(Time Now);
  void tickTakeover(Time Now);
  void tickSealing(Time Now, Actions &Out);
  void tickPromoting(Time Now, Actions &Out);
  std::optional<Time> requestWake() const;
  std::optional<Time> sealingWake() const;
  std::optional<Time> promotingWake() const;

  const ReceivedStatus *freshStatus(std::string_view Member, Time Now) const;
  bool isCandidateWithinLag(std::string_view Candidate, Time Now) const;
  std::string leastLaggingReplica(Time Now) const;

  void swapTo(record::GroupRecord Next);
  void swapToSealing(std::string_view Preferred);
  bool maySeal(std::string_view Member, Time Now) const;
  std::optional<std::string> selectCandidate(Time Now) const;

  PromotionSettings Settings;
  AttemptGenerator NextAttempt;
  MemberReconciler Reconciler;
  ChangeRateLimiter RateLimiter;
  unsigned Rank = 0;

  std::optional<KnownRecord> Known;
  std::map<std::string, ReceivedStatus, std::less<>> Statuses;
  std::optional<ChangeRequest> Requested;
  std::optional<PendingRead> Read;
  std::optional<PendingSwap> Swap;
  Backoff SwapBackoff;
  /// Attempts of the latest swaps: a record with one of them was written by
  /// this proxy, even if the answer was lost.
  std::deque<std::string> OwnAttempts;
  bool Coordinating = false;
  PhaseProgress Progress;
  Time TakeoverAt;
  /// Member that an unplanned request prefers between equal logs.
  std::string TieBreakMember;
  /// Candidate that this proxy has abandoned in the current change.
  std::string FailedCandidate;
  /// Highest sealed term that a member reported when it refused a request.
  Term HighestSealedTerm = 0;
  /// Whether the record was read after that refusal.
  bool ReadSinceRefusal = false;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_PROMOTION_H
