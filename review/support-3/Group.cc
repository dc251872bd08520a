#include "Group.hh"

#include <algorithm>
#include <sstream>

namespace review3 {
namespace {

std::string word(std::string &Rest) {
  const auto Blank = Rest.find(' ');
  std::string Result = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Result;
}

std::pair<std::uint64_t, std::uint64_t> parse(const std::string &Position) {
  const auto Dot = Position.find('.');
  return {std::stoull(Position.substr(0, Dot)),
          std::stoull(Position.substr(Dot + 1))};
}

std::string error(const std::string &Code, const std::string &Text) {
  return "ERROR " + Code + " " + Text + "\r\n";
}

} // namespace

Group::Group(Options Wanted, Store &Entries, Record &Output)
    : Given(std::move(Wanted)), Registry(Entries), Log(Output) {
  const auto Now = std::chrono::duration_cast<Ms>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  for (int I = 0; I < Given.Members; ++I) {
    auto M = std::make_unique<Member>();
    M->Index = I;
    M->Id = "i-" + Given.Service + "-" + std::to_string(I + 1);
    M->Primary = I == 0;
    M->Born = Now;
    M->Log.push_back({3, 1, {}, {}});
    Member *At = M.get();
    const int Port = listenOn(Given.Ip, [this, At](std::shared_ptr<Conn> From) {
      Member *Next = At->Next;
      serve(Next == nullptr ? *At : *Next, From);
    });
    M->Address = Given.Ip + ":" + std::to_string(Port);
    States.push_back(std::move(M));
  }
  if (Given.HasSpare) {
    auto M = std::make_unique<Member>();
    M->Index = Given.Members;
    M->Id = "i-" + Given.Service + "-" + std::to_string(M->Index + 1);
    M->Ended = true;
    M->Log.push_back({3, 1, {}, {}});
    States.push_back(std::move(M));
  }
  for (const auto &M : States) {
    Member *At = M.get();
    std::thread([this, At] {
      for (;;) {
        beat(*At);
        pause(Given.HeartbeatMs);
      }
    }).detach();
  }
  std::thread([this] { replicate(); }).detach();
  std::thread([this] { removeSilent(); }).detach();
}

// The platform removes the entry of a member that has been silent for three
// heartbeats.
void Group::removeSilent() {
  for (;;) {
    pause(100);
    for (const auto &M : States) {
      if (!M->Dark && !M->Ended)
        M->SilentSince = Clock::now();
      const std::string Key = "servers/" + M->Id;
      if (Clock::now() - M->SilentSince > 3 * Ms(Given.HeartbeatMs) &&
          Registry.find(Key)) {
        Log.write("entry removed: " + M->Id);
        Registry.remove(Key);
      }
    }
  }
}

void Group::beat(Member &M) {
  json Body;
  {
    const std::lock_guard Guard(Lock);
    if (M.Dark || M.Ended)
      return;
    Body = {{"backend", Given.Service},
            {"address", M.Address},
            {"zone", "z-a"},
            {"version", "v1"},
            {"capacity", Given.Slots},
            {"state", M.Leaving ? "draining" : "ready"},
            {"warmup_left_ms", 0},
            {"db_role", M.Primary ? "primary" : "replica"},
            {"sequence", ++M.Sequence},
            {"born", M.Born}};
  }
  Registry.put("servers/" + M.Id, Body.dump());
}

int Group::primary() {
  const std::lock_guard Guard(Lock);
  int Best = 0;
  for (const auto &M : States)
    if (M->Primary && M->Term >= States[Best]->Term)
      Best = M->Index;
  return Best;
}

void Group::setLeaving(int Index, bool Leaving) {
  {
    const std::lock_guard Guard(Lock);
    States[Index]->Leaving = Leaving;
  }
  beat(*States[Index]);
}

void Group::setDeaf(int Index, bool Deaf) {
  const std::lock_guard Guard(Lock);
  States[Index]->Deaf = Deaf;
}

void Group::exit(int Index) {
  States[Index]->Ended = true;
  Registry.remove("servers/" + States[Index]->Id);
}

void Group::crash(int Index) {
  const std::lock_guard Guard(Lock);
  States[Index]->Ended = true;
  for (const auto &Weak : States[Index]->Links)
    if (const auto Link = Weak.lock())
      Link->shut();
  Changed.notify_all();
}

void Group::comeBack(int Index) {
  Member &Old = *States[Index];
  Member &New = *States.back();
  {
    const std::lock_guard Guard(Lock);
    New.Address = Old.Address;
    New.Log = Old.Log;
    New.Term = Old.Term;
    New.Primary = Old.Primary;
    for (const auto &Other : States)
      if (Other->Term > New.Term)
        New.Primary = false;
    New.Born = std::chrono::duration_cast<Ms>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    New.Ended = false;
    Old.Next = &New;
  }
  beat(New);
}

std::vector<std::string> Group::supersededCommits() {
  const std::lock_guard Guard(Lock);
  return Superseded;
}

int Group::memberOf(const std::string &Id) const {
  for (const auto &M : States)
    if (M->Id == Id)
      return M->Index;
  return -1;
}

void Group::setDark(int Index, bool Dark) { States[Index]->Dark = Dark; }

std::vector<Entry> Group::log(int Index) {
  const std::lock_guard Guard(Lock);
  return States[Index]->Log;
}

std::string Group::position(int Index) {
  const std::lock_guard Guard(Lock);
  return positionOf(States[Index]->Log);
}

std::string Group::positionOf(const std::vector<Entry> &Of) {
  return std::to_string(Of.back().Term) + "." +
         std::to_string(Of.back().Number);
}

bool Group::holds(const std::vector<Entry> &Of, const std::string &Position) {
  return std::pair(Of.back().Term, Of.back().Number) >= parse(Position);
}

// Each replica that can be reached receives what the leader of the newest term
// has committed.
void Group::replicate() {
  for (;;) {
    pause(Given.ReplicationMs);
    const std::lock_guard Guard(Lock);
    Member *Leader = nullptr;
    for (const auto &M : States)
      if (M->Primary && !M->Dark && !M->Ended &&
          (!Leader || M->Term > Leader->Term))
        Leader = M.get();
    if (Leader == nullptr)
      continue;
    for (const auto &M : States) {
      if (M.get() == Leader || M->Deaf || M->Dark || M->Ended || M->Primary)
        continue;
      M->Term = Leader->Term;
      std::size_t Common = 0;
      while (Common < M->Log.size() && Common < Leader->Log.size() &&
             M->Log[Common].Term == Leader->Log[Common].Term &&
             M->Log[Common].Number == Leader->Log[Common].Number)
        ++Common;
      M->Log.resize(Common);
      M->Log.insert(M->Log.end(), Leader->Log.begin() + std::ptrdiff_t(Common),
                    Leader->Log.end());
    }
    Changed.notify_all();
  }
}

void Group::serve(Member &M, std::shared_ptr<Conn> From) {
  const auto WaitWhileDark = [&] {
    while (M.Dark)
      pause(20);
  };
  auto Start = From->line();
  WaitWhileDark();
  if (!Start || word(*Start) != "START")
    return;
  const std::string Service = word(*Start);
  word(*Start);
  {
    const std::lock_guard Guard(Lock);
    if (M.Ended)
      return;
    M.Links.push_back(From);
  }
  if (Service != Given.Service || (!Start->empty() && *Start != M.Id)) {
    From->send(error("MISROUTED", M.Id));
    return;
  }
  pause(2);
  From->send("READY I " + position(M.Index) + "\r\n");
  Session S;
  while (auto Line = From->line()) {
    WaitWhileDark();
    if (word(*Line) != "QUERY")
      return;
    const std::string Id = word(*Line);
    if (Id != "-")
      ++Arrived;
    if (OnStatement && Id != "-")
      OnStatement(M.Index, *Line);
    const std::string Answer = run(M, S, Id, *Line);
    WaitWhileDark();
    if (M.Ended) {
      if (Id != "-")
        Log.write("cut off by the exit of " + M.Id + ": " + Id + " " + *Line);
      return;
    }
    if (Id != "-")
      Log.write("run " + M.Id + " " + Id + " " + *Line + " -> " +
                Answer.substr(0, Answer.find('\r')));
    if (!From->send(Answer + "READY " + S.State + " " + position(M.Index) +
                    "\r\n"))
      return;
  }
}

std::string
Group::commit(Member &M, Session &,
              std::vector<std::pair<std::string, std::string>> Writes,
              std::vector<std::string> Ids) {
  std::unique_lock Guard(Lock);
  if (!M.Primary || M.Ended)
    return error("READONLY", M.Id);
  const Entry Last = M.Log.back();
  const Entry Added{M.Term, Last.Number + 1, std::move(Writes), std::move(Ids)};
  M.Log.push_back(Added);
  for (const auto &Other : States)
    if (Other->Primary && Other->Term > M.Term)
      Superseded.insert(Superseded.end(), Added.Ids.begin(), Added.Ids.end());
  const std::string At = positionOf(M.Log);
  // With synchronous replicas the commit is acknowledged once enough of them
  // have received it.
  Changed.wait(Guard, [&] {
    int Received = 0;
    for (const auto &Other : States)
      Received += Other.get() != &M && holds(Other->Log, At) ? 1 : 0;
    return Received >= Given.SyncReplicas || !M.Primary;
  });
  if (!M.Primary)
    return error("FAILED", M.Id);
  return "COMPLETE " + signature() + "\r\n";
}

std::string Group::run(Member &M, Session &S, const std::string &Id,
                       std::string Text) {
  std::string Rest = Text;
  std::string Verb = word(Rest);
  if (Verb == "AFTER") {
    const std::string Position = word(Rest);
    {
      const std::lock_guard Guard(Lock);
      if (!holds(M.Log, Position))
        return error("LAGGING", M.Id);
    }
    Verb = word(Rest);
  }
  if (Verb == "STATUS") {
    const std::lock_guard Guard(Lock);
    return "ROW " + std::string(M.Primary ? "primary" : "replica") + " " +
           std::to_string(M.Term) + " " + positionOf(M.Log) + " " +
           std::to_string(M.Term) + " 0 0 1\r\nCOMPLETE -\r\n";
  }
  if (Verb == "STEPDOWN") {
    const std::uint64_t Term = std::stoull(Rest);
    {
      const std::lock_guard Guard(Lock);
      if (M.Primary && M.Term < Term)
        M.Primary = false;
      Changed.notify_all();
    }
    beat(M);
    return "COMPLETE -\r\n";
  }
  if (Verb == "RESET") {
    S.Values.clear();
    S.Prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (Verb == "SET") {
    const std::string Name = word(Rest);
    S.Values[Name] = Rest;
    return "COMPLETE -\r\n";
  }
  if (Verb == "PREPARE") {
    const std::string Name = word(Rest);
    S.Prepared[Name] = Rest;
    return "COMPLETE -\r\n";
  }
  if (Verb == "ROLLBACK") {
    S.State = 'I';
    S.Writes.clear();
    S.Ids.clear();
    return "COMPLETE -\r\n";
  }
  if (S.State == 'E')
    return error("MALFORMED", "the transaction failed");
  if (Verb == "BEGIN") {
    const std::lock_guard Guard(Lock);
    if (Rest != "READ" && !M.Primary)
      return error("READONLY", M.Id);
    S.State = 'T';
    S.ReadOnly = Rest == "READ";
    return "COMPLETE -\r\n";
  }
  pause(Given.WorkMs);
  if (Verb == "EXECUTE") {
    const std::string Name = word(Rest);
    const auto Found = S.Prepared.find(Name);
    if (Found == S.Prepared.end())
      return error("NOSTMT", M.Id);
    Verb = Found->second.substr(0, Found->second.find(' '));
  }
  if (S.State == 'T' && !S.ReadOnly) {
    const std::lock_guard Guard(Lock);
    if (!M.Primary && !(Verb == "COMMIT" && S.Writes.empty())) {
      S.State = 'E';
      return error("READONLY", M.Id);
    }
  }
  if (Verb == "COMMIT") {
    S.State = 'I';
    const auto Writes = std::exchange(S.Writes, {});
    const auto Ids = std::exchange(S.Ids, {});
    if (Writes.empty())
      return "COMPLETE " + signature() + "\r\n";
    return commit(M, S, Writes, Ids);
  }
  if (Verb == "READ") {
    const std::lock_guard Guard(Lock);
    std::string Data = "-";
    for (const Entry &E : M.Log)
      for (const auto &[Item, Value] : E.Writes)
        if (Item == Rest)
          Data = Value;
    for (const auto &[Item, Value] : S.Writes)
      if (Item == Rest)
        Data = Value;
    return "ROW " + Data + "\r\nCOMPLETE " + signature() + "\r\n";
  }
  if (Verb == "WRITE") {
    const std::string Item = word(Rest);
    if (S.State == 'T' && S.ReadOnly) {
      S.State = 'E';
      return error("READONLY", M.Id);
    }
    if (S.State == 'T') {
      S.Writes.emplace_back(Item, Rest);
      S.Ids.push_back(Id);
      return "COMPLETE " + signature() + "\r\n";
    }
    return commit(M, S, {{Item, Rest}}, {Id});
  }
  return error("MALFORMED", "unknown statement");
}

HttpAnswer Group::promote(const HttpCall &Call) {
  const json Body = json::parse(Call.Body);
  const std::string Id = Body.at("id");
  Log.write("promote called for " + Id + " by " +
            Call.Headers.at("lease-holder") + " with token " +
            Call.Headers.at("fencing-token"));
  pause(CallDelayMs);
  const auto Found =
      std::find_if(States.begin(), States.end(),
                   [&](const auto &M) {
                     return M->Id == Id && !M->Dark && !M->Ended;
                   });
  if (Found == States.end() || Body.at("backend") != Given.Service) {
    HttpAnswer Refused;
    Refused.Status = 409;
    return Refused;
  }
  Member *M = Found->get();
  std::thread([this, M] {
    pause(Given.PromoteMs);
    {
      const std::lock_guard Guard(Lock);
      if (M->Primary)
        return;
      std::uint64_t Newest = 0;
      for (const auto &Other : States)
        Newest = std::max(Newest, Other->Term);
      M->Term = Newest + 1;
      M->Primary = true;
      M->Deaf = false;
      Log.write("promoted " + M->Id + " in term " + std::to_string(M->Term) +
                " with its log at " + positionOf(M->Log));
    }
    beat(*M);
    if (OnPromoted)
      OnPromoted(M->Index);
    // A replaced primary that reaches the new one becomes a replica.
    pause(1000);
    const std::lock_guard Guard(Lock);
    for (const auto &Other : States)
      if (Other.get() != M && Other->Primary && Other->Term < M->Term)
        Other->Primary = false;
    Changed.notify_all();
  }).detach();
  return {};
}

} // namespace review3
