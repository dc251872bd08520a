#include "dispatch/testing/GroupSimulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(5);
constexpr Duration ExchangeInterval = milliseconds(100);
constexpr std::array<const char *, 3> MemberNames = {"a", "b", "c"};

std::string proxyName(int Proxy) { return absl::StrCat("proxy-", Proxy); }
std::string zoneName(int Proxy) { return absl::StrCat("az-", Proxy); }

record::GroupRecord firstRecord() {
  record::GroupRecord Record;
  Record.set_database("ledger-1");
  Record.set_term(1);
  Record.set_version(1);
  Record.set_phase(record::PHASE_PROMOTING);
  Record.set_primary("a");
  Record.set_attempt("init");
  record::TermStart &Start = *Record.add_history();
  Start.set_term(1);
  Start.set_primary("a");
  for (const char *Name : MemberNames) {
    record::Member &Member = *Record.add_members();
    Member.set_name(Name);
    Member.set_address(Name);
    Member.set_availability_zone(absl::StrCat("az-", Name));
  }
  return Record;
}

constexpr std::array<std::string_view, ProtocolStepCount> StepNames = {
    "read_sent",         "read_replied",   "write_sent",      "write_replied",
    "begin_sent",        "statement_sent", "commit_sent",     "commit_replied",
    "settle_sent",       "answered",       "sealing_swapped", "seal_sent",
    "promoting_swapped", "promote_sent",   "active_swapped",  "follow_sent"};

ProtocolStep sentStep(const endpoint::ConnectionRequest &Message) {
  switch (Message.step_case()) {
  case endpoint::ConnectionRequest::kBegin:
    return ProtocolStep::BeginSent;
  case endpoint::ConnectionRequest::kStatement:
    return ProtocolStep::StatementSent;
  case endpoint::ConnectionRequest::kCommit:
    return ProtocolStep::CommitSent;
  case endpoint::ConnectionRequest::kSettle:
    return ProtocolStep::SettleSent;
  default:
    return Message.batch().read_only() ? ProtocolStep::ReadSent
                                       : ProtocolStep::WriteSent;
  }
}

} // namespace

std::string_view name(ProtocolStep Step) {
  return StepNames[static_cast<std::size_t>(Step)];
}

GroupSimulation::GroupSimulation(SimulationSettings WithSettings)
    : Settings(std::move(WithSettings)), Random(Settings.Seed) {
  for (const char *Name : MemberNames)
    Members.emplace_back(Name, Settings.Bugs);
  StoredRecord = {firstRecord(), 1};
  for (int P = 0; P < ProxyCount; ++P)
    startProxy(P);
  for (int M = 0; M < MemberCount; ++M)
    pullLog(M);
  exchangeEvidence();
  repeatWatchNotifications();
}

void GroupSimulation::notifyStep(ProtocolStep Step, int Proxy, int Member) {
  if (OnStep)
    OnStep(Step, Proxy, Member >= 0 ? Member : std::max(currentPrimary(), 0));
}

Duration GroupSimulation::delay() {
  const auto Span = static_cast<std::uint64_t>(
      (Settings.MaxDelay - Settings.MinDelay).count());
  return Settings.MinDelay +
         Duration(static_cast<Duration::rep>(randomBelow(Span + 1)));
}

void GroupSimulation::at(Time When, Task Run) {
  Events.push({When, ++Sequence, std::move(Run)});
}

void GroupSimulation::after(Duration Delay, Task Run) {
  at(Now + Delay, std::move(Run));
}

