#include "entry/Exchange.h"

#include "entry/Events.h"
#include "platform/StoreApi.h"
#include "runtime/Clock.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace borageridge::entry {
namespace {

using peer::Message;
using runtime::bootTime;
using runtime::Task;

// Reports of peers that are queried at each interval are at most this interval
// plus one round trip old.
constexpr Duration Interval = std::chrono::milliseconds(250);
// In a larger fleet, only peers whose state is urgent are queried at each
// interval, and the others in turn, so that the cost of a daemon does not grow
// with the fleet. News still reach 300 daemons in about five intervals.
constexpr std::size_t MaxPeersForFullExchange = 12;
constexpr std::size_t PeersInTurnPerInterval = 3;
constexpr Duration QueryTimeout = std::chrono::milliseconds(600);
// Reports that are older than this are used neither for the statements in
// flight nor for the choice of a peer that relays calls to the store.
constexpr Duration MaxReportAge = std::chrono::milliseconds(1000);
// Daemons whose lease has ended count as live for this time after their last
// report, because they may still hold connections, and register again soon if
// the store lost its leases.
constexpr Duration PeerLifetime = std::chrono::seconds(10);
// Longer than the longest watch of the store.
constexpr Duration MaxRelayTime = std::chrono::seconds(35);

// Names in one line of the log.
constexpr std::size_t MaxLoggedPeers = 8;

std::size_t intervalFactor(std::size_t Peers) {
  return Peers <= MaxPeersForFullExchange
             ? 1
             : std::max<std::size_t>(1, Peers / PeersInTurnPerInterval);
}

peer::EncodedRecord encodeRecord(const std::string &Service,
                                 const cluster::GroupRecord &Record) {
  return {Service, Record.Epoch, cluster::encode(Record)};
}

// Daemons send an empty record for services of which they know none.
void applyEncodedRecord(State &S, const peer::EncodedRecord &Entry) {
  const auto Record =
      cluster::decodeGroup(Entry.Record, cluster::revisionOf(Entry.Epoch));
  if (Record)
    applyRecord(S, Entry.Service, Record.value());
}

} // namespace

// The state of a peer is urgent for a connection holder if the peer holds one
// of the same services, and for the active coordinator if it holds any. A peer
// that has failed, or may have, is queried to find out whether it answers.
std::set<std::string> Exchange::urgentPeers() {
  std::set<std::string> Result = std::exchange(S.PeersToCheck, {});
  const bool Coordinates = S.Promoter.Value == S.Settings.InstanceName;
  for (const auto &[Service, Holders] : S.Holders)
    if (Coordinates || std::find(Holders.begin(), Holders.end(),
                                 S.Settings.InstanceName) != Holders.end())
      Result.insert(Holders.begin(), Holders.end());
  return Result;
}

