#include "proxy/ControlPlane.h"

#include <algorithm>

namespace borageridge::proxy {

namespace {

using table::TableState;

// A waiting watch counts as a call of the store, whose rates grow more slowly
// than the fleet; the other proxies learn of changes from these.
constexpr unsigned Watchers = 3;
constexpr std::string_view WatcherRole = "store-watch";

} // namespace

ControlPlane::ControlPlane(ControlSettings WithSettings, GroupFactory Factory)
    : Settings(std::move(WithSettings)), MakeGroup(std::move(Factory)),
      Table(Settings.TableRecentBound), Peers(Settings.Peers, Settings.Seed) {}

GroupHandle *ControlPlane::group(std::string_view Database) const {
  const absl::MutexLock Lock(&Mutex);
  const auto Found = Groups.find(Database);
  return Found == Groups.end() ? nullptr : Found->second.get();
}

std::vector<GroupHandle *> ControlPlane::groups() const {
  const absl::MutexLock Lock(&Mutex);
  std::vector<GroupHandle *> All;
  for (const auto &[Database, Group] : Groups)
    All.push_back(Group.get());
  return All;
}

Expected<TableState::Offer, table::TableError>
ControlPlane::offerTable(const record::TableRecord &Record, Time Now) {
  bool Taken = false;
  Expected<TableState::Offer, table::TableError> Result =
      TableState::Offer::Older;
  {
    const absl::MutexLock Lock(&Mutex);
    Result = Table.offer(Record, Now);
    Taken = Result.has_value() && Result.value() == TableState::Offer::Taken;
    if (Taken) {
      TableChange = {Record.version(), Now};
      Peers.exchangeNow(Now);
    }
  }
  if (Taken)
    tableInForce(Now);
  return Result;
}

Expected<TableState::Offer, table::TableError>
ControlPlane::tableFromStore(const record::TableRecord &Record, Time AsOf,
                             Time Now) {
  auto Result = offerTable(Record, Now);
  const absl::MutexLock Lock(&Mutex);
  Table.confirm(Record.version(), AsOf);
  return Result;
}

void ControlPlane::tableInForce(Time) {
  std::shared_ptr<const table::Table> InForce;
  std::vector<GroupHandle *> All;
  {
    const absl::MutexLock Lock(&Mutex);
    InForce = Table.table();
    for (const auto &[Database, Policy] : InForce->Groups) {
      std::unique_ptr<GroupHandle> &Group = Groups[Database];
      if (!Group)
        Group = MakeGroup(Database);
    }
    for (const auto &[Database, Group] : Groups)
      All.push_back(Group.get());
  }
  for (GroupHandle *Group : All)
    Group->configure(*InForce);
}

void ControlPlane::groupFromStore(const failover::KnownRecord &Known, Time) {
  if (GroupHandle *Group = group(Known.Record.database()))
    Group->recordKnown(Known);
}

void ControlPlane::instancesListed(const instances::ListReply &List, Time Now) {
  std::vector<std::string> Leaving;
  {
    const absl::MutexLock Lock(&Mutex);
    Peers.updateFromList(List, Now);
    Leaving = Peers.leavingEndpoints();
  }
  for (GroupHandle *Group : groups())
    Group->leavingChanged(Leaving);
}

std::vector<std::string> ControlPlane::dueTargets(Time Now) {
  const absl::MutexLock Lock(&Mutex);
  return Peers.dueTargets(Now);
}

template <typename Message>
void ControlPlane::fillVersions(Message &Out) const {
  for (GroupHandle *Group : groups()) {
    const record::GroupRecord Record = Group->record();
    if (Record.version() > 0) {
      peer::GroupVersion &Version = *Out.add_groups();
      Version.set_database(Record.database());
      Version.set_version(Record.version());
    }
    for (peer::Evidence &Seen : Group->ownEvidence())
      *Out.add_evidence() = std::move(Seen);
  }
  Out.set_draining(Draining);
  Out.set_table_version(tableVersion());
}

peer::ExchangeRequest ControlPlane::exchangeRequest(Time Now) {
  peer::ExchangeRequest Request;
  const membership::PeerSettings &Own = Settings.Peers;
  Request.set_instance(Own.Self.Name);
  Request.set_availability_zone(Own.Self.AvailabilityZone);
  Request.set_address(Own.OwnAddress);
  fillVersions(Request);
  std::vector<std::string> Changed;
  {
    const absl::MutexLock Lock(&Mutex);
    if (TableChange.Version > 0 &&
        Now - TableChange.NoticedAt < Settings.PushFor)
      *Request.mutable_changed_table() = Table.record();
    for (const auto &[Database, Latest] : GroupChanges)
      if (Now - Latest.NoticedAt < Settings.PushFor)
        Changed.push_back(Database);
  }
  for (const std::string &Database : Changed)
    *Request.add_changed_groups() = group(Database)->record();
  return Request;
}

void ControlPlane::takeGroup(const record::GroupRecord &Record) {
  failover::KnownRecord Known{Record, Record.store_revision()};
  Known.Record.clear_store_revision();
  if (GroupHandle *Group = group(Record.database()))
    Group->recordKnown(Known);
}

void ControlPlane::takeEvidence(const EvidenceList &Evidence) {
  for (GroupHandle *Group : groups())
    Group->evidenceReceived(Evidence);
}

peer::ExchangeReply
ControlPlane::exchangeReceived(const peer::ExchangeRequest &Request, Time Now) {
  {
    const absl::MutexLock Lock(&Mutex);
    Peers.recordExchange(Request.address(),
                         {Request.instance(), Request.availability_zone(),
                          Request.table_version(), Request.draining()},
                         Now);
  }
  if (Request.has_changed_table())
    (void)offerTable(Request.changed_table(), Now);
  for (const record::GroupRecord &Record : Request.changed_groups())
    takeGroup(Record);
  takeEvidence(Request.evidence());

  peer::ExchangeReply Reply;
  Reply.set_instance(Settings.Peers.Self.Name);
  Reply.set_availability_zone(Settings.Peers.Self.AvailabilityZone);
  fillVersions(Reply);
  {
    const absl::MutexLock Lock(&Mutex);
    if (Table.confirmedAt())
      Reply.set_table_confirmed_ago_ms(static_cast<std::uint64_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Now -
                                                       *Table.confirmedAt())
              .count()));
    if (Table.version() > Request.table_version())
      *Reply.mutable_table() = Table.record();
    // The sender is ahead; ask for its news soon.
    if (Table.version() < Request.table_version())
      Peers.exchangeNow(Now);
  }
  std::map<std::string_view, std::uint64_t> Theirs;
  for (const peer::GroupVersion &Version : Request.groups())
    Theirs[Version.database()] = Version.version();
  for (GroupHandle *Group : groups()) {
    record::GroupRecord Record = Group->record();
    if (Record.version() > Theirs[Record.database()])
      *Reply.add_newer_groups() = std::move(Record);
  }
  return Reply;
}

