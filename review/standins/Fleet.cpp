#include "Fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review {
namespace {

// The command under "run" in deploy/system.toml.
constexpr const char *Program = "target/bin/borageridge-entry";
constexpr const char *MetricsOption = "--metrics-port";
constexpr const char *MetricsPort = "9464";
constexpr Milliseconds PollInterval(50);

} // namespace

// The ports are the same on all machines.
Fleet::Fleet(Settings Wanted, Record &Output)
    : Given(std::move(Wanted)), Log(Output), Processes(Given.Daemons, 0) {
  Frontend = freePort(ip(0));
  Readiness = freePort(ip(0));
  Control = freePort(ip(0));
  Internal = freePort(ip(0));
}

Fleet::~Fleet() { stopAll(); }

void Fleet::stopAll() {
  for (pid_t &Process : Processes)
    if (Process > 0) {
      kill(Process, SIGCONT);
      kill(Process, SIGKILL);
      waitpid(Process, nullptr, 0);
      Process = 0;
    }
}

void Fleet::finish(int Result) {
  stopAll();
  std::_Exit(Result);
}

std::string Fleet::ip(std::size_t Daemon) const {
  return Given.Subnet + "." + std::to_string(Daemon + 1);
}

void Fleet::setProxies(std::vector<std::string> Stores,
                       std::vector<std::string> Peers) {
  StoreProxies = std::move(Stores);
  PeerProxies = std::move(Peers);
}

void Fleet::writeSettings(std::size_t Daemon) const {
  const std::string Ip = ip(Daemon);
  const std::string Advertised = PeerProxies.empty() ? Ip : PeerProxies[Daemon];
  const std::string Store =
      StoreProxies.empty() ? Given.Store : StoreProxies[Daemon];
  const auto At = [&](std::uint16_t Port) {
    return "\"" + Ip + ":" + std::to_string(Port) + "\"\n";
  };
  std::ofstream Out(Given.Folder + "/" + std::to_string(Daemon) + ".toml");
  Out << "node_name = \"client_facing-zone-" << Daemon + 1 << "\"\n"
      << "role = \"entry\"\nmachine_class = \"client_facing\"\n"
      << "serves = [\"client_facing\", \"control_plane\"]\n"
      << "ip = \"" << Advertised << "\"\nzone = \"zone-" << Daemon + 1 << "\"\n"
      << "region = \"region\"\ninternal_ports = [" << Internal << ", "
      << Internal + 15 << "]\nseeds = ["
      << "\"" << ip(0) << ":" << Control
      << "\"]\nbootstrap = true\ncounts_as_loss = false\n"
      << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
      << "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", "
         "\"sql\", \"platform\"]\n"
      << "[listen_addrs]\nfrontend = " << At(Frontend)
      << "readiness = " << At(Readiness) << "control = " << At(Control)
      << "[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\n"
      << "max_fds = 4300\nlink_mbps = 1000.0\ndisk_mb = 0\n"
      << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
      << "stable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n"
      << "drain_ms = 7000\ngrace_s = 6\nlost_slack_ms = 200\n"
      << "config_ms = 3000\nback_ms = 250\nmax_skew_ms = 12000\n"
      << "recovery_s = 12\nrequire_fencing = false\nthaw_slack_ms = 300\n"
      << "[platform]\naddress = \"" << Store << "\"\nform = \"kv\"\n"
      << "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
      << "value_bytes = 1048576\nttl_min_ms = 1000\n"
      << "[cloud_api]\naddress = \"" << Given.Promotion << "\"\n"
      << "rate_per_s = 50.0\nduties = [\"promotion\"]\nduty_per_s = 50.0\n";
}

void Fleet::start(std::size_t Daemon) {
  writeSettings(Daemon);
  const std::string Base = Given.Folder + "/" + std::to_string(Daemon);
  const std::string Settings = Base + ".toml";
  const std::string Output = Base + ".log";
  const pid_t Child = fork();
  if (Child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BORAGERIDGE_BOOT", Settings.c_str(), 1);
    const int Fd =
        open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(Fd, STDOUT_FILENO);
    dup2(Fd, STDERR_FILENO);
    execl(Program, Program, MetricsOption, MetricsPort, nullptr);
    _exit(127);
  }
  Processes[Daemon] = Child;
  Log.write("daemon " + std::to_string(Daemon + 1) + " started");
}

void Fleet::signal(std::size_t Daemon, int Number) {
  if (Processes[Daemon] > 0)
    kill(Processes[Daemon], Number);
  Log.write("daemon " + std::to_string(Daemon + 1) + " gets signal " +
            std::to_string(Number));
}

void Fleet::wait(std::size_t Daemon) {
  if (Processes[Daemon] > 0)
    waitpid(Processes[Daemon], nullptr, 0);
  Processes[Daemon] = 0;
  Log.write("daemon " + std::to_string(Daemon + 1) + " has ended");
}

bool Fleet::waitUntilReady(Milliseconds Limit) {
  constexpr int Ready = 200;
  const Clock::time_point End = Clock::now() + Limit;
  for (std::size_t Daemon = 0; Daemon < Given.Daemons;) {
    if (httpStatus(ip(Daemon), Readiness, "/v1/readyz") == Ready)
      ++Daemon;
    else if (Clock::now() > End)
      return false;
    else
      std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace review
