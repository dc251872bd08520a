#include "dispatch/testing/FakeWorld.h"

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

constexpr std::array<std::string_view, WorldStepCount> StepNames = {
    "read_sent",         "read_replied",   "write_sent",      "write_replied",
    "begin_sent",        "statement_sent", "commit_sent",     "commit_replied",
    "settle_sent",       "answered",       "sealing_swapped", "seal_sent",
    "promoting_swapped", "promote_sent",   "active_swapped",  "follow_sent"};

WorldStep sentStep(const endpoint::ConnectionRequest &Message) {
  switch (Message.step_case()) {
  case endpoint::ConnectionRequest::kBegin:
    return WorldStep::BeginSent;
  case endpoint::ConnectionRequest::kStatement:
    return WorldStep::StatementSent;
  case endpoint::ConnectionRequest::kCommit:
    return WorldStep::CommitSent;
  case endpoint::ConnectionRequest::kSettle:
    return WorldStep::SettleSent;
  default:
    return Message.batch().read_only() ? WorldStep::ReadSent
                                       : WorldStep::WriteSent;
  }
}

} // namespace

std::string_view name(WorldStep Step) {
  return StepNames[static_cast<std::size_t>(Step)];
}

FakeWorld::FakeWorld(WorldSettings WithSettings)
    : Settings(std::move(WithSettings)), Random(Settings.Seed) {
  for (const char *Name : MemberNames)
    Members.emplace_back(Name, Settings.Planted);
  Stored = {firstRecord(), 1};
  for (int P = 0; P < ProxyCount; ++P)
    startProxy(P);
  for (int M = 0; M < MemberCount; ++M)
    pull(M);
  exchangeEvidence();
  watchAgain();
}

void FakeWorld::reached(WorldStep Step, int Proxy, int Member) {
  if (OnStep)
    OnStep(Step, Proxy, Member >= 0 ? Member : std::max(currentPrimary(), 0));
}

Duration FakeWorld::delay() {
  const auto Span = static_cast<std::uint64_t>(
      (Settings.MostDelay - Settings.LeastDelay).count());
  return Settings.LeastDelay +
         Duration(static_cast<Duration::rep>(below(Span + 1)));
}

void FakeWorld::at(Time When, Task Run) {
  Events.push({When, ++Sequence, std::move(Run)});
}

void FakeWorld::after(Duration Delay, Task Run) {
  at(Now + Delay, std::move(Run));
}

