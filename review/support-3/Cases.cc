#include "Cases.hh"

#include <set>

namespace review3 {
namespace {

// Writes of several clients, each with a client of its own.
class Writers {
public:
  Writers(Scene &Shared, std::string Of) : S(Shared), Database(std::move(Of)) {}
  ~Writers() { stop(); }
  void start(int Count, int PauseMs) {
    for (int N = 0; N < Count; ++N)
      Threads.emplace_back([this, N, PauseMs] { write(N, PauseMs); });
  }
  void stop() {
    Stopping = true;
    for (std::thread &T : Threads)
      T.join();
    Threads.clear();
  }
  /// Ids of acknowledged writes, with their data.
  std::map<std::string, std::string> acknowledged() {
    const std::lock_guard Guard(Lock);
    return Acknowledged;
  }

private:
  void write(int N, int PauseMs) {
    Client C(S.Log, "writer" + std::to_string(N));
    for (int I = 0; !Stopping; ++I) {
      if (!C.isOpen() &&
          !C.start(S.Daemons[std::size_t(N) % S.Daemons.size()], Database)) {
        pause(100);
        continue;
      }
      const std::string Data =
          "w" + std::to_string(N) + "x" + std::to_string(I);
      const std::string Id = C.send("WRITE k" + std::to_string(N) + " " + Data);
      const Answer A = C.receive(3000);
      if (A.Success) {
        const std::lock_guard Guard(Lock);
        Acknowledged[Id] = Data;
      }
      pause(PauseMs);
    }
  }

