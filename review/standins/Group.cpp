#include "Group.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds ReplicationInterval(2);
constexpr Milliseconds SessionLimit(600000);
// An old primary follows the new one after a second.
constexpr Milliseconds FollowTime(1000);

std::string takeWord(std::string &Text) {
  const std::size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text.erase(0, Blank == std::string::npos ? Blank : Blank + 1);
  return Word;
}

std::string error(const std::string &Code, const std::string &Detail) {
  return "ERROR " + Code + " " + Detail + "\r\n";
}

} // namespace

Group::Group(Settings Wanted, Store &Entries, Record &Output)
    : Given(std::move(Wanted)), Registry(Entries), Log(Output) {
  Born = std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  for (std::size_t I = 0; I < Given.Members; ++I) {
    auto Self = std::make_unique<Member>();
    Self->Id = "i-" + Given.Service + std::to_string(I + 1);
    Self->Zone = Given.ZoneEach ? "zone-" + std::to_string(I + 1) : Given.Zone;
    Self->Leads = I == 0;
    Members.push_back(std::move(Self));
  }
  for (std::size_t I = 0; I < Given.Members; ++I)
    Members[I]->Port = listenOn(Given.Ip, 0, [this, I](Socket Accepted) {
      serve(I, std::move(Accepted));
    });
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(ReplicationInterval);
      replicate();
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      {
        const std::lock_guard Guard(Lock);
        for (const auto &Self : Members)
          report(*Self);
      }
      std::this_thread::sleep_for(Given.HeartbeatInterval);
    }
  }).detach();
}

std::size_t Group::primary() {
  const std::lock_guard Guard(Lock);
  const Member *Leading = leader();
  for (std::size_t I = 0; I < Members.size(); ++I)
    if (Members[I].get() == Leading)
      return I;
  return 0;
}

void Group::setDeaf(std::size_t Index, bool Deaf) {
  const std::lock_guard Guard(Lock);
  Members[Index]->Deaf = Deaf;
  Log.write("replica " + Members[Index]->Id +
            (Deaf ? " receives nothing" : " receives again"));
}

void Group::announceDraining(std::size_t Index) {
  const std::lock_guard Guard(Lock);
  Members[Index]->Draining = true;
  report(*Members[Index]);
  Log.write("member " + Members[Index]->Id + " announced that it is draining");
}

std::size_t Group::logSize(std::size_t Index) {
  const std::lock_guard Guard(Lock);
  return Members[Index]->Log.size();
}

// The member of the highest term that leads.
Group::Member *Group::leader() {
  Member *Result = nullptr;
  for (const auto &Self : Members)
    if (Self->Leads && (Result == nullptr || Self->Term > Result->Term))
      Result = Self.get();
  return Result;
}

std::set<std::string> Group::writesIn(const Member &Self) {
  std::set<std::string> Result;
  for (const Entry &E : Self.Log)
    Result.insert(E.Statement);
  return Result;
}

void Group::replicate() {
  const std::lock_guard Guard(Lock);
  const Member *From = leader();
  if (From == nullptr)
    return;
  const Clock::time_point Now = Clock::now();
  for (const auto &To : Members) {
    if (To.get() == From || To->Leads || To->Deaf)
      continue;
    To->Term = From->Term;
    const std::size_t Common = std::min(To->Log.size(), From->Log.size());
    const auto Differs =
        std::mismatch(To->Log.begin(),
                      To->Log.begin() + static_cast<std::ptrdiff_t>(Common),
                      From->Log.begin())
            .first;
    To->Log.erase(Differs, To->Log.end());
    while (To->Log.size() < From->Log.size() &&
           Now - From->Log[To->Log.size()].At >= Given.Lag)
      To->Log.push_back(From->Log[To->Log.size()]);
  }
  Replicated.notify_all();
}

void Group::report(Member &Self) {
  const Json Entry = {{"backend", Given.Service},
                      {"address", Given.Ip + ":" + std::to_string(Self.Port)},
                      {"zone", Self.Zone},
                      {"version", "v1"},
                      {"capacity", Given.Slots},
                      {"state", Self.Draining ? "draining" : "ready"},
                      {"warmup_left_ms", 0},
                      {"db_role", Self.Leads ? "primary" : "replica"},
                      {"born", Born},
                      {"sequence", ++Self.Sequence}};
  Registry.put("servers/" + Self.Id, Entry.dump());
}

