#ifndef BORAGERIDGE_ENTRY_STATE_H
#define BORAGERIDGE_ENTRY_STATE_H

#include "catalog/Catalog.h"
#include "change/ChangePolicy.h"
#include "cluster/LocalLease.h"
#include "cluster/Records.h"
#include "entry/EntryMetrics.h"
#include "entry/Executor.h"
#include "instance/DaemonSettings.h"
#include "keyvalue/StoreClient.h"
#include "peer/PeerChannel.h"
#include "pool/ServicePool.h"
#include "runtime/Async.h"
#include "telemetry/Log.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::entry {

/// What another daemon last told.
struct PeerReport {
  Time Received;
  /// By service: what it has seen of the primary that it knows.
  std::map<std::string, change::PrimaryReport> About;
  /// Statements in work by member.
  std::map<std::string, std::uint32_t> InFlight;
  bool ReachesStore = false;
};

/// Another daemon.
struct Peer {
  cluster::DaemonRecord Record;
  std::shared_ptr<peer::PeerChannel> Channel;
  PeerReport Last;
  bool Lost = false;
};

/// Everything that the parts of one daemon share. One thread.
struct State {
  State(runtime::asio::io_context &Context, instance::DaemonSettings Given,
        runtime::tcp::endpoint StoreAddress, telemetry::Log &Output)
      : Io(Context), Settings(std::move(Given)), Log(Output),
        Store(Context, StoreAddress), Shared{Context, Output, Lease,
                                             Settings.InstanceName,
                                             Settings.AvailabilityZone},
        Runner(Context, ByService, Output, Metrics) {}

  runtime::asio::io_context &Io;
  instance::DaemonSettings Settings;
  telemetry::Log &Log;
  std::uint64_t Incarnation = 0;
  keyvalue::StoreClient Store;
  cluster::LocalLease Lease;
  EntryMetrics Metrics;
  pool::PoolContext Shared;
  Pools ByService;
  Executor Runner;

  /// Members by id, as registered.
  std::map<std::string, catalog::Member> Members;
  /// Members whose entry vanished, and when.
  std::map<std::string, Time> Vanished;
  std::map<std::string, cluster::GroupRecord> Records;
  std::map<std::string, Peer> Peers;
  /// Daemons with a lease, by name; with this one.
  std::map<std::string, cluster::DaemonRecord> Daemons;
  /// Counts the changes of Daemons.
  std::uint64_t DaemonsVersion = 0;
  /// Daemons that hold the connections of a service, where not all do.
  std::map<std::string, std::vector<std::string>> Holders;
  /// The entry of the daemon that may promote; revision 0: none.
  keyvalue::Item Promoter;
  /// Daemons that stopped answering; their sessions are to be left.
  std::vector<std::string> LostPeers;
  /// Version of the newest configuration that a peer has told of.
  std::uint64_t NewestConfigSeen = 0;
  bool Loaded = false;
  /// Before, other daemons may run that have not registered anew.
  Time FleetKnownFrom;
  bool Stopping = false;
};

/// Applies a record to the pool of its service, and keeps the newest.
void applyRecord(State &S, const std::string &Service,
                 const cluster::GroupRecord &Newer);

/// Work in flight at a primary may end within this time when a change begins.
constexpr Duration DrainLimit = std::chrono::milliseconds(300);

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_STATE_H
