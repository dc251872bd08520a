#ifndef BORAGERIDGE_PROXY_CONTROLPLANE_H
#define BORAGERIDGE_PROXY_CONTROLPLANE_H

#include "borageridge/Failure.h"
#include "failover/Promotion.h"
#include "membership/PeerDirectory.h"
#include "proxy/CallerServer.h"
#include "table/TableState.h"

#include "admin.pb.h"
#include "instances.pb.h"
#include "peer.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::proxy {

using EvidenceList = google::protobuf::RepeatedPtrField<peer::Evidence>;

/// Counts of one group since its start, for metrics.
struct GroupFigures {
  std::uint64_t Term = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t Retries = 0;
  std::uint64_t SilentConnections = 0;
  std::size_t Queued = 0;
  struct Member {
    std::string Name;
    std::uint32_t Open = 0;
    std::uint32_t InUse = 0;
  };
  std::vector<Member> Members;
};

/// One database group as the control plane sees it. Thread-safe.
class GroupHandle : public RequestTarget {
public:
  virtual void configure(const table::Table &InForce) = 0;
  virtual void recordKnown(const failover::KnownRecord &Known) = 0;
  /// With its store revision.
  virtual record::GroupRecord record() const = 0;
  virtual std::vector<peer::Evidence> ownEvidence() const = 0;
  virtual void evidenceReceived(const EvidenceList &Evidence) = 0;
  virtual void
  proxiesChanged(std::vector<ranking::ProxyIdentity> Alive,
                 std::vector<ranking::ProxyIdentity> Witnesses) = 0;
  virtual void leavingChanged(std::span<const std::string> Names) = 0;
  virtual failover::StartResult changePrimary(std::string_view Preferred) = 0;
  virtual void describe(admin::GroupStatus &Status) const = 0;
  virtual GroupFigures figures() const = 0;
  virtual void tick() = 0;
};

struct ControlSettings {
  membership::PeerSettings Peers;
  /// A table confirmed within this time counts as recent.
  Duration TableRecentBound = std::chrono::seconds(5);
  /// Changes are pushed to peers for this long after they were noticed.
  Duration PushFor = std::chrono::seconds(1);
  std::uint64_t Seed = 1;
};

/// What one proxy knows of the fleet, the table and the groups, and what it
/// tells its peers. Holds no clock and no connection; thread-safe.
class ControlPlane {
public:
  using GroupFactory =
      std::function<std::unique_ptr<GroupHandle>(std::string_view Database)>;

  ControlPlane(ControlSettings Settings, GroupFactory MakeGroup);

  /// The group of a database; null if the table in force does not name it.
  GroupHandle *group(std::string_view Database) const;
  std::vector<GroupHandle *> groups() const;

  /// A table record from the store, read at or after AsOf.
  Expected<table::TableState::Offer, table::TableError>
  tableFromStore(const record::TableRecord &Record, Time AsOf, Time Now);
  void groupFromStore(const failover::KnownRecord &Known, Time Now);
  void instancesListed(const instances::ListReply &List, Time Now);

  /// Peers to send exchangeRequest() to now.
  std::vector<std::string> dueTargets(Time Now);
  peer::ExchangeRequest exchangeRequest(Time Now);
  peer::ExchangeReply exchangeReceived(const peer::ExchangeRequest &Request,
                                       Time Now);
  void exchangeAnswered(std::string_view Address,
                        const peer::ExchangeReply &Reply, Time SentAt,
                        Time Now);

  /// Whether this proxy is one of the few that watch the store.
  bool isWatcher(Time Now) const;
  void setDraining() { Draining = true; }

  std::uint64_t tableVersion() const;
  bool tableRecent(Time Now) const;
  /// Figures of each group by database.
  std::map<std::string, GroupFigures> figures() const;
  admin::StatusReply status(Time Now) const;

  /// Passes what is known of the fleet on to the groups, and notices records
  /// that changed here.
  void refreshGroups(Time Now);

private:
  struct Change {
    std::uint64_t Version = 0;
    Time NoticedAt;
  };

  void tableInForce(Time Now);
  Expected<table::TableState::Offer, table::TableError>
  offerTable(const record::TableRecord &Record, Time Now);
  void takeGroup(const record::GroupRecord &Record);
  void takeEvidence(const EvidenceList &Evidence);
  template <typename Message> void fillVersions(Message &Out) const;

  ControlSettings Settings;
  GroupFactory MakeGroup;
  std::atomic<bool> Draining = false;

  mutable absl::Mutex Mutex;
  table::TableState Table ABSL_GUARDED_BY(Mutex);
  membership::PeerDirectory Peers ABSL_GUARDED_BY(Mutex);
  /// Groups are never removed while the process runs.
  std::map<std::string, std::unique_ptr<GroupHandle>, std::less<>>
      Groups ABSL_GUARDED_BY(Mutex);
  std::map<std::string, Change, std::less<>>
      GroupChanges ABSL_GUARDED_BY(Mutex);
  Change TableChange ABSL_GUARDED_BY(Mutex);
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_CONTROLPLANE_H
