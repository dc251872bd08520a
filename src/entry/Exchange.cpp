#include "entry/Exchange.h"

#include "entry/Events.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using peer::Message;
using runtime::bootTime;
using runtime::Task;

// Reports of peers that are queried at each interval are at most this interval
// plus one round trip old.
constexpr Duration Interval = std::chrono::milliseconds(250);
// With n times as many peers, each is queried at every nth interval, so that
// the cost per daemon does not grow with the number of daemons.
constexpr std::size_t PeersPerInterval = 12;
constexpr Duration QueryTimeout = std::chrono::milliseconds(600);
// Reports that are older than this are used neither for the statements in
// flight nor for the choice of a peer that relays calls to the store.
constexpr Duration MaxReportAge = std::chrono::milliseconds(1000);
// Daemons whose lease has ended count as live for this time after their last
// report, because they may still hold connections, and register again soon if
// the store lost its leases.
constexpr Duration PeerLifetime = std::chrono::seconds(10);

std::size_t intervalFactor(std::size_t Peers) {
  return std::max<std::size_t>(1, Peers / PeersPerInterval);
}

std::int64_t microseconds(Duration D) {
  return std::chrono::duration_cast<std::chrono::microseconds>(D).count();
}

Message encodeRecord(const std::string &Service,
                     const cluster::GroupRecord &Record) {
  return {{"service", Service},
          {"epoch", Record.Epoch},
          {"record", cluster::encode(Record)}};
}

void applyEncodedRecord(State &S, const Message &Entry) {
  const auto Record = cluster::decodeGroup(
      Entry.value("record", ""), Entry.value("epoch", std::uint64_t(0)));
  if (Record)
    applyRecord(S, Entry.value("service", ""), Record.value());
}

Message encodeResponse(const Expected<http::Response> &Answer) {
  if (!Answer)
    return {{"failure", Answer.error().Kind == FailureKind::Unavailable
                            ? "unavailable"
                            : "unknown"}};
  return {{"status", Answer.value().Status}, {"body", Answer.value().Body}};
}

} // namespace

// With more than PeersPerInterval peers, a connection holder queries the other
// holders of its services at each interval, and the active coordinator queries
// all connection holders. Reports of other peers are not urgent.
bool Exchange::isQueriedAtEachInterval(const std::string &Name) const {
  if (S.Peers.size() <= PeersPerInterval)
    return true;
  const bool Coordinates = S.Promoter.Value == S.Settings.InstanceName;
  for (const auto &[Service, Holders] : S.Holders) {
    const auto Holds = [&, &Names = Holders](const std::string &Daemon) {
      return std::find(Names.begin(), Names.end(), Daemon) != Names.end();
    };
    if (Holds(Name) && (Coordinates || Holds(S.Settings.InstanceName)))
      return true;
  }
  return false;
}

Task<void> Exchange::run() {
  for (std::size_t Round = 0;; ++Round) {
    if (S.Peers.empty())
      addSeedPeers();
    const std::size_t Factor = intervalFactor(S.Peers.size());
    std::size_t Index = 0;
    for (const auto &[Name, Other] : S.Peers) {
      const bool IsDue = (Index + Round) % Factor == 0;
      ++Index;
      if (IsDue || Other.Unreachable || isQueriedAtEachInterval(Name))
        runtime::spawn(S.Io, queryPeer(Name));
    }
    updatePeerLoad(bootTime());
    co_await runtime::sleepFor(Interval);
  }
}

// Until the peers are known from the store, the seed addresses are queried.
// They relay the first reads of the store if the store rejects the calls of
// this daemon.
void Exchange::addSeedPeers() {
  for (const std::string &Ip : S.Settings.SeedIps) {
    if (Ip == S.Settings.Ip)
      continue;
    runtime::error_code Error;
    const auto Address = runtime::asio::ip::make_address_v4(Ip, Error);
    if (Error)
      continue;
    Peer &Other = S.Peers["seed " + Ip];
    Other.IsSeed = true;
    Other.Channel = std::make_shared<peer::PeerChannel>(
        S.Io, runtime::tcp::endpoint(Address, S.Settings.PeerPort));
  }
}

// A seed that is kept beside the peer of the daemon at its address would be
// queried twice, and its daemon and statements counted twice.
void Exchange::removeSeedPeersOnceFleetIsKnown() {
  const auto IsSeed = [](const auto &Entry) { return Entry.second.IsSeed; };
  if (!std::all_of(S.Peers.begin(), S.Peers.end(), IsSeed))
    std::erase_if(S.Peers, IsSeed);
}

Duration Exchange::slowestInterval() const {
  return Interval * static_cast<int>(intervalFactor(S.Peers.size()));
}

