// Runs one daemon with little memory and few descriptors against a crowd of
// clients that do not behave. Checks that the process lives, stays within both
// limits, and then answers one ordinary request.
#include <standins/Caller.h>
#include <standins/Group.h>
#include <standins/Options.h>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <thread>
#include <vector>

namespace {

using review::Milliseconds;
using review::Socket;

constexpr std::size_t MemoryMegaBytes = 64;
constexpr std::size_t Descriptors = 700;
constexpr std::size_t LargeBytes = 900000;
constexpr std::size_t PieceBytes = 60000;
constexpr Milliseconds PollInterval(100);
// Longer than the time after which the daemon closes connections without a
// start message.
constexpr Milliseconds AnswerLimit(30000);

/// The daemon under test, with its settings.
class Daemon {
public:
  Daemon(const std::string &Program, const std::string &Folder,
         const std::string &OwnIp, const std::string &Store,
         const std::string &Promotion)
      : Ip(OwnIp), Frontend(review::freePort(Ip)),
        Readiness(review::freePort(Ip)) {
    const std::string Settings = Folder + "/boot.toml";
    const auto Internal = review::freePort(Ip);
    const auto At = [&](std::uint16_t Port) {
      return "\"" + Ip + ":" + std::to_string(Port) + "\"\n";
    };
    std::ofstream(Settings)
        << "node_name = \"entry-1\"\nip = \"" << Ip << "\"\nzone = \"z1\"\n"
        << "internal_ports = [" << Internal << ", " << Internal + 15 << "]\n"
        << "[listen_addrs]\nfrontend = " << At(Frontend)
        << "readiness = " << At(Readiness)
        << "[limits]\ncpu_share = 0.25\nmemory_mb = " << MemoryMegaBytes
        << "\nmax_fds = " << Descriptors
        << "\n[bounds]\ngrace_s = 6\ndrain_ms = 7000\n[platform]\naddress = \""
        << Store << "\"\nttl_min_ms = 1000\n[cloud_api]\naddress = \""
        << Promotion << "\"\n";
    Process = fork();
    if (Process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string Output = Folder + "/entry.log";
      if (std::freopen(Output.c_str(), "w", stdout) == nullptr)
        _exit(127);
      execl(Program.c_str(), Program.c_str(), "--settings", Settings.c_str(),
            nullptr);
      _exit(127);
    }
  }

  ~Daemon() {
    kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
  }

  Socket connect() const { return review::connectTo(Ip, Frontend); }
  std::uint16_t frontend() const { return Frontend; }
  const std::string &ip() const { return Ip; }

  bool isReady() const {
    return review::httpStatus(Ip, Readiness, "/v1/readyz") == 200;
  }
  bool lives() const { return waitpid(Process, nullptr, WNOHANG) == 0; }

  /// Peak of the resident memory.
  std::size_t peakKiloBytes() const {
    std::ifstream In("/proc/" + std::to_string(Process) + "/status");
    for (std::string Line; std::getline(In, Line);)
      if (Line.starts_with("VmHWM:"))
        return std::stoul(Line.substr(Line.find_first_of("0123456789")));
    return 0;
  }

