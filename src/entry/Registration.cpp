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
    co_await Wakeup.wait(Done ? RenewInterval : FailurePause);
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

// The lease of a registration that failed is used again: the store may have
// written the entry under it, or may still do so.
Task<bool> Registration::obtainLease() {
  if (Granted.id() != 0 && Granted.era() == S.Store.era())
    co_return true;
  const Time SentAt = bootTime();
  const Expected<keyvalue::LeaseGrant> Grant =
      co_await S.Store.grant(UseLeaseTtl);
  if (!Grant)
    co_return false;
  Granted.confirm(Grant.value().Id, SentAt,
                  std::chrono::milliseconds(Grant.value().TtlMs),
                  Grant.value().StoreEra);
  GrantSentAt = SentAt;
  Replaced = 0;
  co_return true;
}

// Writes the entry in place of the one that was read last, if any. The
// condition keeps a write that the store executes late from replacing a newer
// entry.
Task<bool> Registration::writeEntry() {
  const std::string Key =
      std::string(cluster::DaemonPrefix) + S.Settings.InstanceName;
  const keyvalue::Era Era = Granted.era();
  cluster::DaemonRecord Self;
  Self.Name = S.Settings.InstanceName;
  Self.Ip = S.Settings.Ip;
  Self.PeerPort = S.Settings.PeerPort;
  Self.AvailabilityZone = S.Settings.AvailabilityZone;
  Self.Incarnation = S.Incarnation;
  Self.ProcessorShare = S.Settings.ProcessorShare;
  keyvalue::Transaction Entry;
  Entry.StoreEra = Era;
  Entry.Conditions.push_back({Key, Replaced});
  Entry.Puts.push_back({Key, cluster::encode(Self), Granted.id()});
  const Expected<keyvalue::Revision> Written =
      co_await S.Store.commit(std::move(Entry));
  if (Written) {
    S.Entry.written(cluster::makeEpoch(Era, Written.value()), Granted.id());
    co_return true;
  }
  if (Written.error().Kind == FailureKind::NotFound)
    Granted.drop();
  if (Written.error().Kind == FailureKind::Conflict && Era == S.Store.era())
    co_return co_await findEntry(Key);
  co_return false;
}

// Returns whether the entry was written by an earlier request whose answer was
// lost.
Task<bool> Registration::findEntry(std::string Key) {
  const Expected<keyvalue::RangePage> Page = co_await S.Store.range(Key);
  if (!Page || Page.value().StoreEra != Granted.era())
    co_return false;
  Replaced = 0;
  for (const keyvalue::Item &Found : Page.value().Items) {
    if (Found.Key != Key)
      continue;
    Replaced = Found.ModRevision;
    if (Found.Lease != Granted.id())
      continue;
    S.Entry.written(
        cluster::makeEpoch(Page.value().StoreEra, Found.ModRevision),
        Granted.id());
    co_return true;
  }
  co_return false;
}

// Reads the records after writing the entry: a change of primary either finds
// the entry and asks this daemon to relinquish the primary, or the read returns
// the record of that change.
Task<bool> Registration::registerDaemon() {
  if (!co_await obtainLease() || Released)
    co_return false;
  const keyvalue::Revision Tried = Replaced;
  bool Written = co_await writeEntry();
  // Another entry was found in its place.
  if (!Written && Granted.id() != 0 && Replaced != Tried && !Released)
    Written = co_await writeEntry();
  if (!Written || Released)
    co_return false;
  const Expected<void> Read = co_await View.refreshRecords();
  if (!Read || Granted.era() != S.Store.era() || Released)
    co_return false;
  // Under a lease that is still valid no primary has been changed unnoticed.
  // Otherwise the store may have lost the record of a change.
  if (!S.Lease.isValid(bootTime()))
    S.Shared.TrustedFrom = cluster::makeEpoch(Granted.era(), 0);
  // Applied without draining, because answers to statements in flight may not
  // be acknowledged without a lease anyway.
  for (const auto &[Service, Record] : S.Records)
    if (const auto Found = S.ByService.find(Service);
        Found != S.ByService.end())
      Found->second->setRecord(Record, bootTime());
  S.Lease = Granted;
  S.Log.write(event::LeaseGranted, Granted.id());
  if (bootTime() - GrantSentAt >= RenewInterval)
    co_await renew();
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
    Granted.drop();
  }
}

void Registration::tick(Time Now) {
  // A change of primary does not wait for a daemon without an entry.
  if (isRegistered() && S.Entry.isLost()) {
    S.Log.write(event::LeaseLost, "the entry of this daemon is gone");
    S.Lease.drop();
    Granted.drop();
    Wakeup.notify();
  }
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
  const keyvalue::LeaseId Id = Granted.id();
  const keyvalue::Era GrantedIn = Granted.era();
  S.Lease.drop();
  Granted.drop();
  if (Id == 0)
    co_return;
  const Expected<void> Ended = co_await S.Store.revokeLease(Id, GrantedIn);
  if (!Ended)
    S.Log.write(event::StoreLost, "end lease", Ended.error().Detail);
}

} // namespace borageridge::entry