Task<void> Exchange::queryPeer(std::string Name) {
  const auto Queried = S.Peers.find(Name);
  if (Queried == S.Peers.end() || !Queried->second.Channel)
    co_return;
  const auto Channel = Queried->second.Channel;
  const Time RequestedAt = bootTime();
  Message Request = {{"type", "exchange"}, {"from", S.Settings.InstanceName}};
  Expected<Message> Answer =
      co_await Channel->request(std::move(Request), QueryTimeout);
  const auto Found = S.Peers.find(Name);
  if (Found == S.Peers.end() || Found->second.Channel != Channel)
    co_return;
  Peer &Other = Found->second;
  if (Answer.has_value() == Other.Unreachable) {
    Other.Unreachable = !Other.Unreachable;
    if (Other.Unreachable) {
      S.UnreachablePeers.push_back(Name);
      S.Log.write(event::PeerLost, Name, Answer.error().Detail);
    } else {
      S.Log.write(event::PeerSeen, Name);
    }
  }
  if (Answer)
    applyReport(Other, Answer.value(), RequestedAt, bootTime());
}

void Exchange::applyReport(Peer &From, const Message &Answer, Time RequestedAt,
                           Time Now) {
  PeerReport Report;
  Report.Received = Now;
  Report.ReachesStore = Answer.value("store", false);
  S.NewestConfigSeen =
      std::max(S.NewestConfigSeen, Answer.value("config", std::uint64_t(0)));
  for (const Message &Entry : Answer.value("groups", Message::array())) {
    applyEncodedRecord(S, Entry);
    const std::string Service = Entry.value("service", "");
    change::PrimaryReport &Primary = Report.Primaries[Service];
    Primary.Member = Entry.value("primary", "");
    if (Entry.contains("silent_us"))
      Primary.Seen = pool::Evidence{
          Entry.value("refused", false),
          std::chrono::microseconds(Entry.value("silent_us", 0LL))};
    const auto Pool = S.ByService.find(Service);
    if (Pool == S.ByService.end() || !Entry.contains("sample_age_us"))
      continue;
    // The age is relative to the time of the answer. Measuring it from the
    // earlier time of the request never makes the sample appear too recent.
    const Time AsOf = RequestedAt - std::chrono::microseconds(
                                        Entry.value("sample_age_us", 0LL));
    Pool->second->addSample(Entry.value("log_epoch", std::uint64_t(0)), AsOf,
                            {Entry.value("sample_term", Term(0)),
                             Entry.value("sample_index", LogIndex(0))});
  }
  const Message InFlight = Answer.value("in_flight", Message::object());
  for (const auto &[Member, Count] : InFlight.items())
    Report.InFlight[Member] = Count.get<std::uint32_t>();
  // Members at which the peer lacks connections of its share because other
  // daemons hold them.
  for (const Message &Member : Answer.value("starved", Message::array()))
    for (const auto &[Service, Pool] : S.ByService)
      Pool->stopBorrowing(Member.get<std::string>(), Now);
  From.LastReport = std::move(Report);
}

void Exchange::updatePeerLoad(Time Now) {
  removeSeedPeersOnceFleetIsKnown();
  std::map<std::string, std::uint32_t> Sum;
  std::size_t Live = 1;
  for (auto It = S.Peers.begin(); It != S.Peers.end();) {
    const Peer &Other = It->second;
    if (Other.IsSeed) {
      ++It;
      continue;
    }
    const bool Registered = S.Daemons.contains(It->first);
    if (Registered || Now - Other.LastReport.Received < PeerLifetime)
      ++Live;
    if (Now - Other.LastReport.Received < MaxReportAge)
      for (const auto &[Member, Count] : Other.LastReport.InFlight)
        Sum[Member] += Count;
    const bool Expired = !Registered && !S.Daemons.empty() &&
                         Now - Other.LastReport.Received > PeerLifetime;
    It = Expired ? S.Peers.erase(It) : std::next(It);
  }
  S.Shared.LiveDaemons = Live;
  for (const auto &[Name, Pool] : S.ByService)
    Pool->setOthersInFlight(Sum);
}

Message Exchange::report(Time Now) const {
  Message Groups = Message::array();
  Message InFlight = Message::object();
  Message Starved = Message::array();
  for (const auto &[Service, Pool] : S.ByService) {
    if (!Pool->isConnectionHolder())
      continue;
    const cluster::GroupRecord &Record = Pool->record();
    Message Entry = encodeRecord(Service, Record);
    Entry["primary"] = Record.Primary;
    if (const auto Seen = Pool->evidence(Record.Primary, Now)) {
      Entry["silent_us"] = microseconds(Seen->Elapsed);
      Entry["refused"] = Seen->Refused;
    }
    if (const auto Sample = Pool->newestSample()) {
      Entry["log_epoch"] = Pool->logEpoch();
      Entry["sample_age_us"] = microseconds(Now - Sample->AsOf);
      Entry["sample_term"] = Sample->At.EntryTerm;
      Entry["sample_index"] = Sample->At.Index;
    }
    Groups.push_back(std::move(Entry));
    for (const auto &[Member, Count] : Pool->inFlight())
      InFlight[Member] = Count;
    for (const std::string &Member : Pool->starvedMembers(Now))
      Starved.push_back(Member);
  }
  return {{"groups", std::move(Groups)},
          {"in_flight", std::move(InFlight)},
          {"starved", std::move(Starved)},
          {"config", S.StatementExecutor.catalog().Version},
          {"store", S.Store.isReachable(Now)}};
}

