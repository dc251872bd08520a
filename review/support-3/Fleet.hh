// Settings of the daemons, and clients.
#pragma once

#include "Group.hh"

namespace review3 {

struct DaemonPlace {
  std::string Ip;
  int Frontend = 0;
  int Readiness = 0;
};

struct Bounds {
  int GraceS = 6;
  int DrainMs = 7000;
};

/// Writes the settings files of daemons to FOLDER/daemon-N.toml, N from 1.
inline std::vector<DaemonPlace>
writeSettings(const std::string &Folder, int Count, const std::string &Store,
              const std::string &Cloud, const std::string &Network,
              const Bounds &Limits = {}) {
  std::vector<DaemonPlace> Result;
  const std::string FirstIp = Network + ".11";
  const int Control = freePort(FirstIp);
  int Internal = freePort(FirstIp);
  while (Internal > 65000 || Internal == 0)
    Internal = freePort(FirstIp);
  for (int N = 1; N <= Count; ++N) {
    DaemonPlace At;
    At.Ip = Network + "." + std::to_string(10 + N);
    At.Frontend = freePort(At.Ip);
    At.Readiness = freePort(At.Ip);
    std::ofstream Out(Folder + "/daemon-" + std::to_string(N) + ".toml");
    Out << "node_name = \"client_facing-z-a-" << N << "\"\n"
        << "role = \"entry\"\nmachine_class = \"client_facing\"\n"
        << "serves = [\"client_facing\",\"control_plane\"]\n"
        << "ip = \"" << At.Ip << "\"\nzone = \"z-a\"\nregion = \"r-a\"\n"
        << "internal_ports = [" << Internal << "," << Internal + 15 << "]\n"
        << "seeds = [\"" << FirstIp << ":" << Control << "\"]\n"
        << "bootstrap = true\ncounts_as_loss = false\n"
        << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
        << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
           "\"sql\",\"platform\"]\n[zones]\nz-a = \"r-a\"\n[listen_addrs]\n"
        << "frontend = \"" << At.Ip << ":" << At.Frontend << "\"\n"
        << "readiness = \"" << At.Ip << ":" << At.Readiness << "\"\n"
        << "control = \"" << At.Ip << ":" << Control << "\"\n"
        << "[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\n"
           "max_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        << "[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
        << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
           "stable_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\n"
        << "drain_ms = " << Limits.DrainMs << "\ngrace_s = " << Limits.GraceS
        << "\nlost_slack_ms = 200\nconfig_ms = 3000\nback_ms = 250\n"
           "max_skew_ms = 12000\nrecovery_s = 12\nrequire_fencing = false\n"
           "thaw_slack_ms = 300\n"
        << "[platform]\naddress = \"" << Store << "\"\nform = \"kv\"\n"
        << "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
           "value_bytes = 1048576\nttl_min_ms = 1000\n"
        << "[cloud_api]\naddress = \"" << Cloud << "\"\nrate_per_s = 50.0\n"
        << "duties = [\"promotion\"]\nduty_per_s = 50.0\n";
    Result.push_back(At);
  }
  return Result;
}

inline json routeFor(const std::string &Database, const std::string &Type,
                     const std::string &Service, int TimeoutMs = 800,
                     int StaleMs = 1500) {
  json Route = {{"name", "r-" + Database},
                {"host", Database},
                {"prefix", "/"},
                {"type", Type},
                {"timeout_ms", TimeoutMs},
                {"target_latency_ms", 200},
                {"priority", 1},
                {"backend", Service},
                {"attempts", 2}};
  if (Type != "primary")
    Route["max_staleness_ms"] = StaleMs;
  return Route;
}

inline json configOf(int Version, const json &Routes,
                     const std::string &Service, int MaxConns,
                     int SyncReplicas) {
  return {{"version", Version},
          {"routes", Routes},
          {"backends", json::array({{{"name", Service},
                                     {"health_path", "/healthz"},
                                     {"max_conns", MaxConns},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"sync_replicas", SyncReplicas}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000},
            {"tx_idle_ms", 3000}}}};
}

inline bool isReady(const DaemonPlace &At) {
  const auto To = connectTo(At.Ip, At.Readiness);
  if (!To || !To->send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  const auto Line = To->line(1000);
  return Line && Line->find(" 200") != std::string::npos;
}

inline bool waitReady(const std::vector<DaemonPlace> &All, int LimitMs) {
  const auto End = Clock::now() + Ms(LimitMs);
  for (const DaemonPlace &At : All)
    while (!isReady(At)) {
      if (Clock::now() >= End)
        return false;
      pause(50);
    }
  return true;
}

/// One answer of the system.
struct Answer {
  std::vector<std::string> Rows;
  bool Success = false;
  /// The code of an error, or "none" if there was no whole answer.
  std::string Code = "none";
  std::string Detail;
  std::string State;
};

class Client {
public:
  Client(Record &Output, std::string Label)
      : Log(Output), Name(std::move(Label)) {}

  bool start(const DaemonPlace &At, const std::string &Database) {
    Pending.clear();
    Log.write("opening " + Name + " at " + At.Ip);
    Link = connectTo(At.Ip, At.Frontend);
    if (!Link || !Link->send("START " + Database + " " + Name + "\r\n"))
      return false;
    const auto Line = Link->line(2000);
    if (!Line || Line->rfind("READY I", 0) != 0) {
      Link.reset();
      return false;
    }
    return true;
  }
  bool isOpen() const { return Link != nullptr; }
  void close() {
    Log.write("closing " + Name);
    Link.reset();
  }
  Conn *link() { return Link.get(); }

  std::string send(const std::string &Text) {
    static std::atomic<std::uint64_t> Last{0};
    char Id[32];
    std::snprintf(Id, sizeof(Id), "%08llx",
                  static_cast<unsigned long long>(++Last + 0x51000000));
    Log.write("sent " + Name + " " + Id + " " + Text);
    Pending.push_back(Id);
    if (Link)
      Link->send("QUERY " + std::string(Id) + " " + Text + "\r\n");
    return Id;
  }
  Answer receive(int LimitMs) {
    Answer Result;
    while (Link) {
      const auto Line = Link->line(LimitMs);
      if (!Line) {
        Result.Code = Link->timedOut() ? "none" : "closed";
        Link.reset();
        break;
      }
      const auto Blank = Line->find(' ');
      const std::string Verb = Line->substr(0, Blank);
      const std::string Rest =
          Blank == std::string::npos ? "" : Line->substr(Blank + 1);
      if (Verb == "ROW") {
        Result.Rows.push_back(Rest);
      } else if (Verb == "COMPLETE") {
        Result.Success = true;
        Result.Code = "ok";
        Result.Detail = Rest;
      } else if (Verb == "ERROR") {
        Result.Code = Rest.substr(0, Rest.find(' '));
        Result.Detail = Rest;
      } else {
        Result.State = Rest.substr(0, 1);
        break;
      }
    }
    std::string Id = "-";
    if (!Pending.empty()) {
      Id = Pending.front();
      Pending.pop_front();
    }
    Log.write("answered " + Name + " " + Id + " " + Result.Code + " " +
              Result.Detail +
              (Result.Rows.empty() ? "" : " row " + Result.Rows.front()));
    return Result;
  }
  Answer ask(const std::string &Text, int LimitMs = 3000) {
    send(Text);
    return receive(LimitMs);
  }

private:
  Record &Log;
  std::string Name;
  std::shared_ptr<Conn> Link;
  /// Ids of statements that have not been answered.
  std::deque<std::string> Pending;
};

} // namespace review3