void ControlPlane::exchangeAnswered(std::string_view Address,
                                    const peer::ExchangeReply &Reply,
                                    Time SentAt, Time Now) {
  {
    const absl::MutexLock Lock(&Mutex);
    Peers.recordExchange(Address,
                         {Reply.instance(), Reply.availability_zone(),
                          Reply.table_version(), Reply.draining()},
                         Now);
  }
  if (Reply.has_table())
    (void)offerTable(Reply.table(), Now);
  for (const record::GroupRecord &Record : Reply.newer_groups())
    takeGroup(Record);
  takeEvidence(Reply.evidence());
  // The age was measured after the exchange was sent, which makes the result
  // older than the truth, never newer.
  if (Reply.has_table_confirmed_ago_ms()) {
    const std::chrono::milliseconds Ago(Reply.table_confirmed_ago_ms());
    const absl::MutexLock Lock(&Mutex);
    Table.confirm(Reply.table_version(), SentAt - Ago);
  }
}

bool ControlPlane::isWatcher(Time Now) const {
  const absl::MutexLock Lock(&Mutex);
  return ranking::rankOf(Settings.Peers.Self.Name, Peers.alive(Now),
                         WatcherRole) < Watchers;
}

std::uint64_t ControlPlane::tableVersion() const {
  const absl::MutexLock Lock(&Mutex);
  return Table.version();
}

bool ControlPlane::tableRecent(Time Now) const {
  const absl::MutexLock Lock(&Mutex);
  return Table.recent(Now);
}

std::map<std::string, GroupFigures> ControlPlane::figures() const {
  const absl::MutexLock Lock(&Mutex);
  std::map<std::string, GroupFigures> All;
  for (const auto &[Database, Group] : Groups)
    All.emplace(Database, Group->figures());
  return All;
}

admin::StatusReply ControlPlane::status(Time Now) const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  admin::StatusReply Status;
  Status.set_instance(Settings.Peers.Self.Name);
  Status.set_availability_zone(Settings.Peers.Self.AvailabilityZone);
  Status.set_draining(Draining);
  for (GroupHandle *Group : groups())
    Group->describe(*Status.add_groups());
  const absl::MutexLock Lock(&Mutex);
  Status.set_table_version(Table.version());
  Status.set_table_recent(Table.recent(Now));
  if (Table.confirmedAt())
    Status.set_table_confirmed_ago_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(Now - *Table.confirmedAt()).count()));
  Peers.describe(Status, Now);
  return Status;
}

void ControlPlane::refreshGroups(Time Now) {
  std::vector<ranking::ProxyIdentity> Alive;
  std::vector<ranking::ProxyIdentity> Witnesses;
  {
    const absl::MutexLock Lock(&Mutex);
    Alive = Peers.alive(Now);
    Witnesses = Peers.witnesses(Now);
  }
  for (GroupHandle *Group : groups()) {
    Group->proxiesChanged(Alive, Witnesses);
    const record::GroupRecord Record = Group->record();
    const absl::MutexLock Lock(&Mutex);
    Change &Latest = GroupChanges[Record.database()];
    if (Record.version() == Latest.Version)
      continue;
    Latest = {Record.version(), Now};
    Peers.exchangeNow(Now);
  }
}

} // namespace borageridge::proxy
