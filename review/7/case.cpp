// A daemon gets SIGTERM under load. Statements that had come before it and
// still wait for a member are not answered before the process ends.

#include "../standins-2/Client.h"
#include "../standins-2/Daemons.h"
#include "../standins-2/Database.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <vector>

namespace {

using standins::Client;
using standins::Milliseconds;

constexpr int Sessions = 160;
// grace_s, lost_slack_ms and stable_window_ms of the settings.
constexpr Milliseconds Grace(6000);
constexpr Milliseconds LostSlack(200);
constexpr Milliseconds StableWindow(4000);
// timeout_ms of the route.
constexpr Milliseconds RouteTimeout(10000);
constexpr Milliseconds LoadBefore(12000);
constexpr const char *Config =
    R"({"version":7,"routes":[)"
    R"({"name":"r","host":"reports","prefix":"/","type":"bounded_staleness",)"
    R"("timeout_ms":10000,"target_latency_ms":9000,"priority":2,)"
    R"("backend":"ledger","attempts":2,"max_staleness_ms":1500}],)"
    R"("backends":[{"name":"ledger","health_path":"/healthz",)"
    R"("max_conns":32,"protocol":"h1","tls":false,"sync_replicas":0}],)"
    R"("limits":{"tx_idle_ms":3000}})";

struct Cut {
  std::string Id;
  Milliseconds SentAt;
  Milliseconds At;
};

int run() {
  const char *Given = std::getenv("TROUBLE");
  const bool Trouble = Given == nullptr || std::string(Given) != "0";
  auto &Log = *new standins::Record("review/7/record.txt");
  // The threads of the stand-ins run until the process ends.
  auto &Store = *new standins::Store(standins::platformIp());
  standins::Database::Options Wanted;
  Wanted.Ip = standins::platformIp();
  Wanted.ReadWork = Milliseconds(300);
  auto &Ledger = *new standins::Database(Wanted, Store, Log);
  Store.put("op/config", Config);
  standins::Daemons::Options Fleet;
  Fleet.StoreAddress = Store.address();
  Fleet.PromotionAddress = Ledger.promotionAddress();
  standins::Daemons Fronts(Fleet, Log);
  if (!Fronts.waitUntilReady(Milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(StableWindow);

  std::atomic<bool> Stops = false;
  std::atomic<int> Succeeded = 0;
  std::mutex Lock;
  std::vector<Cut> Cuts;
  std::vector<std::thread> Callers;
  Callers.reserve(Sessions);
  for (int I = 0; I < Sessions; ++I)
    Callers.emplace_back([&, I] {
      Client Session(Fronts.connect(0));
      if (!Session.start("reports"))
        return;
      for (int Count = 0; !Stops && Session.isOpen(); ++Count) {
        const std::string Id =
            "c" + std::to_string(I) + "n" + std::to_string(Count);
        const Milliseconds SentAt = Log.elapsed();
        const Client::Answer Answer =
            Session.run(Id, "READ 1a4", Milliseconds(12000));
        Succeeded += Answer.Complete ? 1 : 0;
        Log.write(Id + " sent at " + std::to_string(SentAt.count()) + " ms" +
                  (Answer.Complete ? " succeeded"
                   : Answer.Lost   ? ", its connection ended with no answer"
                                   : " got " + Answer.Code));
        if (Answer.Lost) {
          const std::lock_guard Guard(Lock);
          Cuts.push_back({Id, SentAt, Log.elapsed()});
        }
        std::this_thread::sleep_for(Milliseconds(50));
      }
    });

  std::this_thread::sleep_for(LoadBefore);
  const Milliseconds Stopped = Log.elapsed();
  if (Trouble)
    Fronts.signal(0, SIGTERM);
  std::this_thread::sleep_for(Grace);
  if (Trouble)
    Fronts.signal(0, SIGKILL);
  Stops = true;
  for (std::thread &Each : Callers)
    Each.join();

  // Only what came before the signal and never reached a member.
  std::vector<std::string> Run;
  for (const auto &Seen : Ledger.arrivals())
    Run.push_back(Seen.Id);
  int Lost = 0;
  for (const Cut &Each : Cuts) {
    const bool Reached =
        std::find(Run.begin(), Run.end(), Each.Id) != Run.end();
    if (Reached || Each.SentAt > Stopped ||
        Each.At - Each.SentAt <= LostSlack ||
        Each.At - Each.SentAt >= RouteTimeout)
      continue;
    ++Lost;
    Log.write("LOST: " + Each.Id + " came " +
              std::to_string((Stopped - Each.SentAt).count()) +
              " ms before the signal and got no answer");
  }
  std::printf("%d reads succeeded; %d that came before the signal got no "
              "answer and never ran\n",
              Succeeded.load(), Lost);
  if (Succeeded == 0)
    return 2;
  return Lost == 0 ? 0 : 1;
}

} // namespace

int main() {
  const int Result = run();
  std::fflush(stdout);
  std::_Exit(Result);
}
