#ifndef BORAGERIDGE_FAILOVER_FAILUREDETECTOR_H
#define BORAGERIDGE_FAILOVER_FAILUREDETECTOR_H

#include "borageridge/Types.h"
#include "ranking/Rank.h"

#include "peer.pb.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::failover {

enum class ConfirmationPolicy {
  /// A failure is confirmed by evidence of several proxies.
  TwoLevel,
  /// A failure is confirmed by this proxy's own evidence of the quick level.
  /// Serves as the baseline of comparisons.
  OneLevel,
};

struct FailureDetectorSettings {
  ConfirmationPolicy Policy = ConfirmationPolicy::TwoLevel;
  Duration PingInterval = std::chrono::milliseconds(100);
  Duration QuickSuspicion = std::chrono::milliseconds(300);
  Duration RefusedConfirmation = std::chrono::milliseconds(300);
  Duration SilentConfirmation = std::chrono::milliseconds(1200);
  /// A refusal that is not repeated within this time counts as silence.
  /// Connection attempts must be more frequent than that.
  Duration RefusalLifetime = std::chrono::milliseconds(500);
  /// Evidence of a peer is valid for three exchange intervals.
  Duration EvidenceLifetime = std::chrono::milliseconds(600);
  /// Consecutive answers after which a suspected member receives requests
  /// again.
  unsigned AnswersToClear = 3;
};

/// Detects failures of the members of one database group, as seen by one proxy.
///
/// The quick level removes a member from the routing of this proxy. The
/// confirmed level starts a promotion.
class FailureDetector {
public:
  FailureDetector(std::string Database, ranking::ProxyIdentity Self,
                  FailureDetectorSettings Settings = {});

  /// Reports a status, pushed or in answer to a ping.
  void statusReceived(std::string_view Member, Time Now);
  /// Reports that a connection to the member was refused or reset.
  void connectionRefused(std::string_view Member, Time Now);
  /// Reports that a ping was sent, or was due while no connection was open.
  /// Expected once per ping interval: longer gaps count as a pause of this
  /// process and not as silence of the member.
  void pingSent(std::string_view Member, Time Now);
  /// Reports evidence from a peer. Ignored if it concerns another database or
  /// was observed by this proxy.
  void evidenceReceived(const peer::Evidence &Evidence, Time Now);

  /// Quick level: whether this proxy must send no requests to the member.
  bool isSuspected(std::string_view Member, Time Now) const;
  /// Confirmed level. Two proxies and two availability zones must report the
  /// failure, or all that are alive if there are fewer. This proxy counts as
  /// alive, and so does every proxy with unexpired evidence.
  bool isConfirmed(std::string_view Member,
                   std::span<const ranking::ProxyIdentity> LiveProxies,
                   Time Now) const;
  /// Observations of this proxy about each member, for exchange with peers.
  std::vector<peer::Evidence> ownEvidence(Time Now) const;

private:
  /// How long a condition has been observed. An interval between two
  /// observations counts for at most maxStep().
  struct ObservedCondition {
    bool Present = false;
    Duration Elapsed{};
    Time LastStep;
  };
  struct MemberView {
    ObservedCondition Silence;
    ObservedCondition Refusal;
    Time LastRefusal;
    bool Answered = false;
    bool Suspected = false;
    bool PingSinceAnswer = false;
    unsigned ConsecutiveAnswers = 0;
  };
  struct PeerView {
    peer::EvidenceKind Kind = peer::EVIDENCE_KIND_UNSPECIFIED;
    Duration Elapsed{};
    std::string AvailabilityZone;
    Time Received;
  };
  struct Observation {
    peer::EvidenceKind Kind = peer::EVIDENCE_KIND_UNSPECIFIED;
    Duration Elapsed{};
  };
  struct Report {
    std::string_view Observer;
    std::string_view AvailabilityZone;
    Observation Observed;
  };
  using PeerViews = std::map<std::string, PeerView, std::less<>>;

  Duration maxStep() const { return 2 * Settings.PingInterval; }
  Duration elapsed(const ObservedCondition &C, Time Now) const;
  void extend(ObservedCondition &C, Time Now) const;
  bool isRefusalCurrent(const MemberView &View, Time Now) const;
  bool hasQuickEvidence(const MemberView &View, Time Now) const;
  Observation currentObservation(const MemberView &View, Time Now) const;
  bool isLongEnough(Observation Observed) const;
  /// Unexpired reports of this proxy and its peers.
  std::vector<Report> currentReports(std::string_view Member, Time Now) const;
  bool isFresh(const PeerView &View, Time Now) const;
  MemberView &viewOf(std::string_view Member);

  std::string Database;
  ranking::ProxyIdentity Self;
  FailureDetectorSettings Settings;
  std::map<std::string, MemberView, std::less<>> Members;
  /// By member, then by observer.
  std::map<std::string, PeerViews, std::less<>> Peers;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_FAILUREDETECTOR_H
