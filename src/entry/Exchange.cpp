#include "entry/Exchange.h"

#include "entry/Events.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using peer::Message;
using runtime::bootTime;
using runtime::Task;

// Evidence and load are at most this old, and the answer one round trip more.
constexpr Duration Interval = std::chrono::milliseconds(250);
// In larger fleets each peer is asked less often, so that the cost of a daemon
// does not grow with the fleet.
constexpr std::size_t FullRatePeers = 12;
constexpr Duration AskLimit = std::chrono::milliseconds(600);
// Load that was told longer ago says nothing.
constexpr Duration LoadLifetime = std::chrono::milliseconds(1000);
// Daemons whose lease ended may still hold connections, and are back soon if
// the store lost its leases.
constexpr Duration PeerLifetime = std::chrono::seconds(10);

std::size_t slowdown(std::size_t Peers) {
  return std::max<std::size_t>(1, Peers / FullRatePeers);
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

void followRecord(State &S, const Message &Entry) {
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

// Daemons that hold connections of the same service, and the holder of the duty
// with all that hold any, need each other's news soon; the others rarely.
bool Exchange::isClose(const std::string &Name) const {
  if (S.Peers.size() <= FullRatePeers)
    return true;
  const bool Coordinates = S.Promoter.Value == S.Settings.InstanceName;
  for (const auto &[Service, Chosen] : S.Holders) {
    const auto Holds = [&, &Names = Chosen](const std::string &Who) {
      return std::find(Names.begin(), Names.end(), Who) != Names.end();
    };
    if (Holds(Name) && (Coordinates || Holds(S.Settings.InstanceName)))
      return true;
  }
  return false;
}

Task<void> Exchange::run() {
  for (std::size_t Round = 0;; ++Round) {
    if (S.Peers.empty())
      findSeeds();
    const std::size_t Slowdown = slowdown(S.Peers.size());
    std::size_t Index = 0;
    for (const auto &[Name, Other] : S.Peers) {
      const bool Turn = (Index + Round) % Slowdown == 0;
      ++Index;
      if (Turn || Other.Lost || isClose(Name))
        runtime::spawn(S.Io, askPeer(Name));
    }
    shareLoad(bootTime());
    co_await runtime::sleepFor(Interval);
  }
}

// Before the store has told who the peers are, the seeds are asked; they relay
// the first reads if the store refuses this daemon.
void Exchange::findSeeds() {
  for (const std::string &Ip : S.Settings.SeedIps) {
    if (Ip == S.Settings.Ip)
      continue;
    runtime::error_code Error;
    const auto Address = runtime::asio::ip::make_address_v4(Ip, Error);
    if (Error)
      continue;
    Peer &Other = S.Peers["seed " + Ip];
    Other.Channel = std::make_shared<peer::PeerChannel>(
        S.Io, runtime::tcp::endpoint(Address, S.Settings.PeerPort));
  }
}

Duration Exchange::slowestInterval() const {
  return Interval * static_cast<int>(slowdown(S.Peers.size()));
}

Task<void> Exchange::askPeer(std::string Name) {
  const auto Channel = S.Peers[Name].Channel;
  if (!Channel)
    co_return;
  const Time AskedAt = bootTime();
  Message Request = {{"type", "exchange"}, {"from", S.Settings.InstanceName}};
  Expected<Message> Answer =
      co_await Channel->request(std::move(Request), AskLimit);
  const auto Found = S.Peers.find(Name);
  if (Found == S.Peers.end() || Found->second.Channel != Channel)
    co_return;
  Peer &Other = Found->second;
  if (Answer.has_value() == Other.Lost) {
    Other.Lost = !Other.Lost;
    if (Other.Lost) {
      S.LostPeers.push_back(Name);
      S.Log.write(event::PeerLost, Name, Answer.error().Detail);
    } else {
      S.Log.write(event::PeerSeen, Name);
    }
  }
  if (Answer)
    learn(Other, Answer.value(), AskedAt, bootTime());
}

void Exchange::learn(Peer &From, const Message &News, Time AskedAt, Time Now) {
  PeerReport Report;
  Report.Received = Now;
  Report.ReachesStore = News.value("store", false);
  S.NewestConfigSeen =
      std::max(S.NewestConfigSeen, News.value("config", std::uint64_t(0)));
  for (const Message &Entry : News.value("groups", Message::array())) {
    followRecord(S, Entry);
    const std::string Service = Entry.value("service", "");
    change::PrimaryReport &About = Report.About[Service];
    About.Member = Entry.value("primary", "");
    if (Entry.contains("silent_us"))
      About.Seen = pool::Evidence{
          Entry.value("refused", false),
          std::chrono::microseconds(Entry.value("silent_us", 0LL))};
    const auto Pool = S.ByService.find(Service);
    if (Pool == S.ByService.end() || !Entry.contains("sample_age_us"))
      continue;
    // The peer took the sample this long before it answered, and it answered
    // after it was asked.
    const Time AsOf =
        AskedAt - std::chrono::microseconds(Entry.value("sample_age_us", 0LL));
    Pool->second->addSample(Entry.value("log_epoch", std::uint64_t(0)), AsOf,
                            {Entry.value("sample_term", Term(0)),
                             Entry.value("sample_index", LogIndex(0))});
  }
  const Message InFlight = News.value("in_flight", Message::object());
  for (const auto &[Member, Count] : InFlight.items())
    Report.InFlight[Member] = Count.get<std::uint32_t>();
  for (const Message &Member : News.value("starved", Message::array()))
    for (const auto &[Service, Pool] : S.ByService)
      Pool->stopBorrowing(Member.get<std::string>(), Now);
  From.Last = std::move(Report);
}

void Exchange::shareLoad(Time Now) {
  std::map<std::string, std::uint32_t> Sum;
  std::size_t Live = 1;
  for (auto It = S.Peers.begin(); It != S.Peers.end();) {
    const Peer &Other = It->second;
    const bool Registered = S.Daemons.contains(It->first);
    if (Registered || Now - Other.Last.Received < PeerLifetime)
      ++Live;
    if (Now - Other.Last.Received < LoadLifetime)
      for (const auto &[Member, Count] : Other.Last.InFlight)
        Sum[Member] += Count;
    const bool Forget = !Registered && !S.Daemons.empty() &&
                        Now - Other.Last.Received > PeerLifetime;
    It = Forget ? S.Peers.erase(It) : std::next(It);
  }
  S.Shared.LiveDaemons = Live;
  for (const auto &[Name, Pool] : S.ByService)
    Pool->setOthersInFlight(Sum);
}

Message Exchange::news(Time Now) const {
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
          {"config", S.Runner.catalog().Version},
          {"store", S.Store.isReachable(Now)}};
}

Task<Message> Exchange::answer(Message Request) {
  const std::string Type = Request.value("type", "");
  if (Type == "relay")
    co_return co_await relayForPeer(std::move(Request));
  if (Type == "record") {
    followRecord(S, Request);
    co_return Message::object();
  }
  if (Type == "relinquish") {
    const std::string Service = Request.value("service", "");
    const auto Epoch = Request.value("ends", std::uint64_t(0));
    const auto Pool = S.ByService.find(Service);
    // A daemon that does not know the service does not use its primary.
    if (Pool != S.ByService.end())
      co_await Pool->second->relinquish(Epoch, DrainLimit);
    followRecord(S, Request);
    S.Log.write(event::UseRelinquished, Service, Epoch);
    Message Done = {{"done", true}};
    co_return Done;
  }
  co_return news(bootTime());
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
    const bool Usable = Other.Last.ReachesStore && !Other.Lost &&
                        Now - Other.Last.Received < LoadLifetime;
    if (Usable && (!Best || Other.Last.Received > Newest)) {
      Best = Other.Channel;
      Newest = Other.Last.Received;
    }
  }
  if (!Best)
    co_return Failure{FailureKind::Unavailable, "no peer reaches the store"};
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
                      "peer could not call the store"};
  http::Response Result;
  Result.Status = Answer.value().value("status", 0U);
  Result.Body = Answer.value().value("body", "");
  co_return Result;
}

Task<bool> Exchange::askToRelinquish(std::string Daemon, std::string Service,
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
  const auto Tell = [](std::shared_ptr<peer::PeerChannel> To,
                       Message M) -> Task<void> {
    // The watch brings the record to peers that are not reached.
    const Expected<Message> Ignored =
        co_await To->request(std::move(M), AskLimit);
    static_cast<void>(Ignored);
  };
  for (const auto &[Name, Other] : S.Peers)
    if (Other.Channel)
      runtime::spawn(S.Io, Tell(Other.Channel, Request));
}

} // namespace borageridge::entry