void FakeWorld::runUntil(Duration SinceStart) {
  const Time End = Time() + SinceStart;
  while (!Events.empty() && Events.top().At <= End) {
    Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

bool FakeWorld::passes(int From, int To) {
  return !Cut[From][To] && !chance(LossPercent);
}

void FakeWorld::atNode(int Node, Time When, Task Run) {
  const unsigned Expected = Nodes[Node].Run;
  at(When, [this, Node, Expected, Run = std::move(Run)]() {
    if (!Nodes[Node].Up || Nodes[Node].Run != Expected)
      return;
    if (Now < Nodes[Node].PausedUntil)
      return atNode(Node, Nodes[Node].PausedUntil, Run);
    Run();
  });
}

void FakeWorld::send(int From, int To, Task Deliver) {
  if (passes(From, To))
    atNode(To, Now + delay() + Nodes[To].Slow, std::move(Deliver));
}

int FakeWorld::indexOf(std::string_view Member) const {
  for (int M = 0; M < MemberCount; ++M)
    if (Members[M].Name == Member)
      return M;
  return -1;
}

int FakeWorld::currentPrimary() const {
  for (int M = 0; M < MemberCount; ++M)
    if (Members[M].serves(Stored.Record.term()))
      return M;
  return -1;
}

std::uint64_t FakeWorld::connectionKey(int Proxy, ConnectionId Id) const {
  return Id * ProxyCount + static_cast<std::uint64_t>(Proxy);
}

// Proxies.

void FakeWorld::startProxy(int Proxy) {
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
  postTick(Proxy, Nodes[FirstProxy + Proxy].Run);
}

void FakeWorld::postTick(int Proxy, unsigned Run) {
  atNode(FirstProxy + Proxy, Now + TickInterval, [this, Proxy, Run]() {
    if (Nodes[FirstProxy + Proxy].Run != Run)
      return;
    post(Proxy, [this](GroupEngine &G, Actions &Out) { G.tick(Now, Out); });
    postTick(Proxy, Run);
  });
}

void FakeWorld::post(int Proxy,
                     const std::function<void(GroupEngine &, Actions &)> &Do) {
  ProxyState &State = Proxies[Proxy];
  if (!State.Engine)
    return;
  Actions Out;
  Do(*State.Engine, Out);
  perform(Proxy, Out);
}

void FakeWorld::atProxy(
    int Proxy, const std::function<void(GroupEngine &, Actions &)> &Input) {
  atNode(FirstProxy + Proxy, Now,
         [this, Proxy, Input]() { post(Proxy, Input); });
}

void FakeWorld::perform(int Proxy, Actions &Out) {
  for (Action &A : Out)
    std::visit([this, Proxy](auto &Work) { run(Proxy, Work); }, A);
}

void FakeWorld::run(int Proxy, OpenConnection &Work) {
  const int Member = static_cast<int>(Work.Member);
  Proxies[Proxy].Links[Work.Id] = Link{Member, false, false, Now, Now};
  if (!Nodes[Member].Up) {
    if (passes(FirstProxy + Proxy, Member))
      failConnection(Proxy, Work.Id, FailureKind::Unavailable);
    return;
  }
  endpoint::ConnectionRequest Hello;
  Hello.set_sequence(1);
  Hello.set_hello(true);
  toMember(Proxy, Work.Id, Hello, Settings.ConnectionOpening);
}

void FakeWorld::run(int Proxy, CloseConnection &Work) {
  const auto Found = Proxies[Proxy].Links.find(Work.Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  const std::uint64_t Key = connectionKey(Proxy, Work.Id);
  const int Member = Found->second.Member;
  // Requests that are on their way still arrive before the end is noticed.
  const Time Arrival = std::max(Found->second.LastToMember, Now + delay());
  if (passes(FirstProxy + Proxy, Member))
    atNode(Member, Arrival,
           [this, Key, Member]() { Members[Member].connectionEnded(Key); });
  Proxies[Proxy].Links.erase(Found);
}

void FakeWorld::run(int Proxy, SendOnConnection &Work) {
  const auto Found = Proxies[Proxy].Links.find(Work.Id);
  if (Found != Proxies[Proxy].Links.end() && !Work.Message.has_hello())
    reached(sentStep(Work.Message), Proxy, Found->second.Member);
  toMember(Proxy, Work.Id, Work.Message, Duration::zero());
}

void FakeWorld::toMember(int Proxy, ConnectionId Id,
                         const endpoint::ConnectionRequest &Message,
                         Duration Extra) {
  const auto Found = Proxies[Proxy].Links.find(Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  Link &Used = Found->second;
  const int Member = Used.Member;
  if (Used.Silent || !passes(FirstProxy + Proxy, Member))
    return;
  // A connection delivers in order.
  Used.LastToMember =
      std::max(Used.LastToMember,
               Now + delay() + Extra + Settings.Service + Nodes[Member].Slow);
  const std::uint64_t Key = connectionKey(Proxy, Id);
  atNode(Member, Used.LastToMember, [this, Proxy, Id, Key, Member, Message]() {
    const endpoint::ConnectionReply Reply =
        Members[Member].handle(Key, Message);
    statusChanged(Member);
    if (Message.has_batch())
      reached(Message.batch().read_only() ? WorldStep::ReadReplied
                                          : WorldStep::WriteReplied,
              Proxy, Member);
    if (Message.has_commit())
      reached(WorldStep::CommitReplied, Proxy, Member);
    toProxy(Proxy, Id, Reply);
  });
}

void FakeWorld::toProxy(int Proxy, ConnectionId Id,
                        const endpoint::ConnectionReply &Reply) {
  const auto Found = Proxies[Proxy].Links.find(Id);
  if (Found == Proxies[Proxy].Links.end())
    return;
  Link &Used = Found->second;
  if (Used.Silent || !passes(Used.Member, FirstProxy + Proxy))
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

void FakeWorld::failConnection(int Proxy, ConnectionId Id, FailureKind Kind) {
  atNode(FirstProxy + Proxy, Now + delay(), [this, Proxy, Id, Kind]() {
    post(Proxy, [&](GroupEngine &G, Actions &Out) {
      G.connectionFailed(Id, Failure{Kind, ""}, Now, Out);
    });
  });
}

void FakeWorld::run(int Proxy, ObserveMember &Work) {
  const int Member = static_cast<int>(Work.Member);
  Observation &Seen = Proxies[Proxy].Observations[Member];
  ++Seen.Generation;
  Seen.Alive = true;
  Seen.Silent = false;
  const std::uint64_t Generation = Seen.Generation;
  if (!Nodes[Member].Up) {
    if (passes(FirstProxy + Proxy, Member))
      failObservation(Proxy, Member, Generation, FailureKind::Unavailable);
    return;
  }
  send(FirstProxy + Proxy, Member, [this, Proxy, Member, Generation]() {
    pushStatus(Proxy, Member, Generation, 0);
  });
}

void FakeWorld::failObservation(int Proxy, int Member, std::uint64_t Generation,
                                FailureKind Kind) {
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Member, Generation, Kind]() {
           Observation &Seen = Proxies[Proxy].Observations[Member];
           if (!Seen.Alive || Seen.Generation != Generation)
             return;
           Seen.Alive = false;
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.observationFailed(static_cast<group::MemberIndex>(Member),
                                 Failure{Kind, ""}, Now, Out);
           });
         });
}

void FakeWorld::run(int Proxy, SendPing &Work) {
  ++Pings;
  const int Member = static_cast<int>(Work.Member);
  const Observation &Seen = Proxies[Proxy].Observations[Member];
  if (!Seen.Alive || Seen.Silent)
    return;
  const std::uint64_t Generation = Seen.Generation;
  send(FirstProxy + Proxy, Member,
       [this, Proxy, Member, Generation, Ping = Work.Sequence]() {
         pushStatus(Proxy, Member, Generation, Ping);
       });
}

void FakeWorld::pushStatus(int Proxy, int Member, std::uint64_t Generation,
                           std::uint64_t PingSequence) {
  endpoint::MemberStatus Status = Members[Member].status();
  Status.set_ping_sequence(PingSequence);
  const Observation &Seen = Proxies[Proxy].Observations[Member];
  if (!Seen.Alive || Seen.Silent || Seen.Generation != Generation)
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

// Pushes are gathered for a millisecond, as members do.
void FakeWorld::statusChanged(int Member) {
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

void FakeWorld::run(int Proxy, SendAnswer &Work) {
  reached(WorldStep::Answered, Proxy, -1);
  const auto Found = Proxies[Proxy].Waiting.find(Work.Request);
  if (Found == Proxies[Proxy].Waiting.end())
    return;
  ReplyCallback OnReply = Found->second;
  if (Work.Last)
    Proxies[Proxy].Waiting.erase(Found);
  after(delay(), [OnReply, Answer = Work]() { OnReply(&Answer); });
}

void FakeWorld::run(int Proxy, FailoverAction &Work) {
  std::visit([this, Proxy](auto &Step) { runFailover(Proxy, Step); },
             Work.Action);
}

// Stands for the exchanges between proxies: evidence, records, liveness.
void FakeWorld::exchangeEvidence() {
  after(ExchangeInterval, [this]() { exchangeEvidence(); });
  for (int To = 0; To < ProxyCount; ++To) {
    std::vector<failover::ProxyIdentity> Alive{{proxyName(To), zoneName(To)}};
    std::vector<failover::ProxyIdentity> All;
    for (int From = 0; From < ProxyCount; ++From) {
      All.push_back({proxyName(From), zoneName(From)});
      if (From == To || !Proxies[From].Engine ||
          Now < Nodes[FirstProxy + From].PausedUntil ||
          Cut[FirstProxy + From][FirstProxy + To])
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
