// The store executes the registration of a restarted daemon late. Afterwards
// the daemon is cut off while the primary is replaced.
#include "../standins/Caller.h"
#include "../standins/Fleet.h"
#include "../standins/Group.h"
#include "../standins/Link.h"
#include "../standins/Options.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace {

using review::Clock;
using review::Milliseconds;

constexpr const char *Database = "orders";
constexpr Milliseconds ReadyLimit(20000);
constexpr Milliseconds StatementPause(10);
// The duration of node_cut in the site file.
constexpr Milliseconds CutTime(5500);
// The lease of the first registration has ended by then.
constexpr Milliseconds SettleTime(9000);
constexpr std::size_t Daemons = 2;
constexpr std::size_t Cut = 1;

std::string configuration(const std::string &Service) {
  return R"({"version":1,"routes":[{"name":"r-1","host":")" +
         std::string(Database) +
         R"(","prefix":"/","type":"primary","timeout_ms":800,)"
         R"("target_latency_ms":150,"priority":1,"backend":")" +
         Service + R"(","attempts":2}],"backends":[{"name":")" + Service +
         R"(","health_path":"/healthz","max_conns":32,"protocol":"h1",)"
         R"("tls":false,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}})";
}

/// Judges reads by what was acknowledged before they were sent.
class Judge {
public:
  explicit Judge(review::Record &Output) : Log(Output) {}

  void acknowledge(const std::string &Write) {
    const std::lock_guard Guard(Lock);
    Acknowledged.emplace(Write, Clock::now());
  }
  void sendRead(const std::string &Read) {
    const std::lock_guard Guard(Lock);
    Sent.emplace(Read, Clock::now());
  }
  // Commits that a promote rolls back don't count.
  void promote(const std::set<std::string> &Held) {
    const std::lock_guard Guard(Lock);
    std::erase_if(Acknowledged, [&](const auto &Write) {
      return !Held.contains(Write.first);
    });
  }
  void run(const std::string &Member, const std::string &Read,
           const std::set<std::string> &Held) {
    const std::lock_guard Guard(Lock);
    const auto At = Sent.find(Read);
    if (At == Sent.end())
      return;
    ++Reads;
    for (const auto &[Write, Time] : Acknowledged)
      if (Time < At->second && !Held.contains(Write)) {
        ++Stale;
        std::string Text = "STALE: ";
        Text.append(Read).append(" ran at ").append(Member);
        Text.append(", whose log lacks ").append(Write);
        Log.write(Text);
        return;
      }
  }
  std::string summary() {
    const std::lock_guard Guard(Lock);
    return std::to_string(Reads) + " reads run, " + std::to_string(Stale) +
           " of them stale";
  }
  bool isBroken() {
    const std::lock_guard Guard(Lock);
    return Stale > 0;
  }
  bool hasRun() {
    const std::lock_guard Guard(Lock);
    return Reads > 0 && !Acknowledged.empty();
  }

private:
  review::Record &Log;
  std::mutex Lock;
  std::map<std::string, Clock::time_point> Acknowledged;
  std::map<std::string, Clock::time_point> Sent;
  unsigned Reads = 0;
  unsigned Stale = 0;
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
  review::Group Members(Wanted, Registry, Log);
  const std::uint16_t PromotionPort =
      review::listenOn(Platform, 0, [&](review::Socket Accepted) {
        Members.servePromotions(std::move(Accepted));
      });
  Registry.put("op/config", configuration(Wanted.Service));
  Judge Rule(Log);
  std::atomic<unsigned> Promotions = 0;
  Members.OnPromotion = [&](const std::string &,
                            const std::set<std::string> &Held) {
    ++Promotions;
    Rule.promote(Held);
  };
  Members.OnRead = [&](const std::string &Member, const std::string &Read,
                       const std::set<std::string> &Held) {
    Rule.run(Member, Read, Held);
  };