void Group::servePromotions(Socket Connection) {
  while (const auto Request = readRequest(Connection))
    if (!sendResponse(Connection, callPromotion(*Request), "{}"))
      return;
}

int Group::callPromotion(const HttpRequest &Request) {
  const Json Body = Json::parse(Request.Body, nullptr, false);
  const std::string Wanted = Body.value("id", "");
  Log.write("promote " + Wanted + " called by " + Request.Holder +
            " with token " + Request.Token);
  const bool Known =
      std::any_of(Members.begin(), Members.end(),
                  [&](const auto &Self) { return Self->Id == Wanted; });
  if (!Known)
    return 409;
  std::thread([this, Wanted] {
    std::this_thread::sleep_for(Given.PromoteTime);
    promote(Wanted);
  }).detach();
  OnPromotionCall(Request.Holder);
  return 200;
}

void Group::promote(const std::string &Id) {
  const std::lock_guard Guard(Lock);
  Member *Old = leader();
  std::uint64_t Highest = 0;
  Member *New = nullptr;
  for (const auto &Self : Members) {
    Highest = std::max(Highest, Self->Term);
    if (Self->Id == Id)
      New = Self.get();
  }
  if (New == nullptr || New->Leads)
    return;
  New->Leads = true;
  New->Term = Highest + 1;
  Log.write("promote of " + Id + " took effect in term " +
            std::to_string(New->Term) + " with a log of " +
            std::to_string(New->Log.size()) + " commits" +
            (Old == nullptr ? ""
                            : "; the old primary " + Old->Id + " has " +
                                  std::to_string(Old->Log.size())));
  OnPromotion(Id, writesIn(*New));
  report(*New);
  if (Old != nullptr)
    std::thread([this, Old] {
      std::this_thread::sleep_for(FollowTime);
      const std::lock_guard Inner(Lock);
      Old->Leads = leader() == Old;
      report(*Old);
    }).detach();
}

void Group::serve(std::size_t Index, Socket Connection) {
  Member &Self = *Members[Index];
  auto First = Connection.readLine(SessionLimit);
  if (!First)
    return;
  std::string Rest = *First;
  const bool IsStart = takeWord(Rest) == "START";
  const std::string Service = takeWord(Rest);
  const std::string Who = takeWord(Rest);
  const bool IsNear = Who.ends_with(Self.Zone);
  Session Open;
  std::string Greeting;
  {
    const std::lock_guard Guard(Lock);
    if (!IsStart || Service != Given.Service ||
        (!Rest.empty() && Rest != Self.Id))
      Greeting = error("MISROUTED", Self.Id);
    else if (Self.Connections >= Given.MaxConnections)
      Greeting = error("TOOMANY", Self.Id);
    else
      Greeting = ready(Self, Open);
    if (Greeting.starts_with("READY"))
      ++Self.Connections;
  }
  if (!Connection.send(Greeting) || !Greeting.starts_with("READY"))
    return;
  while (const auto Line = Connection.readLine(SessionLimit)) {
    std::this_thread::sleep_for(IsNear ? Given.NearRoundTrip
                                       : Given.FarRoundTrip);
    const std::optional<std::string> Answer = execute(Self, Open, *Line);
    if (!Answer || !Connection.send(*Answer))
      break;
  }
  const std::lock_guard Guard(Lock);
  --Self.Connections;
}

std::optional<std::string> Group::execute(Member &Self, Session &Open,
                                          const std::string &Line) {
  std::string Rest = Line;
  if (takeWord(Rest) != "QUERY")
    return std::nullopt;
  const std::string Id = takeWord(Rest);
  std::unique_lock Guard(Lock);
  return run(Self, Open, Id, Rest, Guard);
}

std::string Group::position(const Member &Self) const {
  return Self.Log.empty() ? std::to_string(Self.Term) + ".0"
                          : std::to_string(Self.Log.back().Term) + "." +
                                std::to_string(Self.Log.size());
}

std::string Group::ready(const Member &Self, const Session &Open) const {
  return std::string("READY ") + (Open.InTransaction ? "T " : "I ") +
         position(Self) + "\r\n";
}

std::string Group::complete(const Member &Self, const Session &Open,
                            const std::string &Rows) {
  return Rows + "COMPLETE 7." + std::to_string(++Signatures) + "\r\n" +
         ready(Self, Open);
}

