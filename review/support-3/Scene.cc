#include "Cases.hh"

#include <cstdlib>
#include <unistd.h>

namespace review3 {

Scene::Scene(std::string Where, bool HasTrouble)
    : Folder(std::move(Where)), Trouble(HasTrouble),
      Log(Folder + "/record.txt") {
  const int Seed = int(getpid());
  Network = "127." + std::to_string(20 + Seed / 200 % 200) + "." +
            std::to_string(1 + Seed % 200);
  Ip = Network + ".2";
}

bool Scene::begin(Group::Options Options, int Count, json Routes, int MaxConns,
                  Bounds Limits) {
  Options.Ip = Ip;
  Registry.run();
  const int StorePort = listenOn(Ip, [this](std::shared_ptr<Conn> From) {
    serveHttp(From, [this](const HttpCall &C) { return Registry.answer(C); });
  });
  const int CloudPort = listenOn(Ip, [this](std::shared_ptr<Conn> From) {
    serveHttp(From, [this](const HttpCall &C) {
      return OnCloudCall ? OnCloudCall(C) : Members->promote(C);
    });
  });
  Registry.put("op/config", configOf(7, Routes, Options.Service, MaxConns,
                                     Options.SyncReplicas)
                                .dump());
  Members = std::make_unique<Group>(Options, Registry, Log);
  Daemons =
      writeSettings(Folder, Count, Ip + ":" + std::to_string(StorePort),
                    Ip + ":" + std::to_string(CloudPort), Network, Limits);
  std::ofstream(Folder + "/settings-written") << Count << "\n";
  const bool Ready = waitReady(Daemons, 20000);
  Log.write(Ready ? "daemons are ready" : "daemons are not ready");
  return Ready;
}

// The script sends the signals, since it has started the processes.
void Scene::signal(int Daemon, const std::string &Name) {
  const std::string Path = Folder + "/signal-" + std::to_string(++LastSignal);
  std::ofstream(Path + ".part") << Name << " " << Daemon << "\n";
  std::rename((Path + ".part").c_str(), Path.c_str());
  Log.write("signal " + Name + " to daemon " + std::to_string(Daemon));
  while (access(Path.c_str(), F_OK) == 0)
    pause(5);
}

} // namespace review3