  review::Fleet Fleet({Subnet, Platform + ":" + std::to_string(StorePort),
                       Platform + ":" + std::to_string(PromotionPort), Folder,
                       Daemons},
                      Log);
  // With two daemons, all connections between them and all calls of the store
  // by the second one cross these links.
  std::vector<std::string> Stores;
  std::vector<std::string> Peers;
  std::vector<std::unique_ptr<review::Link>> Links;
  for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon) {
    Stores.push_back(Platform + ":" + std::to_string(StorePort));
    Peers.push_back(Subnet + "." + std::to_string(Daemon + 51));
    for (const int Offset : {0, 1}) {
      const auto Port = static_cast<std::uint16_t>(Fleet.internal() + Offset);
      Links.push_back(std::make_unique<review::Link>(Peers.back(), Port,
                                                     Fleet.ip(Daemon), Port));
    }
  }
  Links.push_back(
      std::make_unique<review::Link>(Platform, 0, Platform, StorePort));
  Stores[Cut] = Links.back()->address();
  Fleet.setProxies(Stores, Peers);

  for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon)
    Fleet.start(Daemon);
  if (!Fleet.waitUntilReady(ReadyLimit)) {
    Log.write("the daemons are not ready in time");
    Fleet.finish(review::CannotRun);
  }
  const std::string Entry = "borageridge/daemons/client_facing-zone-2";
  std::atomic<bool> Armed = review::hasTrouble();
  Registry.IsLate = [&](const review::HttpRequest &Request) {
    const bool Late = Request.Target == "/v1/kv-txn" &&
                      Request.Body.find(Entry) != std::string::npos &&
                      Armed.exchange(false);
    if (Late)
      Log.write("the store executes a write of daemon 2 late, unanswered");
    return Late;
  };
  std::this_thread::sleep_for(Milliseconds(2000));
  Fleet.signal(Cut, SIGTERM);
  Fleet.wait(Cut);
  Fleet.start(Cut);
  std::this_thread::sleep_for(SettleTime);
  if (!Fleet.waitUntilReady(ReadyLimit))
    Fleet.finish(review::CannotRun);
  const auto Entries = Registry.keys("borageridge/daemons/");
  Log.write("daemon 2 is ready; its entry is " +
            std::string(std::find(Entries.begin(), Entries.end(), Entry) ==
                                Entries.end()
                            ? "missing"
                            : "present"));

  std::atomic<bool> Done = false;
  std::thread Writer([&] {
    review::Caller Client("w", Fleet.ip(0), Fleet.frontend(), Log);
    for (unsigned Item = 0; !Done; ++Item) {
      if (Client.ask(Database, "WRITE " + std::to_string(Item) + " data")
              .Succeeded)
        Rule.acknowledge(Client.lastId());
      std::this_thread::sleep_for(StatementPause);
    }
  });
  std::thread Reader([&] {
    review::Caller Client("r", Fleet.ip(Cut), Fleet.frontend(), Log);
    Client.OnSend = [&](const std::string &Id) { Rule.sendRead(Id); };
    while (!Done) {
      Client.ask(Database, "READ 1");
      std::this_thread::sleep_for(StatementPause);
    }
  });
  std::this_thread::sleep_for(Milliseconds(2000));
  if (review::hasTrouble()) {
    Log.write("daemon 2 is cut off from the store and the other daemon");
    for (const auto &Open : Links)
      Open->setCut(true);
  }
  std::this_thread::sleep_for(Milliseconds(200));
  Members.announceDraining(Members.primary());
  std::this_thread::sleep_for(CutTime - Milliseconds(200));
  if (review::hasTrouble())
    Log.write("the cut ends");
  for (const auto &Open : Links)
    Open->setCut(false);
  std::this_thread::sleep_for(Milliseconds(3000));
  Done = true;
  Writer.join();
  Reader.join();
  Log.write(Rule.summary() + ", " + std::to_string(Promotions) + " promotions");
  if (!Rule.hasRun())
    Fleet.finish(review::CannotRun);
  Fleet.finish(Rule.isBroken() ? review::Broken : review::Held);
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
