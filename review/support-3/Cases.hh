#pragma once

#include "Fleet.hh"

namespace review3 {

/// What each case starts from: a store, a promotion service and daemons.
struct Scene {
  Scene(std::string Folder, bool Trouble);

  /// Creates the group, writes the configuration and the settings, and waits
  /// until the script has started the daemons and all are ready.
  bool begin(Group::Options Options, int Daemons, json Routes, int MaxConns,
             Bounds Limits = {});
  /// Asks the script to send a signal to daemon N, from 1.
  void signal(int Daemon, const std::string &Name);

  std::string Folder;
  bool Trouble;
  Record Log;
  Store Registry;
  std::string Network;
  std::string Ip;
  std::unique_ptr<Group> Members;
  std::vector<DaemonPlace> Daemons;
  /// If set, answers the calls for promotions in place of the group.
  std::function<HttpAnswer(const HttpCall &)> OnCloudCall;
  int LastSignal = 0;
};

using Case = std::function<int(Scene &)>;
std::map<std::string, Case> cases();

} // namespace review3
