#include "dispatch/testing/RandomSchedule.h"

#include <absl/strings/str_cat.h>

namespace borageridge::dispatch::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t SessionCount = 6;
constexpr Duration FaultStart = milliseconds(800);
constexpr Duration FaultEnd = seconds(4);
constexpr Duration RunEnd = seconds(16);

/// Injects a random fault every 100 to 600 ms.
class FaultInjector {
public:
  explicit FaultInjector(GroupSimulation &WithSimulation)
      : Simulation(WithSimulation) {}

  void start() {
    Simulation.after(FaultStart, [this]() { injectNext(); });
  }

private:
  void injectNext() {
    if (Simulation.elapsed() >= FaultEnd)
      return Simulation.healAll();
    injectRandomFault();
    Simulation.after(milliseconds(100 + Simulation.randomBelow(500)),
                     [this]() { injectNext(); });
  }

  int pickMember() {
    const int Primary = Simulation.currentPrimary();
    if (Primary >= 0 && Simulation.randomChance(60))
      return Primary;
    return static_cast<int>(
        Simulation.randomBelow(GroupSimulation::MemberCount));
  }

  int pickProxy() {
    return GroupSimulation::FirstProxy +
           static_cast<int>(
               Simulation.randomBelow(GroupSimulation::ProxyCount));
  }

  void injectRandomFault() {
    const int Member = pickMember();
    const int Proxy = pickProxy();
    switch (Simulation.randomBelow(17)) {
    case 0:
      return crashFor(Member, milliseconds(200 + Simulation.randomBelow(3000)));
    case 1:
      return crashFor(Proxy, milliseconds(50 + Simulation.randomBelow(800)));
    case 2:
      return Simulation.pause(Member,
                              milliseconds(100 + Simulation.randomBelow(2500)));
    case 3:
      return Simulation.pause(Proxy,
                              milliseconds(100 + Simulation.randomBelow(2500)));
    case 4:
      return Simulation.isolate(Member);
    case 5:
      return Simulation.isolateFromMembers(Member);
    case 6:
      return Simulation.cutOneWay(Member, Proxy);
    case 7:
      return Simulation.cutOneWay(Proxy, Member);
    case 8:
      return Simulation.silenceOpenConnections(Member);
    case 9:
      return Simulation.setLoss(
          static_cast<unsigned>(Simulation.randomBelow(10)));
    case 10:
      return Simulation.setSlow(Member,
                                milliseconds(Simulation.randomBelow(60)));
    case 11:
      return Simulation.setStoreLostAnswers(50);
    case 12:
      return crashFor(GroupSimulation::StoreNode,
                      milliseconds(Simulation.randomBelow(2000)));
    case 13:
      return startPlannedChange();
    case 14:
    case 15:
      return Simulation.isolateFromControl(Proxy);
    default:
      return Simulation.healAll();
    }
  }

  void crashFor(int Node, Duration For) {
    Simulation.crash(Node);
    Simulation.after(For, [this, Node]() { Simulation.restart(Node); });
  }

  void startPlannedChange() {
    Simulation.postToProxy(Simulation.randomLiveProxy(),
                           [this](GroupEngine &G, Actions &Out) {
                             G.changePrimary("", Simulation.now(), Out);
                           });
  }

  GroupSimulation &Simulation;
};

} // namespace

std::string describeFailure(const SessionReport &Report) {
  if (Report.Unfinished > 0)
    return absl::StrCat(Report.Unfinished,
                        " sessions have an unfinished operation");
  if (Report.NoPrimary)
    return "no primary after the faults had stopped";
  if (!Report.Violations.empty()) {
    const load::Violation &First = Report.Violations.front();
    return absl::StrCat(std::string(load::name(First.Kind)), " in session ",
                        First.Session, ": ", First.Detail);
  }
  return "";
}

ScheduleResult runSchedule(std::uint64_t Seed, const InjectedBugs &Bugs,
                           Duration MaxDelay) {
  SimulationSettings Settings;
  Settings.Seed = Seed;
  Settings.Bugs = Bugs;
  Settings.MaxDelay = MaxDelay;
  Settings.Table = sessionTable();
  GroupSimulation Simulation(Settings);
  Simulation.setApplyLag(milliseconds(Simulation.randomBelow(120)));
  FakeSessions Sessions(Simulation, SessionCount);
  FaultInjector Faults(Simulation);
  Faults.start();
  Simulation.runUntil(FaultEnd + seconds(2));
  Sessions.stop();
  Simulation.runUntil(RunEnd);
  ScheduleResult Result;
  Result.Report = Sessions.report();
  Result.Terms = Simulation.terms();
  Result.Pings = Simulation.pingsSent();
  Result.Failure = describeFailure(Result.Report);
  Result.Trace = Simulation.describe();
  return Result;
}

} // namespace borageridge::dispatch::testing
