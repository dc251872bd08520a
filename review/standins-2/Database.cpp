#include "Database.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <thread>

namespace standins {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds ReplicationInterval(2);
constexpr Milliseconds HeartbeatInterval(1200);
constexpr Milliseconds ConnectWork(12);
// After which a replaced primary that reaches the new one follows it.
constexpr Milliseconds DemotionTime(1000);
constexpr Milliseconds SyncLimit(10000);

std::string nextWord(std::string &Rest) {
  const std::size_t Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? "" : Rest.substr(Blank + 1);
  return Word;
}

std::string text(Position At) {
  return std::to_string(At.Term) + "." + std::to_string(At.Number);
}

Position parsePosition(const std::string &Text) {
  const std::size_t Dot = Text.find('.');
  return {std::stoull(Text.substr(0, Dot)), std::stoull(Text.substr(Dot + 1))};
}

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

bool Slots::acquire() {
  std::unique_lock Guard(Lock);
  if (Free > 0 && Waiting.empty()) {
    --Free;
    return true;
  }
  if (Waiting.size() >= MaxWaiting)
    return false;
  const std::uint64_t Ticket = ++LastTicket;
  Waiting.push_back(Ticket);
  Freed.wait(Guard, [&] { return Free > 0 && Waiting.front() == Ticket; });
  Waiting.pop_front();
  --Free;
  Freed.notify_all();
  return true;
}

void Slots::release() {
  const std::lock_guard Guard(Lock);
  ++Free;
  Freed.notify_all();
}

struct Database::Session {
  int Index = 0;
  char State = 'I';
  bool ReadOnly = false;
  std::uint64_t BegunInTerm = 0;
  std::vector<Entry> Writes;
  std::set<std::string> Values;
  std::map<std::string, std::string> Prepared;
};

Database::Database(Options Wanted, Store &Entries, Record &Output)
    : Given(std::move(Wanted)), Registry(Entries), Log(Output) {
  for (int I = 0; I < Given.Members; ++I) {
    auto M = std::make_unique<Member>(Given.SlotsEach);
    M->Primary = I == 0;
    M->Log.push_back({1, "first", "0", "first"});
    M->Born = unixMilliseconds();
    Group.push_back(std::move(M));
  }
  for (int I = 0; I < Given.Members; ++I)
    Group[static_cast<std::size_t>(I)]->Port =
        serve(Given.Ip, 0,
              [this, I](Stream Accepted) { handle(I, std::move(Accepted)); });
  const std::uint16_t Port = serve(Given.Ip, 0, [this](Stream Accepted) {
    serveCloud(std::move(Accepted));
  });
  CloudAddress = Given.Ip + ":" + std::to_string(Port);
  std::thread([this] { replicate(); }).detach();
  std::thread([this] { publish(); }).detach();
}

Position Database::positionOf(const Member &M) {
  return {M.Log.back().Term, M.Log.size()};
}

std::string Database::signature() {
  return "sig." + std::to_string(++LastSignature);
}

std::vector<Database::Arrival> Database::arrivals() {
  const std::lock_guard Guard(Lock);
  return Arrived;
}

void Database::publishOne(int Index) {
  Json Entry;
  {
    const std::lock_guard Guard(Lock);
    Member &M = *Group[static_cast<std::size_t>(Index)];
    Entry = {{"backend", Given.Service},
             {"address", Given.Ip + ":" + std::to_string(M.Port)},
             {"zone", "zone-" + std::to_string(Index % 3)},
             {"version", "v1"},
             {"capacity", Given.SlotsEach},
             {"state", "ready"},
             {"warmup_left_ms", 0},
             {"db_role", M.Primary ? "primary" : "replica"},
             {"sequence", ++M.Sequence},
             {"born", M.Born}};
  }
  Registry.put("servers/" + idOf(Index), Entry.dump());
}

// A change of the role is reported at once.
void Database::publish() {
  std::vector<bool> Known(Group.size(), false);
  auto Next = Clock::now();
  for (;;) {
    const bool IsDue = Clock::now() >= Next;
    if (IsDue)
      Next += HeartbeatInterval;
    for (std::size_t I = 0; I < Group.size(); ++I) {
      bool Primary = false;
      {
        const std::lock_guard Guard(Lock);
        Primary = Group[I]->Primary;
      }
      if (IsDue || Primary != Known[I])
        publishOne(static_cast<int>(I));
      Known[I] = Primary;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
}

// Each replica takes over the log of the primary of the highest term. A primary
// of a lower term becomes a replica a second after it can reach the new one.
void Database::replicate() {
  std::map<const Member *, Clock::time_point> Replaced;
  for (;;) {
    {
      const std::lock_guard Guard(Lock);
      const Member *Source = nullptr;
      for (const auto &M : Group)
        if (M->Primary && (Source == nullptr || M->Term > Source->Term))
          Source = M.get();
      for (const auto &M : Group) {
        if (Source == nullptr || M.get() == Source)
          continue;
        if (M->Primary) {
          const auto Since = Replaced.try_emplace(M.get(), Clock::now()).first;
          if (Clock::now() - Since->second < DemotionTime)
            continue;
          M->Primary = false;
          Replaced.erase(M.get());
        }
        M->Term = Source->Term;
        if (M->Log != Source->Log)
          M->Log = Source->Log;
      }
    }
    Received.notify_all();
    std::this_thread::sleep_for(ReplicationInterval);
  }
}

void Database::serveCloud(Stream Connection) {
  while (const auto Call = readRequest(Connection)) {
    const Json Body = Json::parse(Call->Body, nullptr, false);
    const std::string Id = Body.value("id", std::string());
    int Status = 409;
    for (int I = 0; I < Given.Members; ++I) {
      if (idOf(I) != Id)
        continue;
      const std::lock_guard Guard(Lock);
      Status = 200;
      if (!Group[static_cast<std::size_t>(I)]->Primary)
        std::thread([this, I] { promote(I); }).detach();
    }
    Log.write("promotion of " + Id + " called for by " + Call->Holder +
              ", token " + Call->FencingToken + ": " + std::to_string(Status));
    if (!sendResponse(Connection, Status, "{}"))
      return;
  }
}

void Database::promote(int Index) {
  std::this_thread::sleep_for(Given.PromoteTime);
  const std::lock_guard Guard(Lock);
  Member &Next = *Group[static_cast<std::size_t>(Index)];
  std::uint64_t Highest = 0;
  for (const auto &M : Group)
    Highest = std::max(Highest, M->Term);
  Next.Primary = true;
  Next.Term = Highest + 1;
  Log.write(idOf(Index) + " leads term " + std::to_string(Next.Term) +
            " from position " + text(positionOf(Next)));
}

void Database::handle(int Index, Stream Connection) {
  Member &M = *Group[static_cast<std::size_t>(Index)];
  const auto Start = Connection.readLine();
  if (!Start)
    return;
  std::string Rest = *Start;
  const std::string Verb = nextWord(Rest);
  const std::string Service = nextWord(Rest);
  nextWord(Rest);
  if (Verb != "START" || Service != Given.Service ||
      (!Rest.empty() && Rest != idOf(Index))) {
    Connection.send("ERROR MISROUTED " + idOf(Index) + "\r\n");
    return;
  }
  if (!M.Work.acquire()) {
    Connection.send("ERROR BUSY " + idOf(Index) + "\r\n");
    return;
  }
  std::this_thread::sleep_for(ConnectWork);
  M.Work.release();
  bool IsFull = false;
  {
    const std::lock_guard Guard(Lock);
    IsFull = M.Connections >= Given.MaxConnections;
    M.Connections += IsFull ? 0 : 1;
  }
  if (IsFull) {
    Connection.send("ERROR TOOMANY " + idOf(Index) + "\r\n");
    return;
  }
  Session S;
  S.Index = Index;
  bool Open = send(S, Connection, "");
  while (Open) {
    const auto Line = Connection.readLine();
    if (!Line)
      break;
    std::string Query = *Line;
    if (nextWord(Query) != "QUERY")
      break;
    const std::string Id = nextWord(Query);
    Open = answer(S, Connection, Id, Query);
  }
  const std::lock_guard Guard(Lock);
  --M.Connections;
}

bool Database::send(Session &S, Stream &To, const std::string &Outcome,
                    const std::string &Rows) {
  std::string Ready;
  {
    const std::lock_guard Guard(Lock);
    const Member &M = *Group[static_cast<std::size_t>(S.Index)];
    Ready = std::string("READY ") + S.State + " " + text(positionOf(M));
  }
  return To.send(Rows + (Outcome.empty() ? "" : Outcome + "\r\n") + Ready +
                 "\r\n");
}

bool Database::answer(Session &S, Stream &To, const std::string &Id,
                      std::string Text) {
  Member &M = *Group[static_cast<std::size_t>(S.Index)];
  if (Text.starts_with("AFTER ")) {
    nextWord(Text);
    const Position Wanted = parsePosition(nextWord(Text));
    bool Lacks = false;
    {
      const std::lock_guard Guard(Lock);
      Lacks = positionOf(M) < Wanted;
    }
    if (Lacks)
      return send(S, To, "ERROR LAGGING " + idOf(S.Index));
  }
  if (S.State == 'E' && Text != "ROLLBACK" && Text != "COMMIT")
    return send(S, To, "ERROR MALFORMED the transaction failed");
  return runStatement(S, To, Id, Text);
}

bool Database::runStatement(Session &S, Stream &To, const std::string &Id,
                            const std::string &Text) {
  Member &M = *Group[static_cast<std::size_t>(S.Index)];
  const std::string Done = "COMPLETE -";
  std::string Rest = Text;
  std::string Verb = nextWord(Rest);
  if (Verb == "SET") {
    S.Values.insert(Rest);
    return send(S, To, Done);
  }
  if (Verb == "RESET") {
    S.Values.clear();
    S.Prepared.clear();
    return send(S, To, Done);
  }
  if (Verb == "PREPARE") {
    const std::string Name = nextWord(Rest);
    S.Prepared[Name] = Rest;
    return send(S, To, Done);
  }
  if (Verb == "STEPDOWN") {
    const std::uint64_t Term = std::stoull(Rest);
    const std::lock_guard Guard(Lock);
    if (M.Primary && M.Term < Term) {
      M.Primary = false;
      Log.write(idOf(S.Index) + " steps down");
    }
  }
  if (Verb == "STATUS" || Verb == "STEPDOWN") {
    if (!M.Work.acquire())
      return send(S, To, "ERROR BUSY " + idOf(S.Index));
    std::string Row;
    {
      const std::lock_guard Guard(Lock);
      Row = std::string("ROW ") + (M.Primary ? "primary" : "replica") + " " +
            std::to_string(M.Term) + " " + text(positionOf(M)) + " 0 0 " +
            std::to_string(M.Busy) + " " + std::to_string(M.Connections) +
            "\r\n";
    }
    M.Work.release();
    return send(S, To, Done, Row);
  }
  if (Verb == "ROLLBACK") {
    if (S.State == 'I')
      return send(S, To, "ERROR MALFORMED no transaction");
    S.State = 'I';
    S.Writes.clear();
    return send(S, To, Done);
  }
  if (Verb == "BEGIN") {
    bool Refused = false;
    {
      const std::lock_guard Guard(Lock);
      Refused = Rest.empty() && !M.Primary;
      S.BegunInTerm = M.Term;
    }
    if (Refused)
      return send(S, To, "ERROR READONLY " + idOf(S.Index));
    S.State = 'T';
    S.ReadOnly = !Rest.empty();
    return send(S, To, Done);
  }
  bool Writes = Verb == "WRITE";
  if (Verb == "EXECUTE") {
    const auto Found = S.Prepared.find(nextWord(Rest));
    if (Found == S.Prepared.end())
      return send(S, To, "ERROR NOSTMT " + idOf(S.Index));
    Writes = Found->second.starts_with("WRITE");
  }
  {
    const std::lock_guard Guard(Lock);
    if (S.State == 'I')
      Arrived.push_back({S.Index, Id, Log.elapsed()});
    const bool LostLead = S.State == 'T' && !S.ReadOnly &&
                          (!M.Primary || M.Term != S.BegunInTerm);
    if ((Writes && !M.Primary) ||
        (LostLead && !(Verb == "COMMIT" && S.Writes.empty()))) {
      if (S.State == 'T')
        S.State = Verb == "COMMIT" ? 'I' : 'E';
      S.Writes.clear();
      Writes = false;
      Verb = "REFUSE";
    }
  }
  if (Verb == "REFUSE")
    return send(S, To, "ERROR READONLY " + idOf(S.Index));
  if (!M.Work.acquire())
    return send(S, To, "ERROR BUSY " + idOf(S.Index));
  const bool Commits = Verb == "COMMIT" || (Writes && S.State == 'I');
  std::this_thread::sleep_for(Writes || Commits ? Given.WriteWork
                                                : Given.ReadWork);
  const std::string Item = nextWord(Rest);
  std::string Outcome = "COMPLETE " + signature();
  std::string Rows;
  if (Writes)
    S.Writes.push_back({0, Id, Item, Rest});
  if (Commits) {
    if (!S.Writes.empty())
      Outcome = commit(S, Id, S.Writes);
    S.Writes.clear();
    S.State = 'I';
  } else if (!Writes) {
    for (int I = 0; I < Given.RowsPerRead; ++I)
      Rows += "ROW " + std::string(Given.RowBytes, 'x') + "\r\n";
  }
  M.Work.release();
  if (Outcome.empty())
    return false;
  return send(S, To, Outcome, Rows);
}

// Returns the outcome; empty if the commit isn't known to be kept, so that the
// connection ends without an answer.
std::string Database::commit(Session &S, const std::string &Id,
                             const std::vector<Entry> &Writes) {
  std::unique_lock Guard(Lock);
  Member &M = *Group[static_cast<std::size_t>(S.Index)];
  if (!M.Primary)
    return "ERROR READONLY " + idOf(S.Index);
  const std::uint64_t Term = M.Term;
  Entry Kept;
  Kept.Term = Term;
  Kept.Id = Id;
  Kept.Key = Writes.front().Key;
  Kept.Data = Writes.front().Data;
  M.Log.push_back(Kept);
  const std::size_t Number = M.Log.size();
  const auto HaveReceived = [&] {
    const auto Count =
        std::count_if(Group.begin(), Group.end(), [&](const auto &Other) {
          return Other.get() != &M && Other->Log.size() >= Number &&
                 Other->Log[Number - 1].Id == Id;
        });
    return Count >= Given.SyncReplicas;
  };
  if (!Received.wait_for(
          Guard, SyncLimit,
          [&] { return HaveReceived() || !M.Primary || M.Term != Term; }) ||
      !M.Primary || M.Term != Term)
    return "";
  return "COMPLETE " + signature();
}

} // namespace standins
