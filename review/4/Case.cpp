// One daemon is stopped as planned while sessions at it send one read after
// the other.
#include "../standins/Caller.h"
#include "../standins/Fleet.h"
#include "../standins/Group.h"
#include "../standins/Options.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <mutex>
#include <thread>

namespace {

using review::Clock;
using review::Milliseconds;

constexpr const char *Database = "look";
constexpr Milliseconds ReadyLimit(20000);
// Work of `stock-lookup` and the way to the client and back in the site file.
constexpr Milliseconds Work(22);
constexpr Milliseconds RoundTrip(2);
constexpr Milliseconds Grace(6000);
// Requests that were sent earlier than this after SIGTERM are not counted.
constexpr Milliseconds CountedFrom(3000);
// LOST counts until this long after the grace period.
constexpr Milliseconds CountedAfterGrace(1000);
constexpr std::size_t Daemons = 3;
constexpr std::size_t Stopped = 0;
constexpr std::size_t Sessions = 60;

std::string configuration(const std::string &Service) {
  return R"({"version":1,"routes":[{"name":"r-1","host":")" +
         std::string(Database) +
         R"(","prefix":"/","type":"bounded_staleness","timeout_ms":2000,)"
         R"("target_latency_ms":400,"priority":2,"backend":")" +
         Service +
         R"(","attempts":2,"max_staleness_ms":1500}],"backends":[{"name":")" +
         Service +
         R"(","health_path":"/healthz","max_conns":32,"protocol":"h1",)"
         R"("tls":false,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}})";
}

/// Which requests a member has run.
class Runs {
public:
  void add(const std::string &Id) {
    const std::lock_guard Guard(Lock);
    Ids.insert(Id);
  }
  bool contain(const std::string &Id) {
    const std::lock_guard Guard(Lock);
    return Ids.contains(Id);
  }

private:
  std::mutex Lock;
  std::set<std::string> Ids;
};

void run(const std::string &Folder, const std::string &RecordPath) {
  review::Record Log(RecordPath);
  const std::string Subnet = review::subnet();
  const std::string Platform = Subnet + ".200";
  review::Store Registry;
  const std::uint16_t StorePort =
      review::listenOn(Platform, 0, [&](review::Socket Accepted) {
        Registry.serve(std::move(Accepted));
      });
  review::Group::Settings Wanted;
  Wanted.Ip = Subnet + ".100";
  Wanted.Zone = "zone-1";
  Wanted.Slots = 2;
  Wanted.Work = Work;
  review::Group Members(Wanted, Registry, Log);
  const std::uint16_t PromotionPort =
      review::listenOn(Platform, 0, [&](review::Socket Accepted) {
        Members.servePromotions(std::move(Accepted));
      });
  Registry.put("op/config", configuration(Wanted.Service));
  Runs Passed;
  Members.OnRead = [&](const std::string &, const std::string &Id,
                       const std::set<std::string> &) { Passed.add(Id); };
  review::Fleet Fleet({Subnet, Platform + ":" + std::to_string(StorePort),
                       Platform + ":" + std::to_string(PromotionPort), Folder,
                       Daemons},
                      Log);
  for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon)
    Fleet.start(Daemon);
  if (!Fleet.waitUntilReady(ReadyLimit)) {
    Log.write("the daemons are not ready in time");
    Fleet.finish(review::CannotRun);
  }

  std::atomic<bool> Done = false;
  std::atomic<unsigned> Answered = 0;
  std::atomic<unsigned> Lost = 0;
  std::atomic<std::int64_t> TermSentAt = 0;
  const auto Now = [] {
    return std::chrono::duration_cast<Milliseconds>(
               Clock::now().time_since_epoch())
        .count();
  };
  std::vector<std::thread> Clients;
  for (std::size_t Session = 0; Session < Sessions; ++Session)
    Clients.emplace_back([&, Session] {
      review::Caller Client("s" + std::to_string(Session + 1),
                            Fleet.ip(Stopped), Fleet.frontend(), Log);
      std::int64_t SentAt = 0;
      Client.OnSend = [&](const std::string &) { SentAt = Now(); };
      while (!Done) {
        SentAt = 0;
        const review::Caller::Outcome Result = Client.ask(Database, "READ 1");
        Answered += Result.Error != "closed" ? 1 : 0;
        const std::int64_t Term = TermSentAt;
        const std::string &Id = Client.lastId();
        if (Result.Error == "closed" && SentAt != 0 && Term != 0 &&
            SentAt - Term > CountedFrom.count() &&
            Now() - Term <= (Grace + CountedAfterGrace).count() &&
            Passed.contain(Id)) {
          ++Lost;
          Log.write("LOST: " + Id + " was sent " +
                    std::to_string(SentAt - Term) +
                    " ms after SIGTERM, was passed on to a member and got no "
                    "complete answer");
        }
        // The load balancer sends new connections to the other daemons.
        if (Result.Error == "closed" && Term != 0)
          return;
        std::this_thread::sleep_for(RoundTrip);
      }
    });
  std::this_thread::sleep_for(Milliseconds(3000));
  if (review::hasTrouble()) {
    TermSentAt = Now();
    Fleet.signal(Stopped, SIGTERM);
    std::this_thread::sleep_for(Grace + CountedAfterGrace);
    Fleet.signal(Stopped, SIGKILL);
    Fleet.wait(Stopped);
  } else {
    std::this_thread::sleep_for(Grace + CountedAfterGrace);
  }
  Done = true;
  for (std::thread &Client : Clients)
    Client.join();
  Log.write(std::to_string(Answered) + " requests answered, " +
            std::to_string(Lost) + " lost");
  if (Answered == 0)
    Fleet.finish(review::CannotRun);
  Fleet.finish(Lost == 0 ? review::Held : review::Broken);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return review::CannotRun;
  try {
    run(Arguments[1], Arguments[2]);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
  }
  std::_Exit(review::CannotRun);
}