  std::size_t openDescriptors() const {
    const std::filesystem::directory_iterator All(
        "/proc/" + std::to_string(Process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(All), end(All)));
  }

private:
  std::string Ip;
  std::uint16_t Frontend;
  std::uint16_t Readiness;
  pid_t Process = 0;
};

/// Sends without waiting for a peer that does not read.
void sendAvailable(const Socket &To, std::string_view Bytes) {
  ::send(To.descriptor(), Bytes.data(), Bytes.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
}

using Crowd = std::vector<Socket>;

Crowd connectAll(const Daemon &Subject, std::size_t Count) {
  Crowd Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(Subject.connect());
  return Result;
}

/// Sends the text to every client in pieces, to all of them in turn.
void sendInPieces(const Crowd &Clients, const std::string &Text) {
  for (std::size_t Sent = 0; Sent < Text.size(); Sent += PieceBytes) {
    for (const Socket &Client : Clients)
      sendAvailable(Client, std::string_view(Text).substr(Sent, PieceBytes));
    std::this_thread::sleep_for(PollInterval / 4);
  }
}

void startSessions(Crowd &Clients) {
  for (const Socket &Client : Clients)
    sendAvailable(Client, "START orders1 caller\r\n");
  for (Socket &Client : Clients)
    Client.readLine(AnswerLimit);
}

// A first line without its end.
Crowd unfinishedStarts(const Daemon &Subject) {
  Crowd Clients = connectAll(Subject, 200);
  sendInPieces(Clients, "START " + std::string(LargeBytes, 'x'));
  return Clients;
}

Crowd unfinishedStatements(const Daemon &Subject) {
  Crowd Clients = connectAll(Subject, 200);
  startSessions(Clients);
  sendInPieces(Clients, "QUERY q1 WRITE 1 " + std::string(LargeBytes, 'x'));
  return Clients;
}

Crowd tooLongLines(const Daemon &Subject) {
  Crowd Clients = connectAll(Subject, 50);
  sendInPieces(Clients, "START " + std::string(4 * LargeBytes, 'x'));
  return Clients;
}

// Values of legal size under new names.
Crowd largeValues(const Daemon &Subject) {
  Crowd Clients = connectAll(Subject, 20);
  startSessions(Clients);
  for (int I = 0; I < 10; ++I)
    sendInPieces(Clients, "QUERY q1 SET v" + std::to_string(I) + " " +
                              std::string(LargeBytes, 'x') + "\r\n");
  return Clients;
}

// Statements sent ahead whose answers nobody reads.
Crowd unreadAnswers(const Daemon &Subject) {
  Crowd Clients = connectAll(Subject, 100);
  startSessions(Clients);
  std::string Text;
  for (int I = 0; I < 200; ++I)
    Text += "QUERY q" + std::to_string(I) + " SET v " + std::string(8000, 'x') +
            "\r\n";
  sendInPieces(Clients, Text);
  return Clients;
}

Crowd manyConnections(const Daemon &Subject) {
  return connectAll(Subject, 800);
}

const std::map<std::string, std::function<Crowd(const Daemon &)>> Cases = {
    {"unfinished-starts", unfinishedStarts},
    {"unfinished-statements", unfinishedStatements},
    {"too-long-lines", tooLongLines},
    {"large-values", largeValues},
    {"unread-answers", unreadAnswers},
    {"many-connections", manyConnections}};

std::string configuration() {
  return nlohmann::json{
      {"version", 1},
      {"routes",
       {{{"name", "r-1"},
         {"host", "orders1"},
         {"type", "primary"},
         {"timeout_ms", 800},
         {"target_latency_ms", 150},
         {"backend", "ledger1x"}}}},
      {"backends", {{{"name", "ledger1x"}, {"max_conns", 32}}}},
      {"limits", {{"tx_idle_ms", 3000}}}}
      .dump();
}

/// Returns whether one ordinary request is answered.
bool isServed(const Daemon &Subject, review::Record &Log) {
  const auto End = review::Clock::now() + AnswerLimit;
  review::Caller Client("ordinary", Subject.ip(), Subject.frontend(), Log);
  while (review::Clock::now() < End) {
    if (Client.ask("orders1", "WRITE 1 data").Succeeded)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

[[noreturn]] void run(const std::string &Program, const std::string &Folder,
                      const std::string &Case) {
  std::filesystem::create_directories(Folder);
  review::Record Log(Folder + "/record.txt");
  const std::string Subnet = review::subnet();
  const std::string PlatformIp = Subnet + ".200";
  review::Store Registry;
  const auto StorePort = review::listenOn(PlatformIp, 0, [&](Socket Accepted) {
    Registry.serve(std::move(Accepted));
  });
  review::Group::Settings Wanted;
  Wanted.Service = "ledger1x";
  Wanted.Ip = Subnet + ".100";
  review::Group Members(Wanted, Registry, Log);
  const auto PromotionPort =
      review::listenOn(PlatformIp, 0, [&](Socket Accepted) {
        while (const auto Call = review::readRequest(Accepted))
          review::sendResponse(Accepted, Members.callPromotion(*Call), "{}");
      });
  Registry.put("op/config", configuration());
  Daemon Subject(Program, Folder, Subnet + ".1",
                 PlatformIp + ":" + std::to_string(StorePort),
                 PlatformIp + ":" + std::to_string(PromotionPort));
  const auto Begin = review::Clock::now();
  while (!Subject.isReady() && review::Clock::now() - Begin < AnswerLimit)
    std::this_thread::sleep_for(PollInterval);
  if (!isServed(Subject, Log)) {
    std::fprintf(stderr, "no request is answered before the crowd comes\n");
    std::_Exit(review::CannotRun);
  }
  const Crowd Clients = Cases.at(Case)(Subject);
  std::this_thread::sleep_for(10 * PollInterval);
  const bool Lives = Subject.lives();
  const std::size_t Memory = Lives ? Subject.peakKiloBytes() : 0;
  const std::size_t Open = Lives ? Subject.openDescriptors() : 0;
  const bool Served = Lives && isServed(Subject, Log);
  std::printf("%s: %s, peak %zu kB of %zu, %zu descriptors of %zu, %s\n",
              Case.c_str(), Lives ? "lives" : "ENDED", Memory,
              MemoryMegaBytes * 1024, Open, Descriptors,
              Served ? "serves" : "DOES NOT SERVE");
  std::fflush(stdout);
  const bool Held = Lives && Served && Memory <= MemoryMegaBytes * 1024 &&
                    Open <= Descriptors;
  Subject.~Daemon();
  std::_Exit(Held ? review::Held : review::Broken);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    std::string Program;
    std::string Folder;
    std::string Case;
    CLI::App App(
        "Clients that do not behave. Ends with 1 if a limit was broken.");
    App.add_option("--program", Program, "the entry daemon")->required();
    App.add_option("--folder", Folder, "for logs")->required();
    App.add_option("--case", Case, "which crowd")
        ->required()
        ->check(CLI::IsMember(Cases));
    CLI11_PARSE(App, Count, Arguments);
    run(std::filesystem::absolute(Program), Folder, Case);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
  }
  std::_Exit(review::CannotRun);
}
