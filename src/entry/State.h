#ifndef BORAGERIDGE_ENTRY_STATE_H
#define BORAGERIDGE_ENTRY_STATE_H

#include "catalog/Catalog.h"
#include "change/ChangePolicy.h"
#include "cluster/HolderTable.h"
#include "cluster/LocalLease.h"
#include "cluster/OwnEntry.h"
#include "cluster/Records.h"
#include "entry/EntryMetrics.h"
#include "entry/Executor.h"
#include "instance/DaemonSettings.h"
#include "keyvalue/StoreClient.h"
#include "peer/PeerChannel.h"
#include "pool/ServicePool.h"
#include "quota/CounterMap.h"
#include "runtime/Async.h"
#include "telemetry/Log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace borageridge::entry {

/// The last report of another daemon.
struct PeerReport {
  Time Received;
  /// Its evidence about the primary that it has on record, by service.
  std::map<std::string, change::PrimaryReport> Primaries;
  /// Number of statements in flight, by member.
  std::map<std::string, std::uint32_t> InFlight;
  bool ReachesStore = false;
};

/// Another daemon of the fleet.
struct Peer {
  cluster::DaemonRecord Record;
  std::shared_ptr<peer::PeerChannel> Channel;
  PeerReport LastReport;
  /// Whether the last request to it failed.
  bool Unreachable = false;
  /// A seed address of the settings, queried only until a daemon of the fleet
  /// is known. It does not count as a daemon, because the daemon at that
  /// address also has a peer of its own once it is known.
  bool IsSeed = false;
};

/// State shared by the components of one daemon. Used by one thread.
struct State {
  State(runtime::asio::io_context &Context, instance::DaemonSettings Given,
        runtime::tcp::endpoint StoreAddress, telemetry::Log &Output)
      : Io(Context), Settings(std::move(Given)), Log(Output),
        Store(Context, StoreAddress), Shared{Context, Output, Lease,
                                             Settings.InstanceName,
                                             Settings.AvailabilityZone},
        StatementExecutor(Context, ByService, Output, Metrics) {}

  runtime::asio::io_context &Io;
  instance::DaemonSettings Settings;
  telemetry::Log &Log;
  std::uint64_t Incarnation = 0;
  keyvalue::StoreClient Store;
  cluster::LocalLease Lease;
  cluster::OwnEntry Entry;
  EntryMetrics Metrics;
  pool::PoolContext Shared;
  Pools ByService;
  Executor StatementExecutor;

  /// Registered members by id.
  std::map<std::string, catalog::Member> Members;
  /// Members whose entry has disappeared from the store, and when.
  std::map<std::string, Time> RemovedMembers;
  std::map<std::string, cluster::GroupRecord> Records;
  std::map<std::string, Peer> Peers;
  /// Daemons that hold a lease, including this one, by name.
  std::map<std::string, cluster::DaemonRecord> Daemons;
  /// Selects the connection holders among Daemons.
  cluster::HolderTable HolderRanking;
  /// The connection holders of a service: the daemons that keep connections to
  /// its members while the others forward sessions to them. Contains only
  /// services for which not all daemons are holders.
  std::map<std::string, std::vector<std::string>> Holders;
  /// The holders of the counters of quotas, as the store states them.
  quota::CounterMap Counters;
  /// The store's entry of the active coordinator; revision 0 if there is none.
  keyvalue::Item Promoter;
  /// Daemons that became unreachable and whose forwarded sessions have not been
  /// closed yet.
  std::vector<std::string> UnreachablePeers;
  /// Daemons that may have failed, to be queried at the next interval.
  std::set<std::string> PeersToCheck;
  /// Newest version of the configuration that a peer has reported.
  std::uint64_t NewestConfigSeen = 0;
  /// Whether configuration, members and daemons have been read once.
  bool Loaded = false;
  /// Until then, other daemons may be running that have not registered again
  /// after an outage of the store.
  Time FleetKnownFrom;
  bool Stopping = false;
  /// Whether sessions are closed after the answer to their statement, because
  /// the daemon stops.
  bool ClosesSessions = false;
};

/// Applies a record to the pool of its service if it is newer than the one
/// known.
void applyRecord(State &S, const std::string &Service,
                 const cluster::GroupRecord &Newer);

/// Runs a task that the daemon cannot work without: starts it again after an
/// unexpected error, which is logged.
runtime::Task<void> keepRunning(State &S, std::string Name,
                                std::function<runtime::Task<void>()> Run);

/// Lease under which a daemon may use primaries. A change of primary waits up
/// to this long for a daemon that is partitioned. Outages of the store that are
/// shorter do not interrupt the use of primaries.
constexpr Duration UseLeaseTtl = std::chrono::milliseconds(6000);

/// Time for statements in flight at the primary to finish when a change of
/// primary begins.
constexpr Duration DrainTimeout = std::chrono::milliseconds(300);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STATE_H
