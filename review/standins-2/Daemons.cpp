#include "Daemons.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <thread>

namespace standins {
namespace {

// Of each daemon: frontend, readiness, control, and the internal ports.
constexpr int FirstInternal = 3;
constexpr int InternalPorts = 4;

std::string networkOf() {
  const int Process = static_cast<int>(getpid());
  return "127." + std::to_string(20 + Process % 200) + "." +
         std::to_string(Process / 200 % 250) + ".";
}

} // namespace

std::string platformIp() { return networkOf() + "200"; }

std::string Daemons::ipOf(int Index) const {
  return networkOf() + std::to_string(10 + Index);
}

std::string Daemons::publicIpOf(int Index) const {
  return Given.Interposed ? networkOf() + std::to_string(110 + Index)
                          : ipOf(Index);
}

Daemons::Daemons(Options Wanted, Record &Output)
    : Given(std::move(Wanted)), Log(Output),
      Processes(static_cast<std::size_t>(Given.Count), -1) {
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    std::exit(2);
  Directory = Name;
  Ports = freePorts(ipOf(0), FirstInternal + InternalPorts);
  for (int I = 0; I < Given.Count; ++I) {
    std::ofstream Out(Directory + "/" + std::to_string(I) + ".toml");
    const auto Address = [&](int Of, int Port) {
      return "\"" + ipOf(Of) + ":" + std::to_string(Ports + Port) + "\"";
    };
    Out << "node_name = \"front-" << I + 1 << "\"\nrole = \"entry\"\n"
        << "machine_class = \"client_facing\"\n"
        << "serves = [\"client_facing\",\"control_plane\"]\n"
        << "ip = \"" << publicIpOf(I) << "\"\nzone = \"zone-" << I % Given.Zones
        << "\"\n"
        << "region = \"r\"\ninternal_ports = [" << Ports + FirstInternal << ","
        << Ports + FirstInternal + InternalPorts - 1 << "]\nseeds = ["
        << Address(0, 2) << "]\nbootstrap = true\ncounts_as_loss = false\n"
        << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
        << "\"sql\",\"platform\"]\n[zones]\nzone-0 = \"r\"\nzone-1 = \"r\"\n"
        << "zone-2 = \"r\"\n[listen_addrs]\nfrontend = " << Address(I, 0)
        << "\nreadiness = " << Address(I, 1) << "\ncontrol = " << Address(I, 2)
        << "\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = "
        << Given.MemoryMb << "\nmax_fds = " << Given.MaxFds
        << "\nlink_mbps = 1000.0\n"
        << "disk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 0\n"
        << "regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
        << "stable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n"
        << "drain_ms = " << Given.DrainMs << "\ngrace_s = " << Given.GraceS
        << "\nlost_slack_ms = 200\nconfig_ms = 3000\nback_ms = 250\n"
        << "max_skew_ms = 12000\nrecovery_s = 12\nrequire_fencing = false\n"
        << "thaw_slack_ms = 300\n[platform]\naddress = \"" << Given.StoreAddress
        << "\"\nform = \"kv\"\nwrites_per_s = 400\n"
        << "reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
        << "ttl_min_ms = 1000\n[cloud_api]\naddress = \""
        << Given.PromotionAddress
        << "\"\nrate_per_s = 50.0\nduties = [\"promotion\"]\n"
        << "duty_per_s = 50.0\n";
  }
  for (int I = 0; Given.Interposed && I < 2 * Given.Count; ++I)
    Proxies.push_back(std::make_unique<Proxy>(
        publicIpOf(I / 2), ipOf(I / 2),
        static_cast<std::uint16_t>(Ports + FirstInternal + I % 2)));
  for (int I = 0; I < Given.Count; ++I)
    start(I);
}

Daemons::~Daemons() {
  for (int I = 0; I < Given.Count; ++I)
    signal(I, SIGKILL);
  // Their threads run until this process ends.
  for (auto &Each : Proxies)
    static_cast<void>(Each.release());
  std::error_code Ignored;
  const char *Keep = std::getenv("KEEP_LOGS");
  if (Keep != nullptr)
    std::fprintf(stderr, "logs are in %s\n", Directory.c_str());
  else
    std::filesystem::remove_all(Directory, Ignored);
}

void Daemons::start(int Index) {
  const std::string Settings =
      Directory + "/" + std::to_string(Index) + ".toml";
  const std::string Output = Directory + "/" + std::to_string(Index) + ".log";
  const pid_t Child = fork();
  if (Child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Fd = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Fd, STDOUT_FILENO);
    dup2(Fd, STDERR_FILENO);
    setenv("BORAGERIDGE_BOOT", Settings.c_str(), 1);
    execl("target/bin/borageridge-entry", "target/bin/borageridge-entry",
          "--metrics-port", "9464", static_cast<char *>(nullptr));
    _exit(2);
  }
  Processes[static_cast<std::size_t>(Index)] = Child;
  Log.write("front-" + std::to_string(Index + 1) + " is started");
}

void Daemons::signal(int Index, int Number) {
  pid_t &Process = Processes[static_cast<std::size_t>(Index)];
  if (Process <= 0)
    return;
  kill(Process, Number);
  Log.write("front-" + std::to_string(Index + 1) + " gets signal " +
            std::to_string(Number));
  if (Number != SIGKILL)
    return;
  waitpid(Process, nullptr, 0);
  Process = -1;
}

bool Daemons::hasEnded(int Index) {
  pid_t &Process = Processes[static_cast<std::size_t>(Index)];
  if (Process <= 0)
    return true;
  int Status = 0;
  if (waitpid(Process, &Status, WNOHANG) != Process)
    return false;
  Process = -1;
  return true;
}

int Daemons::memoryMb(int Index) {
  const pid_t Process = Processes[static_cast<std::size_t>(Index)];
  if (Process <= 0)
    return 0;
  std::ifstream In("/proc/" + std::to_string(Process) + "/statm");
  long Size = 0;
  long Resident = 0;
  In >> Size >> Resident;
  return static_cast<int>(Resident * sysconf(_SC_PAGESIZE) / (1 << 20));
}

bool Daemons::isReady(int Index) {
  Stream To = connectTo(ipOf(Index), static_cast<std::uint16_t>(Ports + 1));
  if (!To.send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  const auto Line = To.readLine(Milliseconds(500));
  return Line && Line->find(" 200") != std::string::npos;
}

bool Daemons::waitUntilReady(Milliseconds Limit) {
  const auto Deadline = Clock::now() + Limit;
  for (int I = 0; I < Given.Count; ++I)
    while (!isReady(I)) {
      if (Clock::now() > Deadline)
        return false;
      std::this_thread::sleep_for(Milliseconds(50));
    }
  return true;
}

Stream Daemons::connect(int Index) { return connectTo(ipOf(Index), Ports); }

} // namespace standins