  Scene &S;
  std::string Database;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
  std::mutex Lock;
  std::map<std::string, std::string> Acknowledged;
};

// One replica receives nothing, another is lost for good and then the primary
// goes dark for a while, with one synchronous replica.
int lostReplica(Scene &S) {
  Group::Options Options;
  Options.Service = "ledger1x";
  Options.SyncReplicas = 1;
  if (!S.begin(Options, 3,
               json::array({routeFor("orders1", "primary", "ledger1x")}), 32))
    return 2;
  Group &G = *S.Members;
  std::atomic<int> Promoted{-1};
  std::vector<Entry> AtPromotion;
  G.OnPromoted = [&](int Member) {
    AtPromotion = G.log(Member);
    Promoted = Member;
  };
  Writers W(S, "orders1");
  W.start(3, 20);
  pause(3000);
  const int Primary = G.primary();
  const int Deaf = (Primary + 1) % 3;
  const int Gone = (Primary + 2) % 3;
  if (S.Trouble) {
    S.Log.write("deaf for 6.5 s: " + G.id(Deaf));
    G.setDeaf(Deaf, true);
    pause(2000);
    S.Log.write("lost for good: " + G.id(Gone));
    G.setDark(Gone, true);
    pause(500);
    S.Log.write("dark for 7 s: " + G.id(Primary));
    G.setDark(Primary, true);
    pause(4000);
    G.setDeaf(Deaf, false);
    pause(3000);
    S.Log.write("back with its log: " + G.id(Primary));
    G.setDark(Primary, false);
  }
  pause(6000);
  W.stop();
  const int Leader = Promoted < 0 ? Primary : int(Promoted);
  std::set<std::string> Held;
  for (const Entry &E : AtPromotion)
    Held.insert(E.Ids.begin(), E.Ids.end());
  for (const Entry &E : G.log(Leader))
    Held.insert(E.Ids.begin(), E.Ids.end());
  int Lost = 0;
  for (const auto &[Id, Data] : W.acknowledged())
    if (!Held.contains(Id)) {
      ++Lost;
      S.Log.write("LOST " + Id + " " + Data);
    }
  S.Log.write("acknowledged " + std::to_string(W.acknowledged().size()) +
              ", lost " + std::to_string(Lost) + ", leader " + G.id(Leader));
  return Lost == 0 ? 0 : 1;
}

// All members of a service are draining, and the reads of the store that may be
// old are some seconds behind.
int drainOldReads(Scene &S) {
  Group::Options Options;
  Options.Service = "ledger1x";
  Options.WorkMs = 25;
  if (!S.begin(Options, 3,
               json::array({routeFor("orders1", "primary", "ledger1x")}), 32))
    return 2;
  Group &G = *S.Members;
  if (S.Trouble)
    S.Registry.StaleMs = 3000;
  const auto Never = Clock::time_point::max();
  std::atomic<Clock::time_point> DrainEnd{Never};
  std::atomic<int> Late{0};
  std::atomic<bool> Stop{false};
  G.OnStatement = [&](int Member, const std::string &Text) {
    // Statements on their way at that moment don't count.
    if (Clock::now() - Ms(200) <= DrainEnd.load())
      return;
    ++Late;
    S.Log.write("LATE " + Text + " reached " + G.id(Member) +
                " later than drain_ms");
  };
  std::vector<std::thread> Callers;
  for (int N = 0; N < 3; ++N)
    Callers.emplace_back([&, N] {
      Client C(S.Log, "caller" + std::to_string(N));
      while (!Stop) {
        if (C.isOpen() || C.start(S.Daemons[std::size_t(N)], "orders1"))
          C.ask("WRITE k" + std::to_string(N) + " x");
        pause(30);
      }
    });
  pause(8000);
  for (int M = 0; M < 3; ++M) {
    G.setLeaving(M, true);
    S.Log.write("draining: " + G.id(M));
  }
  const auto Acknowledged = Clock::now();
  DrainEnd = Acknowledged + Ms(7000);
  // Members continue for drain_ms and a little longer, and then exit.
  std::this_thread::sleep_until(Acknowledged + Ms(8500));
  for (int M = 0; M < 3; ++M)
    G.exit(M);
  S.Log.write("members have exited");
  pause(1500);
  Stop = true;
  for (std::thread &T : Callers)
    T.join();
  S.Log.write("late " + std::to_string(int(Late)));
  return Late == 0 ? 0 : 1;
}

// The primary is lost, the platform is slow for a moment, and the replica that
// is to take over goes dark for a while: its promotion takes effect after that
// of another one.
int latePromotion(Scene &S) {
  constexpr int CallMs = 87;
  constexpr int SlowFactor = 85;
  constexpr int SlowMs = 4200;
  constexpr int DarkAfterMs = 100;
  constexpr int DarkMs = 7000;
  Group::Options Options;
  Options.Service = "ledger1x";
  Options.PromoteMs = 200;
  if (!S.begin(Options, 3,
               json::array({routeFor("orders1", "primary", "ledger1x")}), 32))
    return 2;
  Group &G = *S.Members;
  std::mutex Lock;
  std::string First;
  Clock::time_point SlowUntil;
  S.OnCloudCall = [&](const HttpCall &Call) {
    const std::string Id = json::parse(Call.Body).at("id");
    bool IsSlow = false;
    {
      const std::lock_guard Guard(Lock);
      if (First.empty()) {
        First = Id;
        SlowUntil = Clock::now() + Ms(SlowMs);
        S.Log.write("the platform is slow");
        std::thread([&S, &G, Id] {
          pause(DarkAfterMs);
          S.Log.write("dark: " + Id);
          G.setDark(G.memberOf(Id), true);
          pause(DarkMs);
          S.Log.write("no longer dark: " + Id);
          G.setDark(G.memberOf(Id), false);
        }).detach();
      }
      IsSlow = Clock::now() < SlowUntil;
    }
    S.Log.write("call for " + Id + (IsSlow ? ", slow" : ""));
    pause(IsSlow ? CallMs * SlowFactor : CallMs);
    return G.promote(Call);
  };
  Writers W(S, "orders1");
  W.start(6, 10);
  pause(3000);
  if (S.Trouble) {
    S.Log.write("lost for good: " + G.id(0));
    G.setDark(0, true);
  }
  pause(18000);
  W.stop();
  const auto Acknowledged = W.acknowledged();
  std::set<std::string> Held;
  for (const Entry &E : G.log(G.primary()))
    Held.insert(E.Ids.begin(), E.Ids.end());
  int Count = 0;
  int Lost = 0;
  for (const std::string &Id : G.supersededCommits())
    if (Acknowledged.contains(Id)) {
      ++Count;
      Lost += Held.contains(Id) ? 0 : 1;
      S.Log.write("ONE " + Id + " committed at the old primary after the " +
                  "promotion took effect, and acknowledged");
    }
  S.Log.write("at the old primary " + std::to_string(Count) +
              ", of these lost " + std::to_string(Lost) + ", acknowledged " +
              std::to_string(Acknowledged.size()));
  return Count == 0 ? 0 : 1;
}

// Callers that read and write while a case prepares a state, and what is served
// before and after the final fault.
class RecoveryLoad {
public:
  explicit RecoveryLoad(Scene &Of) : S(Of) {
    for (int N = 0; N < 6; ++N)
      Callers.emplace_back([this, N] { call(N); });
  }
  /// Kills all daemons, starts them again, and counts what is sent later than
  /// recovery_s after that.
  int finish() {
    Present = nullptr;
    for (int D = 1; D <= 3; ++D)
      S.signal(D, "KILL");
    pause(1000);
    for (int D = 1; D <= 3; ++D)
      S.signal(D, "START");
    const bool Ready = waitReady(S.Daemons, 20000);
    S.Log.write("machines are back");
    pause(12000);
    S.Log.write("recovery_s has passed");
    Present = &After;
    pause(10000);
    Stop = true;
    for (std::thread &T : Callers)
      T.join();
    S.Log.write("before: served " + std::to_string(int(Before.Served)) +
                " of " + std::to_string(int(Before.Sent)) + "; after: served " +
                std::to_string(int(After.Served)) + " of " +
                std::to_string(int(After.Sent)));
    if (!Ready || 4 * Before.Served < Before.Sent)
      return 2;
    return 4 * After.Served < After.Sent ? 1 : 0;
  }

private:
  struct Count {
    std::atomic<int> Sent{0};
    std::atomic<int> Served{0};
  };