Task<void> Exchange::run() {
  for (std::size_t Round = 0;; ++Round) {
    if (S.Peers.empty())
      addSeedPeers();
    const std::size_t Factor = intervalFactor(S.Peers.size());
    const std::set<std::string> Urgent = urgentPeers();
    std::size_t Index = 0;
    for (const auto &[Name, Other] : S.Peers) {
      const bool IsDue = (Index + Round) % Factor == 0;
      ++Index;
      if (IsDue || Other.Unreachable || Urgent.contains(Name))
        runtime::spawn(S.Io, queryPeer(Name));
    }
    updatePeerLoad(bootTime());
    logLostPeers();
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

// One line for all that are lost together: the lines of a whole fleet that
// restarts would displace those of what caused it.
void Exchange::logLostPeers() {
  for (const auto &[Failure, Names] : std::exchange(LostPeers, {})) {
    const auto Listed = std::min(Names.size(), MaxLoggedPeers);
    S.Log.write(event::PeersLost, Names.size(),
                absl::StrJoin(Names.begin(),
                              std::next(Names.begin(),
                                        static_cast<std::ptrdiff_t>(Listed)),
                              ","),
                Failure);
  }
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
  Message Request = encode(peer::ExchangeRequest{S.Settings.InstanceName});
  const Expected<Message> Answer =
      co_await Channel->request(std::move(Request), QueryTimeout);
  const Expected<peer::StateReport> Report =
      Answer ? peer::decodeReport(Answer.value())
             : Expected<peer::StateReport>(Answer.error());
  const auto Found = S.Peers.find(Name);
  if (Found == S.Peers.end() || Found->second.Channel != Channel)
    co_return;
  Peer &Other = Found->second;
  if (Report.has_value() == Other.Unreachable) {
    Other.Unreachable = !Other.Unreachable;
    if (Other.Unreachable) {
      S.UnreachablePeers.push_back(Name);
      LostPeers[Report.error().Detail].insert(Name);
    } else {
      S.Log.write(event::PeerSeen, Name);
    }
  }
  if (Report)
    applyReport(Other, Report.value(), RequestedAt, bootTime());
}

void Exchange::applyReport(Peer &From, const peer::StateReport &Answer,
                           Time RequestedAt, Time Now) {
  PeerReport Report;
  Report.Received = Now;
  Report.ReachesStore = Answer.ReachesStore;
  S.NewestConfigSeen = std::max(S.NewestConfigSeen, Answer.ConfigVersion);
  // The age is relative to the time of the answer; see the sample below.
  if (Answer.ConfigAge)
    S.StatementExecutor.recency().config().confirm(
        RequestedAt - *Answer.ConfigAge, Answer.ConfigVersion);
  for (const peer::GroupReport &Group : Answer.Groups) {
    applyEncodedRecord(S, Group.Record);
    const std::string &Service = Group.Record.Service;
    change::PrimaryReport &Primary = Report.Primaries[Service];
    Primary.Member = Group.Primary;
    if (Group.PrimarySilence)
      Primary.Seen = pool::Evidence{Group.PrimarySilence->Refused,
                                    Group.PrimarySilence->Elapsed};
    const auto Pool = S.ByService.find(Service);
    if (Pool == S.ByService.end() || !Group.Sample)
      continue;
    // The age is relative to the time of the answer. Measuring it from the
    // earlier time of the request never makes the sample appear too recent.
    Pool->second->addSample(Group.Sample->LogEpoch,
                            RequestedAt - Group.Sample->Age,
                            {Group.Sample->EntryTerm, Group.Sample->Index});
  }
  Report.InFlight = Answer.InFlight;
  // Members at which the peer lacks connections of its share because other
  // daemons hold them.
  for (const std::string &Member : Answer.StarvedMembers)
    for (const auto &[Service, Pool] : S.ByService)
      Pool->stopBorrowing(Member, Now);
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
    if (Pool->isConnectionHolder())
      Pool->setOthersInFlight(Sum);
}

peer::StateReport Exchange::report(Time Now) const {
  peer::StateReport Result;
  for (const auto &[Service, Pool] : S.ByService) {
    if (!Pool->isConnectionHolder())
      continue;
    const cluster::GroupRecord &Record = Pool->record();
    peer::GroupReport Group;
    Group.Record = encodeRecord(Service, Record);
    Group.Primary = Record.Primary;
    if (const auto Seen = Pool->evidence(Record.Primary, Now))
      Group.PrimarySilence = peer::Silence{Seen->Elapsed, Seen->Refused};
    if (const auto Sample = Pool->newestSample())
      Group.Sample =
          peer::PositionSample{Pool->logEpoch(), Now - Sample->AsOf,
                               Sample->At.EntryTerm, Sample->At.Index};
    Result.Groups.push_back(std::move(Group));
    for (const auto &[Member, Count] : Pool->inFlight())
      Result.InFlight[Member] = Count;
    for (const std::string &Member : Pool->starvedMembers(Now))
      Result.StarvedMembers.push_back(Member);
  }
  Result.ConfigVersion = S.StatementExecutor.catalog().Version;
  const authority::Recency &Recency = S.StatementExecutor.recency();
  if (S.StatementExecutor.catalog().HasOrganisations && Recency.hasLimit())
    Result.ConfigAge = Recency.config().age(Now);
  Result.ReachesStore = S.Store.isReachable(Now);
  return Result;
}

Task<Expected<Message>> Exchange::answer(Message Content) {
  Expected<peer::Request> Request = peer::decodeRequest(Content);
  if (!Request)
    co_return std::move(Request).error();
  if (auto *Relayed = std::get_if<peer::RelayRequest>(&Request.value()))
    co_return co_await relayForPeer(std::move(*Relayed));
  if (const auto *Notice = std::get_if<peer::RecordNotice>(&Request.value())) {
    applyEncodedRecord(S, Notice->Newer);
    co_return Message::object();
  }
  if (const auto *Wanted =
          std::get_if<peer::RelinquishRequest>(&Request.value()))
    co_return co_await relinquishForPeer(*Wanted);
  if (const auto *Asked = std::get_if<peer::QuotaRequest>(&Request.value()))
    co_return encode(AnswerQuota ? AnswerQuota(*Asked) : peer::QuotaReply());
  co_return encode(report(bootTime()));
}

Task<Message> Exchange::relinquishForPeer(peer::RelinquishRequest Wanted) {
  const std::string &Service = Wanted.Newer.Service;
  const auto Pool = S.ByService.find(Service);
  // A daemon that does not know the service has not used its primary.
  if (Pool != S.ByService.end())
    co_await Pool->second->relinquish(Wanted.EndsEpoch, DrainTimeout);
  applyEncodedRecord(S, Wanted.Newer);
  S.Log.write(event::UseRelinquished, Service, Wanted.EndsEpoch);
  co_return peer::encodeRelinquished();
}

Task<Message> Exchange::relayForPeer(peer::RelayRequest Request) {
  http::Request Call;
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Body = std::move(Request.Body);
  Expected<http::Response> Answer = co_await S.Store.callDirectly(
      std::move(Call), std::min(Request.Limit, MaxRelayTime));
  peer::RelayReply Reply;
  if (Answer) {
    Reply.Status = Answer.value().Status;
    Reply.StoreEra = platform::storeEra(Answer.value());
    Reply.Body = std::move(Answer.value().Body);
  } else {
    Reply.NotExecuted = Answer.error().Kind == FailureKind::Unavailable;
  }
  co_return encode(Reply);
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
  Message Request =
      encode(peer::RelayRequest{Call.Method, Call.Target, Call.Body, Limit});
  const Expected<Message> Answer =
      co_await Best->request(std::move(Request), Limit);
  if (!Answer)
    co_return Answer.error();
  Expected<peer::RelayReply> Reply = peer::decodeRelayReply(Answer.value());
  // An undecodable reply does not tell whether the store executed the request.
  if (!Reply)
    co_return Failure{FailureKind::Unknown, Reply.error().Detail};
  if (!Reply.value().Status)
    co_return Failure{Reply.value().NotExecuted ? FailureKind::Unavailable
                                                : FailureKind::Unknown,
                      "the call to the store failed at the relaying peer"};
  http::Response Result;
  Result.Status = *Reply.value().Status;
  Result.Body = std::move(Reply.value().Body);
  if (Reply.value().StoreEra != 0)
    platform::setStoreEra(Result, Reply.value().StoreEra);
  co_return Result;
}

Task<bool> Exchange::requestRelinquish(std::string Daemon, std::string Service,
                                       cluster::GroupRecord Newer,
                                       std::uint64_t Epoch, Duration Limit) {
  const auto Found = S.Peers.find(Daemon);
  if (Found == S.Peers.end() || !Found->second.Channel)
    co_return false;
  const auto Channel = Found->second.Channel;
  Message Request =
      encode(peer::RelinquishRequest{encodeRecord(Service, Newer), Epoch});
  const Expected<Message> Answer =
      co_await Channel->request(std::move(Request), Limit);
  co_return Answer &&peer::decodeRelinquished(Answer.value());
}

void Exchange::announce(const std::string &Service,
                        const cluster::GroupRecord &Newer) {
  const Message Request =
      encode(peer::RecordNotice{encodeRecord(Service, Newer)});
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