void GroupSimulation::runUntil(Duration SinceStart) {
  const Time End = Time() + SinceStart;
  while (!Events.empty() && Events.top().At <= End) {
    Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

bool GroupSimulation::isDelivered(int From, int To) {
  return !LinkCut[From][To] && !randomChance(LossPercent);
}

void GroupSimulation::atNode(int Node, Time When, Task Run) {
  const unsigned Expected = Nodes[Node].Incarnation;
  at(When, [this, Node, Expected, Run = std::move(Run)]() {
    if (!Nodes[Node].Up || Nodes[Node].Incarnation != Expected)
      return;
    if (Now < Nodes[Node].PausedUntil)
      return atNode(Node, Nodes[Node].PausedUntil, Run);
    Run();
  });
}

void GroupSimulation::send(int From, int To, Task Deliver) {
  if (isDelivered(From, To))
    atNode(To, Now + delay() + Nodes[To].ExtraDelay, std::move(Deliver));
}

int GroupSimulation::indexOf(std::string_view Member) const {
  for (int M = 0; M < MemberCount; ++M)
    if (Members[M].Name == Member)
      return M;
  return -1;
}

int GroupSimulation::currentPrimary() const {
  for (int M = 0; M < MemberCount; ++M)
    if (Members[M].serves(StoredRecord.Record.term()))
      return M;
  return -1;
}

std::uint64_t GroupSimulation::connectionKey(int Proxy, ConnectionId Id) const {
  return Id * ProxyCount + static_cast<std::uint64_t>(Proxy);
}

// Proxies.

void GroupSimulation::startProxy(int Proxy) {
  ProxyState &State = Proxies[Proxy];
  EngineSettings Engine;
  Engine.Self = {proxyName(Proxy), zoneName(Proxy)};
  Engine.Seed = Random();
  Engine.FirstConnectionId = State.Generations * 1000000 + 1;
  ++State.Generations;
  State.Links.clear();
  State.Observations = {};
  State.Engine = std::make_unique<GroupEngine>(
      "ledger-1", Engine,
      [this, Proxy]() {
        return absl::StrCat(proxyName(Proxy), "-", ++Proxies[Proxy].Attempts);
      },
      Now);
  const auto Parsed = table::Table::parse(Settings.Table);
  post(Proxy, [&](GroupEngine &G, Actions &Out) {
    if (Parsed.has_value())
      G.configure(Parsed.value(), Now, Out);
  });
  postTick(Proxy, Nodes[FirstProxy + Proxy].Incarnation);
}

void GroupSimulation::postTick(int Proxy, unsigned Incarnation) {
  atNode(FirstProxy + Proxy, Now + TickInterval, [this, Proxy, Incarnation]() {
    if (Nodes[FirstProxy + Proxy].Incarnation != Incarnation)
      return;
    post(Proxy, [this](GroupEngine &G, Actions &Out) { G.tick(Now, Out); });
    postTick(Proxy, Incarnation);
  });
}

void GroupSimulation::post(
    int Proxy, const std::function<void(GroupEngine &, Actions &)> &Do) {
  ProxyState &State = Proxies[Proxy];
  if (!State.Engine)
    return;
  Actions Out;
  Do(*State.Engine, Out);
  perform(Proxy, Out);
}

void GroupSimulation::postToProxy(
    int Proxy, const std::function<void(GroupEngine &, Actions &)> &Input) {
  atNode(FirstProxy + Proxy, Now,
         [this, Proxy, Input]() { post(Proxy, Input); });
}

void GroupSimulation::perform(int Proxy, Actions &Out) {
  for (Action &A : Out)
    std::visit([this, Proxy](auto &Action) { run(Proxy, Action); }, A);
}

void GroupSimulation::run(int Proxy, OpenConnection &Action) {
  const int Member = static_cast<int>(Action.Member);
  Proxies[Proxy].Links[Action.Id] = Link{Member, false, false, Now, Now};
  if (!Nodes[Member].Up) {
    if (isDelivered(FirstProxy + Proxy, Member))
      failConnection(Proxy, Action.Id, FailureKind::Unavailable);
    return;
  }
  endpoint::ConnectionRequest Hello;
  Hello.set_sequence(1);
  Hello.set_hello(true);
  toMember(Proxy, Action.Id, Hello, Settings.ConnectionOpenTime);
}

void GroupSimulation::run(int Proxy, CloseConnection &Action) {
  const auto Found = Proxies[Proxy].Links.find(Action.Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  const std::uint64_t Key = connectionKey(Proxy, Action.Id);
  const int Member = Found->second.Member;
  // Requests in transit arrive before the end of the connection.
  const Time Arrival = std::max(Found->second.LastToMember, Now + delay());
  if (isDelivered(FirstProxy + Proxy, Member))
    atNode(Member, Arrival,
           [this, Key, Member]() { Members[Member].handleConnectionEnd(Key); });
  Proxies[Proxy].Links.erase(Found);
}

void GroupSimulation::run(int Proxy, SendOnConnection &Action) {
  const auto Found = Proxies[Proxy].Links.find(Action.Id);
  if (Found != Proxies[Proxy].Links.end() && !Action.Message.has_hello())
    notifyStep(sentStep(Action.Message), Proxy, Found->second.Member);
  toMember(Proxy, Action.Id, Action.Message, Duration::zero());
}

void GroupSimulation::toMember(int Proxy, ConnectionId Id,
                               const endpoint::ConnectionRequest &Message,
                               Duration Extra) {
  const auto Found = Proxies[Proxy].Links.find(Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  Link &Used = Found->second;
  const int Member = Used.Member;
  if (Used.Silent || !isDelivered(FirstProxy + Proxy, Member))
    return;
  // A connection delivers its messages in order.
  Used.LastToMember =
      std::max(Used.LastToMember, Now + delay() + Extra + Settings.ServiceTime +
                                      Nodes[Member].ExtraDelay);
  const std::uint64_t Key = connectionKey(Proxy, Id);
  atNode(Member, Used.LastToMember, [this, Proxy, Id, Key, Member, Message]() {
    const endpoint::ConnectionReply Reply =
        Members[Member].handle(Key, Message);
    statusChanged(Member);
    if (Message.has_batch())
      notifyStep(Message.batch().read_only() ? ProtocolStep::ReadReplied
                                             : ProtocolStep::WriteReplied,
                 Proxy, Member);
    if (Message.has_commit())
      notifyStep(ProtocolStep::CommitReplied, Proxy, Member);
    toProxy(Proxy, Id, Reply);
  });
}

void GroupSimulation::toProxy(int Proxy, ConnectionId Id,
                              const endpoint::ConnectionReply &Reply) {
  const auto Found = Proxies[Proxy].Links.find(Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  Link &Used = Found->second;
  if (Used.Silent || !isDelivered(Used.Member, FirstProxy + Proxy))
    return;
  Used.LastToProxy = std::max(Used.LastToProxy, Now + delay());
  atNode(FirstProxy + Proxy, Used.LastToProxy, [this, Proxy, Id, Reply]() {
    if (!Proxies[Proxy].Links.contains(Id))
      return;
    post(Proxy, [&](GroupEngine &G, Actions &Out) {
      G.connectionReplied(Id, Reply, Now, Out);
    });
  });
}

void GroupSimulation::failConnection(int Proxy, ConnectionId Id,
                                     FailureKind Kind) {
  atNode(FirstProxy + Proxy, Now + delay(), [this, Proxy, Id, Kind]() {
    post(Proxy, [&](GroupEngine &G, Actions &Out) {
      G.connectionFailed(Id, Failure{Kind, ""}, Now, Out);
    });
  });
}

void GroupSimulation::run(int Proxy, ObserveMember &Action) {
  const int Member = static_cast<int>(Action.Member);
  Observation &Stream = Proxies[Proxy].Observations[Member];
  ++Stream.Generation;
  Stream.Alive = true;
  Stream.Silent = false;
  const std::uint64_t Generation = Stream.Generation;
  if (!Nodes[Member].Up) {
    if (isDelivered(FirstProxy + Proxy, Member))
      failObservation(Proxy, Member, Generation, FailureKind::Unavailable);
    return;
  }
  send(FirstProxy + Proxy, Member, [this, Proxy, Member, Generation]() {
    pushStatus(Proxy, Member, Generation, 0);
  });
}

void GroupSimulation::failObservation(int Proxy, int Member,
                                      std::uint64_t Generation,
                                      FailureKind Kind) {
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Member, Generation, Kind]() {
           Observation &Stream = Proxies[Proxy].Observations[Member];
           if (!Stream.Alive || Stream.Generation != Generation)
             return;
           Stream.Alive = false;
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.observationFailed(static_cast<group::MemberIndex>(Member),
                                 Failure{Kind, ""}, Now, Out);
           });
         });
}

void GroupSimulation::run(int Proxy, SendPing &Action) {
  ++Pings;
  const int Member = static_cast<int>(Action.Member);
  const Observation &Stream = Proxies[Proxy].Observations[Member];
  if (!Stream.Alive || Stream.Silent)
    return;
  const std::uint64_t Generation = Stream.Generation;
  send(FirstProxy + Proxy, Member,
       [this, Proxy, Member, Generation, Ping = Action.Sequence]() {
         pushStatus(Proxy, Member, Generation, Ping);
       });
}

void GroupSimulation::pushStatus(int Proxy, int Member,
                                 std::uint64_t Generation,
                                 std::uint64_t PingSequence) {
  endpoint::MemberStatus Status = Members[Member].status();
  Status.set_ping_sequence(PingSequence);
  const Observation &Stream = Proxies[Proxy].Observations[Member];
  if (!Stream.Alive || Stream.Silent || Stream.Generation != Generation)
    return;
  send(Member, FirstProxy + Proxy, [this, Proxy, Member, Generation, Status]() {
    const Observation &Latest = Proxies[Proxy].Observations[Member];
    if (!Latest.Alive || Latest.Generation != Generation)
      return;
    post(Proxy, [&](GroupEngine &G, Actions &Out) {
      G.statusReceived(static_cast<group::MemberIndex>(Member), Status, Now,
                       Out);
    });
  });
}

// Combines the status changes of one millisecond into one push, as members do.
void GroupSimulation::statusChanged(int Member) {
  if (StatusPending[Member])
    return;
  StatusPending[Member] = true;
  after(milliseconds(1), [this, Member]() {
    StatusPending[Member] = false;
    if (!Nodes[Member].Up || Now < Nodes[Member].PausedUntil)
      return;
    for (int P = 0; P < ProxyCount; ++P)
      pushStatus(P, Member, Proxies[P].Observations[Member].Generation, 0);
  });
}

void GroupSimulation::run(int Proxy, SendAnswer &Action) {
  notifyStep(ProtocolStep::Answered, Proxy, -1);
  const auto Found = Proxies[Proxy].Waiting.find(Action.Request);
  if (Found == Proxies[Proxy].Waiting.end())
    return;
  ReplyCallback OnReply = Found->second;
  if (Action.Last)
    Proxies[Proxy].Waiting.erase(Found);
  after(delay(), [OnReply, Answer = Action]() { OnReply(&Answer); });
}

void GroupSimulation::run(int Proxy, FailoverAction &Action) {
  std::visit([this, Proxy](auto &Step) { runFailover(Proxy, Step); },
             Action.Action);
}

// Simulates the peer exchange: evidence, records and liveness of proxies.
void GroupSimulation::exchangeEvidence() {
  after(ExchangeInterval, [this]() { exchangeEvidence(); });
  for (int To = 0; To < ProxyCount; ++To) {
    std::vector<ranking::ProxyIdentity> Alive{{proxyName(To), zoneName(To)}};
    std::vector<ranking::ProxyIdentity> All;
    for (int From = 0; From < ProxyCount; ++From) {
      All.push_back({proxyName(From), zoneName(From)});
      if (From == To || !Proxies[From].Engine ||
          Now < Nodes[FirstProxy + From].PausedUntil ||
          LinkCut[FirstProxy + From][FirstProxy + To])
        continue;
      Alive.push_back(All.back());
      const std::vector<peer::Evidence> Evidence =
          Proxies[From].Engine->ownEvidence(Now);
      const group::GroupView &View = Proxies[From].Engine->view();
      const failover::KnownRecord Record{View.record(), View.recordRevision()};
      send(FirstProxy + From, FirstProxy + To, [this, To, Evidence, Record]() {
        post(To, [&](GroupEngine &G, Actions &Out) {
          for (const peer::Evidence &Seen : Evidence)
            G.evidenceReceived(Seen, Now);
          if (Record.Record.version() > 0)
            G.recordKnown(Record, Now, Out);
        });
      });
    }
    atNode(FirstProxy + To, Now, [this, To, Alive, All]() {
      post(To, [&](GroupEngine &G, Actions &) {
        G.proxiesChanged(Alive, Alive.size() == 1 ? All : Alive);
      });
    });
  }
}

} // namespace borageridge::dispatch::testing
