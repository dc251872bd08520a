#ifndef BORAGERIDGE_PROXY_CONTROLLOOP_H
#define BORAGERIDGE_PROXY_CONTROLLOOP_H

#include "borageridge/InstanceList.h"
#include "borageridge/Store.h"
#include "proxy/ControlPlane.h"
#include "proxy/PeerClient.h"

#include <absl/time/clock.h>

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>

namespace borageridge::proxy {

struct LoopSettings {
  /// Longest delay of a timer of a group.
  absl::Duration Tick = absl::Milliseconds(5);
  Duration GroupRefresh = std::chrono::milliseconds(50);
  Duration ListInterval = std::chrono::seconds(1);
  Duration StoreTimeout = std::chrono::milliseconds(500);
  Duration ExchangeTimeout = std::chrono::milliseconds(500);
  /// A proxy that does not watch the store, or has no table yet, reads it this
  /// often, give or take a half.
  Duration TablePoll = std::chrono::seconds(20);
  Duration FirstTablePoll = std::chrono::milliseconds(200);
  std::uint64_t Seed = 1;
};

/// Drives a ControlPlane: one thread for timers, with the calls to store,
/// instance list and peers. Lives until the end of the process.
template <Store S, InstanceList L> class ControlLoop {
public:
  ControlLoop(LoopSettings WithSettings, ControlPlane &Plane, S &WithService,
              L &WithList, PeerClient &WithPeers)
      : Settings(WithSettings), Control(Plane), Service(WithService),
        List(WithList), Peers(WithPeers), Random(WithSettings.Seed) {}

  /// Runs until stop().
  void run() {
    while (!Stopping) {
      step(std::chrono::steady_clock::now());
      absl::SleepFor(Settings.Tick);
    }
  }

  void stop() { Stopping = true; }

private:
  void step(Time Now) {
    for (GroupHandle *Group : Control.groups())
      Group->tick();
    if (Now >= NextRefresh) {
      NextRefresh = Now + Settings.GroupRefresh;
      Control.refreshGroups(Now);
      updateWatches(Now);
    }
    if (Now >= NextList) {
      NextList = Now + jittered(Settings.ListInterval);
      pollList();
    }
    if (Now >= NextTable)
      pollTable(Now);
    exchangeWithPeers(Now);
  }

  // Spreads the calls of a fleet that was started, or lost the store, at once.
  Duration jittered(Duration Interval) {
    const auto Span = static_cast<std::uint64_t>(Interval.count());
    return Interval / 2 + Duration(static_cast<Duration::rep>(Random() % Span));
  }

  void exchangeWithPeers(Time Now) {
    const std::vector<std::string> Targets = Control.dueTargets(Now);
    if (Targets.empty())
      return;
    const peer::ExchangeRequest Request = Control.exchangeRequest(Now);
    for (const std::string &Address : Targets)
      Peers.exchange(Address, Request, Settings.ExchangeTimeout,
                     [this, Address, Now](Expected<peer::ExchangeReply> Reply) {
                       if (Reply.has_value())
                         Control.exchangeAnswered(
                             Address, Reply.value(), Now,
                             std::chrono::steady_clock::now());
                     });
  }

  void pollList() {
    List.list(Settings.StoreTimeout,
              [this](Expected<instances::ListReply> Reply) {
                if (Reply.has_value())
                  Control.instancesListed(Reply.value(),
                                          std::chrono::steady_clock::now());
              });
  }

  void pollTable(Time Now) {
    const bool HasTable = Control.tableVersion() > 0;
    NextTable =
        Now + jittered(HasTable ? Settings.TablePoll : Settings.FirstTablePoll);
    Service.read(TableKey, Settings.StoreTimeout,
                 [this, Now](Expected<StoreValue> Value) {
                   if (Value.has_value() && Value.value().Revision != 0)
                     takeTable(Value.value().Value, Now);
                 });
  }

  void takeTable(const std::string &Bytes, Time AsOf) {
    record::TableRecord Record;
    if (Record.ParseFromString(Bytes))
      (void)Control.tableFromStore(Record, AsOf,
                                   std::chrono::steady_clock::now());
  }

  void updateWatches(Time Now) {
    const bool Wanted = Control.isWatcher(Now);
    if (Wanted == (TableWatch != nullptr))
      return;
    if (!Wanted) {
      TableWatch.reset();
      GroupWatch.reset();
      return;
    }
    TableWatch = Service.watch(TableKey, 0, [this](Expected<StoreChange> Seen) {
      if (Seen.has_value() && Seen.value().Value.Revision != 0)
        takeTable(Seen.value().Value.Value, std::chrono::steady_clock::now());
    });
    GroupWatch =
        Service.watch(GroupKeys, 0, [this](Expected<StoreChange> Seen) {
          if (Seen.has_value() && Seen.value().Value.Revision != 0)
            takeGroup(Seen.value());
        });
  }

  void takeGroup(const StoreChange &Seen) {
    failover::KnownRecord Known;
    Known.Revision = Seen.Value.Revision;
    if (Known.Record.ParseFromString(Seen.Value.Value))
      Control.groupFromStore(Known, std::chrono::steady_clock::now());
  }

  static constexpr std::string_view TableKey = "table/current";
  static constexpr std::string_view GroupKeys = "group/";

  LoopSettings Settings;
  ControlPlane &Control;
  S &Service;
  L &List;
  PeerClient &Peers;
  std::mt19937_64 Random;
  std::atomic<bool> Stopping = false;
  Time NextRefresh;
  Time NextList;
  Time NextTable;
  std::unique_ptr<typename S::Watch> TableWatch;
  std::unique_ptr<typename S::Watch> GroupWatch;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_CONTROLLOOP_H
