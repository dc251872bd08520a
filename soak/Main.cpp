// Runs real daemons against the stand-ins of store, members and platform under
// seeded series of trouble, and checks rule ONE while it runs.
#include "Trouble.h"

#include <standins/Caller.h>
#include <standins/Options.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <sstream>

namespace {

using namespace soak;
using review::Milliseconds;

constexpr Milliseconds ReadyLimit(30000);
constexpr Milliseconds WarmUp(2000);
constexpr Milliseconds WritePause(20);
// After the trouble: promotions that are still under way take effect, then all
// writes are served again (recovery_s of the sites).
constexpr Milliseconds RecoveryTime(12000);
constexpr Milliseconds ServedTime(4000);

struct Options {
  std::string Program;
  std::string Folder;
  std::uint64_t Seed = 1;
  int Seconds = 40;
  int PromotionDelayMs = 0;
  std::size_t Daemons = 6;
  std::size_t Services = 4;
  std::string Kinds;
};

std::string serviceName(std::size_t Service) {
  return "ledger" + std::to_string(Service + 1) + "x";
}

std::string databaseName(std::size_t Service) {
  return "orders" + std::to_string(Service + 1);
}

std::string configuration(std::size_t Services) {
  nlohmann::json Routes = nlohmann::json::array();
  nlohmann::json Backends = nlohmann::json::array();
  for (std::size_t Service = 0; Service < Services; ++Service) {
    Routes.push_back({{"name", "r-" + std::to_string(Service + 1)},
                      {"host", databaseName(Service)},
                      {"prefix", "/"},
                      {"type", "primary"},
                      {"timeout_ms", 800},
                      {"target_latency_ms", 150},
                      {"priority", 1},
                      {"backend", serviceName(Service)},
                      {"attempts", 2}});
    Backends.push_back({{"name", serviceName(Service)},
                        {"health_path", "/healthz"},
                        {"max_conns", 32},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"sync_replicas", 0}});
  }
  return nlohmann::json{{"version", 1},
                        {"routes", Routes},
                        {"backends", Backends},
                        {"limits", {{"tx_idle_ms", 3000}}}}
      .dump();
}

// The fleet starts its program by this path in the present folder.
void enter(const Options &Given) {
  const std::filesystem::path Folder = Given.Folder;
  const auto Program = std::filesystem::absolute(Given.Program);
  std::filesystem::create_directories(Folder / "target/bin");
  std::filesystem::current_path(Folder);
  std::filesystem::remove("target/bin/borageridge-entry");
  std::filesystem::create_symlink(Program, "target/bin/borageridge-entry");
}

std::set<std::string> kindsOf(const std::string &Text) {
  if (Text.empty())
    return Trouble::kinds();
  std::set<std::string> Result;
  std::istringstream In(Text);
  for (std::string Kind; std::getline(In, Kind, ',');)
    Result.insert(Kind);
  return Result;
}

void run(const Options &Given) {
  enter(Given);
  review::Record Log("record.txt");
  const std::string Subnet = review::subnet();
  const std::string PlatformIp = Subnet + ".200";
  review::Store Registry;
  const std::uint16_t StorePort =
      review::listenOn(PlatformIp, 0, [&](review::Socket Accepted) {
        Registry.serve(std::move(Accepted));
      });
  Judge Rule(Given.Daemons, Given.Services, Log);
  std::vector<std::unique_ptr<Members>> Owned;
  std::vector<Members *> Groups;
  for (std::size_t Service = 0; Service < Given.Services; ++Service) {
    Owned.push_back(std::make_unique<Members>(serviceName(Service),
                                              Subnet + ".100", Registry, Log));
    Groups.push_back(Owned.back().get());
    Groups.back()->group().OnOldPrimaryCommit = [&](const std::string &Member,
                                                    const std::string &Write) {
      Rule.commitAtOldPrimary(Member, Write);
    };
  }
  Platform Promotions(Groups, Given.Seed, Log);
  const std::uint16_t PromotionPort =
      review::listenOn(PlatformIp, 0, [&](review::Socket Accepted) {
        Promotions.serve(std::move(Accepted));
      });
  Registry.put("op/config", configuration(Given.Services));
  review::Fleet Processes({Subnet, PlatformIp + ":" + std::to_string(StorePort),
                           PlatformIp + ":" + std::to_string(PromotionPort),
                           ".", Given.Daemons},
                          Log);
  Daemons Fleet(Processes, Subnet, PlatformIp, StorePort, Rule);
  if (!Fleet.startAll(ReadyLimit)) {
    std::fprintf(stderr, "the daemons are not ready in time\n");
    Processes.finish(review::CannotRun);
  }
  std::atomic<bool> Done = false;
  std::vector<std::thread> Writers;
  for (std::size_t Daemon = 0; Daemon < Given.Daemons; ++Daemon)
    for (std::size_t Service = 0; Service < Given.Services; ++Service)
      Writers.emplace_back([&, Daemon, Service] {
        review::Caller Client("c" + std::to_string(Daemon + 1) + "s" +
                                  std::to_string(Service + 1),
                              Processes.ip(Daemon), Processes.frontend(), Log);
        while (!Done) {
          if (Client.ask(databaseName(Service), "WRITE 1 data").Succeeded)
            Rule.acknowledge(Daemon, Service, Client.lastId());
          std::this_thread::sleep_for(WritePause);
        }
      });
  std::this_thread::sleep_for(WarmUp);
  Trouble Series({Groups, Fleet, Promotions, Registry, Log, Given.Seed,
                  kindsOf(Given.Kinds), Milliseconds(Given.PromotionDelayMs)});
  std::this_thread::sleep_for(std::chrono::seconds(Given.Seconds));
  Series.end();
  std::this_thread::sleep_for(RecoveryTime);
  const Clock::time_point Recovered = Clock::now();
  std::this_thread::sleep_for(ServedTime);
  const bool Served = Rule.allServedSince(Recovered);
  Done = true;
  for (std::thread &Writer : Writers)
    Writer.join();
  std::printf("seed %llu: %s%s; promotions called %zu; faults%s\n",
              static_cast<unsigned long long>(Given.Seed),
              Rule.summary().c_str(), Served ? "" : "; UNSERVED afterwards",
              Promotions.count(), Series.summary().c_str());
  std::fflush(stdout);
  Processes.finish(Rule.broken() == 0 && Served ? review::Held
                                                : review::Broken);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    Options Given;
    CLI::App App("Soak of changes of primary. Ends with 1 if a rule was "
                 "broken.");
    App.add_option("--program", Given.Program, "the entry daemon")->required();
    App.add_option("--folder", Given.Folder, "for logs")->required();
    App.add_option("--seed", Given.Seed);
    App.add_option("--seconds", Given.Seconds, "of trouble");
    App.add_option("--promotion-delay-ms", Given.PromotionDelayMs,
                   "of every call for a promotion");
    App.add_option("--daemons", Given.Daemons)->check(CLI::Range(2, 9));
    App.add_option("--services", Given.Services)->check(CLI::Range(1, 9));
    App.add_option("--kinds", Given.Kinds,
                   "kinds of trouble, separated by commas");
    CLI11_PARSE(App, Count, Arguments);
    run(Given);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
  }
  std::_Exit(review::CannotRun);
}