std::string Group::status(const Member &Self) const {
  const std::string Term = std::to_string(Self.Term);
  return std::string("ROW ") + (Self.Leads ? "primary " : "replica ") + Term +
         " " + position(Self) + " 0 0 0 " + std::to_string(Self.Connections) +
         "\r\n";
}

bool Group::isReplicated(const Member &From, std::size_t Size) const {
  const auto Holds = [&](const auto &Other) {
    return Other.get() != &From && Other->Log.size() >= Size &&
           Other->Log[Size - 1] == From.Log[Size - 1];
  };
  return static_cast<std::size_t>(std::count_if(Members.begin(), Members.end(),
                                                Holds)) >= Given.SyncReplicas;
}

// Returns false if the member lost the lead before enough replicas received
// the commit.
bool Group::commit(Member &Self, const std::vector<std::string> &Writes,
                   std::unique_lock<std::mutex> &Guard) {
  if (Writes.empty())
    return true;
  const std::uint64_t Term = Self.Term;
  for (const std::string &Statement : Writes) {
    Self.Log.push_back({Term, Statement, Clock::now()});
    Log.write("member " + Self.Id + " runs write " + Statement);
    if (leader() != &Self)
      OnOldPrimaryCommit(Self.Id, Statement);
  }
  const std::size_t Size = Self.Log.size();
  Replicated.wait(Guard, [&] {
    return !Self.Leads || Self.Term != Term || isReplicated(Self, Size);
  });
  return Self.Leads && Self.Term == Term;
}

void Group::work(Member &Self, std::unique_lock<std::mutex> &Guard) {
  if (Given.Work == Milliseconds(0))
    return;
  SlotFree.wait(Guard, [&] { return Self.Working < Given.Slots; });
  ++Self.Working;
  Guard.unlock();
  std::this_thread::sleep_for(Given.Work);
  Guard.lock();
  --Self.Working;
  SlotFree.notify_all();
}

std::optional<std::string> Group::run(Member &Self, Session &Open,
                                      const std::string &Id,
                                      const std::string &Text,
                                      std::unique_lock<std::mutex> &Guard) {
  std::string Rest = Text;
  std::string Verb = takeWord(Rest);
  if (Verb == "AFTER") {
    std::string Position = takeWord(Rest);
    const std::size_t Number =
        std::stoul(Position.substr(Position.find('.') + 1));
    if (Self.Log.size() < Number)
      return error("LAGGING", Self.Id) + ready(Self, Open);
    Verb = takeWord(Rest);
  }
  if (Verb == "RESET")
    return "COMPLETE -\r\n" + ready(Self, Open);
  if (Verb == "STATUS")
    return status(Self) + "COMPLETE -\r\n" + ready(Self, Open);
  if (Verb == "STEPDOWN") {
    Log.write("member " + Self.Id + " is told to step down");
    if (Self.Term < std::stoul(Rest) && Self.Leads) {
      Self.Leads = false;
      report(Self);
      Replicated.notify_all();
    }
    return status(Self) + "COMPLETE -\r\n" + ready(Self, Open);
  }
  if (Verb == "READ") {
    Log.write("member " + Self.Id + " runs read " + Id);
    OnRead(Self.Id, Id, writesIn(Self));
    work(Self, Guard);
    return complete(Self, Open);
  }
  if (Verb == "BEGIN") {
    if (!Self.Leads && Rest.empty())
      return error("READONLY", Self.Id) + ready(Self, Open);
    Open = {true, {}};
    return complete(Self, Open);
  }
  if (Verb == "ROLLBACK") {
    Open = {};
    return complete(Self, Open);
  }
  if (Verb == "WRITE") {
    if (!Self.Leads)
      return error("READONLY", Self.Id) + ready(Self, Open);
    if (!Open.InTransaction && !commit(Self, {Id}, Guard))
      return std::nullopt;
    if (Open.InTransaction)
      Open.Writes.push_back(Id);
    return complete(Self, Open);
  }
  if (Verb == "COMMIT") {
    const std::vector<std::string> Writes = Open.Writes;
    Open = {};
    if (!Self.Leads && !Writes.empty())
      return error("READONLY", Self.Id) + ready(Self, Open);
    if (!commit(Self, Writes, Guard))
      return std::nullopt;
    return complete(Self, Open);
  }
  return error("MALFORMED", Self.Id) + ready(Self, Open);
}

} // namespace review
