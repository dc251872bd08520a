#include "entry/Registration.h"

#include "entry/Events.h"
#include "runtime/Clock.h"

namespace borageridge::entry {
namespace {

using runtime::bootTime;
using runtime::Task;

constexpr Duration RenewInterval = std::chrono::milliseconds(1200);
constexpr Duration FailurePause = std::chrono::milliseconds(200);
constexpr Duration MaxFailurePause = std::chrono::milliseconds(1000);

} // namespace

Task<void> Registration::run() {
  // A stopping daemon renews its lease while it still serves.
  while (!Released) {
    bool Done = true;
    if (!isRegistered())
      Done = co_await registerDaemon();
    else
      co_await renew();
    // If the store has ended the lease, register again without a pause.
    if (Done && !isRegistered())
      continue;
    co_await runtime::sleepFor(Done ? RenewInterval : FailurePause);
    // Without a lease, wait until the cheaper reads of StoreView reach the
    // store.
    if (!Done && !isRegistered() && !S.Store.isReachable(bootTime()))
      co_await S.Store.waitUntilReachable(MaxFailurePause);
  }
}

// A lease of an earlier era is kept until it is replaced or expires: after a
// restore of the store, no primary is changed before all such leases are over.
bool Registration::isRegistered() const {
  return S.Lease.id() != 0 && S.Lease.era() == S.Store.era();
}

// Reads the records after writing the entry: a change of primary either finds
// the entry and asks this daemon to relinquish the primary, or the read returns
// the record of that change.
Task<bool> Registration::registerDaemon() {
  const Time SentAt = bootTime();
  Expected<keyvalue::LeaseGrant> Grant = co_await S.Store.grant(UseLeaseTtl);
  if (!Grant)
    co_return false;
  cluster::DaemonRecord Self;
  Self.Name = S.Settings.InstanceName;
  Self.Ip = S.Settings.Ip;
  Self.PeerPort = S.Settings.PeerPort;
  Self.AvailabilityZone = S.Settings.AvailabilityZone;
  Self.Incarnation = S.Incarnation;
  Self.ProcessorShare = S.Settings.ProcessorShare;
  keyvalue::Transaction Entry;
  Entry.StoreEra = Grant.value().StoreEra;
  Entry.Puts.push_back({std::string(cluster::DaemonPrefix) + Self.Name,
                        cluster::encode(Self), Grant.value().Id});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Entry));
  if (!Written || Released)
    co_return false;
  const Expected<void> Read = co_await View.refreshRecords();
  if (!Read)
    co_return false;
  // Under a lease that is still valid no primary has been changed unnoticed.
  // Otherwise the store may have lost the record of a change.
  if (!S.Lease.isValid(bootTime()))
    S.Shared.TrustedFrom = cluster::makeEpoch(Grant.value().StoreEra, 0);
  // Applied without draining, because answers to statements in flight may not
  // be acknowledged without a lease anyway.
  for (const auto &[Service, Record] : S.Records)
    if (const auto Found = S.ByService.find(Service);
        Found != S.ByService.end())
      Found->second->setRecord(Record, bootTime());
  S.Lease.confirm(Grant.value().Id, SentAt,
                  std::chrono::milliseconds(Grant.value().TtlMs),
                  Grant.value().StoreEra);
  S.Log.write(event::LeaseGranted, Grant.value().Id);
  co_return true;
}

Task<void> Registration::renew() {
  const keyvalue::LeaseId Id = S.Lease.id();
  const Time SentAt = bootTime();
  const Expected<void> Renewed = co_await S.Store.renew(Id, S.Lease.era());
  if (S.Lease.id() != Id)
    co_return;
  if (Renewed) {
    S.Lease.renewed(SentAt);
  } else if (Renewed.error().Kind == FailureKind::NotFound && isRegistered()) {
    S.Log.write(event::LeaseLost, "ended at the store");
    S.Lease.drop();
  }
}

void Registration::tick(Time Now) {
  const bool Valid = S.Lease.isValid(Now);
  const keyvalue::LeaseId Id = S.Lease.id();
  if (WasValid && !Valid && Id != 0) {
    S.Log.write(event::LeaseLost, "expired without renewal");
    ExpiredLease = Id;
  }
  if (!WasValid && Valid && ExpiredLease == Id)
    S.Log.write(event::LeaseGranted, Id);
  WasValid = Valid;
}

Task<void> Registration::release() {
  Released = true;
  const keyvalue::LeaseId Id = S.Lease.id();
  const keyvalue::Era GrantedIn = S.Lease.era();
  if (Id == 0)
    co_return;
  S.Lease.drop();
  const Expected<void> Ended = co_await S.Store.revokeLease(Id, GrantedIn);
  if (!Ended)
    S.Log.write(event::StoreLost, "end lease", Ended.error().Detail);
}

} // namespace borageridge::entry