  void call(int N) {
    Client C(S.Log, "caller" + std::to_string(N));
    for (int I = 0; !Stop; ++I) {
      Count *Into = Present;
      if (Into != nullptr)
        ++Into->Sent;
      if (C.isOpen() || C.start(S.Daemons[std::size_t(N) % 3],
                                N < 3 ? "orders1" : "stock1")) {
        const bool Writes = N < 3 && I % 2 == 0;
        const Answer A = C.ask(Writes ? "WRITE k" + std::to_string(N) + " d" +
                                            std::to_string(I)
                                      : "READ k" + std::to_string(N));
        if (A.Success && Into != nullptr)
          ++Into->Served;
      }
      pause(50);
    }
  }

  Scene &S;
  Count Before;
  Count After;
  std::atomic<bool> Stop{false};
  std::atomic<Count *> Present{&Before};
  std::vector<std::thread> Callers;
};

json routesOfRecovery() {
  return json::array({routeFor("orders1", "primary", "ledger1x"),
                      routeFor("stock1", "bounded_staleness", "ledger1x")});
}

// A replica is lost for good, the primary is dark for a moment and comes back
// with its log, and then all daemons are killed and start again.
int primaryBack(Scene &S) {
  Group::Options Options;
  Options.Service = "ledger1x";
  Options.Members = 2;
  if (!S.begin(Options, 3, routesOfRecovery(), 32))
    return 2;
  Group &G = *S.Members;
  RecoveryLoad Load(S);
  pause(3000);
  if (S.Trouble) {
    S.Log.write("lost for good: " + G.id(1));
    G.setDark(1, true);
    pause(1000);
    S.Log.write("dark for 2 s: " + G.id(0));
    G.setDark(0, true);
    pause(2000);
    S.Log.write("back with its log: " + G.id(0));
    G.setDark(0, false);
    pause(1000);
  }
  return Load.finish();
}

// A replica is lost for good. Later the primary crashes and comes back with its
// log, and then all daemons are killed and start again.
int primaryReturns(Scene &S) {
  Group::Options Options;
  Options.Service = "ledger1x";
  Options.Members = 2;
  Options.HasSpare = true;
  if (!S.begin(Options, 3, routesOfRecovery(), 32))
    return 2;
  Group &G = *S.Members;
  RecoveryLoad Load(S);
  pause(3000);
  if (S.Trouble) {
    S.Log.write("lost for good: " + G.id(1));
    G.setDark(1, true);
    pause(12000);
    S.Log.write("crashed: " + G.id(0));
    G.crash(0);
    pause(1500);
    G.comeBack(0);
    S.Log.write("back with its log as " + G.id(2) + ", log at " +
                G.position(2));
    pause(5000);
  }
  return Load.finish();
}

} // namespace

std::map<std::string, Case> cases() {
  return {{"late-promotion", latePromotion},
          {"lost-replica", lostReplica},
          {"primary-returns", primaryReturns},
          {"primary-back", primaryBack},
          {"drain-old-reads", drainOldReads}};
}

} // namespace review3