Task<Message> Exchange::answer(Message Request) {
  const std::string Type = Request.value("type", "");
  if (Type == "relay")
    co_return co_await relayForPeer(std::move(Request));
  if (Type == "record") {
    applyEncodedRecord(S, Request);
    co_return Message::object();
  }
  if (Type == "relinquish") {
    const std::string Service = Request.value("service", "");
    const auto Epoch = Request.value("ends", std::uint64_t(0));
    const auto Pool = S.ByService.find(Service);
    // A daemon that does not know the service has not used its primary.
    if (Pool != S.ByService.end())
      co_await Pool->second->relinquish(Epoch, DrainTimeout);
    applyEncodedRecord(S, Request);
    S.Log.write(event::UseRelinquished, Service, Epoch);
    Message Done = {{"done", true}};
    co_return Done;
  }
  co_return report(bootTime());
}

Task<Message> Exchange::relayForPeer(Message Request) {
  http::Request Call;
  Call.Method = Request.value("method", "GET");
  Call.Target = Request.value("target", "");
  Call.Body = Request.value("body", "");
  const Duration Limit =
      std::chrono::microseconds(Request.value("limit_us", 0LL));
  co_return encodeResponse(
      co_await S.Store.callDirectly(std::move(Call), Limit));
}

Task<Expected<http::Response>> Exchange::relay(http::Request Call,
                                               Duration Limit) {
  const Time Now = bootTime();
  std::shared_ptr<peer::PeerChannel> Best;
  Time Newest;
  for (const auto &[Name, Other] : S.Peers) {
    const bool Usable = Other.LastReport.ReachesStore && !Other.Unreachable &&
                        Now - Other.LastReport.Received < MaxReportAge;
    if (Usable && (!Best || Other.LastReport.Received > Newest)) {
      Best = Other.Channel;
      Newest = Other.LastReport.Received;
    }
  }
  if (!Best)
    co_return Failure{FailureKind::Unavailable, "no peer can reach the store"};
  Message Request = {{"type", "relay"},
                     {"method", Call.Method},
                     {"target", Call.Target},
                     {"body", Call.Body},
                     {"limit_us", microseconds(Limit)}};
  Expected<Message> Answer = co_await Best->request(std::move(Request), Limit);
  if (!Answer)
    co_return std::move(Answer).error();
  if (!Answer.value().contains("status"))
    co_return Failure{Answer.value().value("failure", "") == "unavailable"
                          ? FailureKind::Unavailable
                          : FailureKind::Unknown,
                      "the call to the store failed at the relaying peer"};
  http::Response Result;
  Result.Status = Answer.value().value("status", 0U);
  Result.Body = Answer.value().value("body", "");
  co_return Result;
}

Task<bool> Exchange::requestRelinquish(std::string Daemon, std::string Service,
                                       cluster::GroupRecord Newer,
                                       std::uint64_t Epoch, Duration Limit) {
  const auto Found = S.Peers.find(Daemon);
  if (Found == S.Peers.end() || !Found->second.Channel)
    co_return false;
  const auto Channel = Found->second.Channel;
  Message Request = encodeRecord(Service, Newer);
  Request["type"] = "relinquish";
  Request["ends"] = Epoch;
  const Expected<Message> Answer =
      co_await Channel->request(std::move(Request), Limit);
  co_return Answer &&Answer.value().value("done", false);
}

void Exchange::announce(const std::string &Service,
                        const cluster::GroupRecord &Newer) {
  Message Request = encodeRecord(Service, Newer);
  Request["type"] = "record";
  const auto Send = [](std::shared_ptr<peer::PeerChannel> To,
                       Message M) -> Task<void> {
    // Peers that are not reached receive the record through their watch of the
    // store.
    const Expected<Message> Ignored =
        co_await To->request(std::move(M), QueryTimeout);
    static_cast<void>(Ignored);
  };
  for (const auto &[Name, Other] : S.Peers)
    if (Other.Channel)
      runtime::spawn(S.Io, Send(Other.Channel, Request));
}

} // namespace borageridge::entry
