#include "dispatch/testing/FaultMatrix.h"

#include "dispatch/testing/FakeSessions.h"
#include "dispatch/testing/RandomSchedule.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t SessionCount = 5;
// All sessions have started by then.
constexpr Duration FaultsEnabledAt = milliseconds(1000);
constexpr Duration ChangeStart = milliseconds(1200);
constexpr Duration FaultDuration = milliseconds(1500);
constexpr Duration SecondFaultDelay = milliseconds(20);
constexpr Duration TrafficEnd = seconds(5);
constexpr Duration RunEnd = seconds(14);

constexpr std::array<std::string_view, FaultCount> FaultNames = {
    "crash_proxy",
    "crash_member",
    "crash_store",
    "pause_proxy",
    "pause_member",
    "pause_store",
    "cut_proxy_from_member",
    "cut_member_from_proxy",
    "isolate_proxy",
    "isolate_member",
    "isolate_member_from_members",
    "silence_connections",
    "slow_member",
    "lose_store_answers",
    "lose_messages",
    "competing_change"};

// These steps are reached only during a change of primary.
bool isChangeStep(ProtocolStep Step) {
  return Step >= ProtocolStep::SealingSwapped;
}

void injectFault(GroupSimulation &Simulation, Fault F, int Proxy, int Member) {
  const int ProxyNode = GroupSimulation::FirstProxy + Proxy;
  switch (F) {
  case Fault::CrashProxy:
    return Simulation.crash(ProxyNode);
  case Fault::CrashMember:
    return Simulation.crash(Member);
  case Fault::CrashStore:
    return Simulation.crash(GroupSimulation::StoreNode);
  case Fault::PauseProxy:
    return Simulation.pause(ProxyNode, FaultDuration);
  case Fault::PauseMember:
    return Simulation.pause(Member, FaultDuration);
  case Fault::PauseStore:
    return Simulation.pause(GroupSimulation::StoreNode, FaultDuration);
  case Fault::CutProxyFromMember:
    return Simulation.cutOneWay(ProxyNode, Member);
  case Fault::CutMemberFromProxy:
    return Simulation.cutOneWay(Member, ProxyNode);
  case Fault::IsolateProxy:
    return Simulation.isolate(ProxyNode);
  case Fault::IsolateMember:
    return Simulation.isolate(Member);
  case Fault::IsolateMemberFromMembers:
    return Simulation.isolateFromMembers(Member);
  case Fault::SilenceConnections:
    return Simulation.silenceOpenConnections(Member);
  case Fault::SlowMember:
    return Simulation.setSlow(Member, milliseconds(40));
  case Fault::LoseStoreAnswers:
    return Simulation.setStoreLostAnswers(100);
  case Fault::LoseMessages:
    return Simulation.setLoss(10);
  case Fault::CompetingChange:
    return Simulation.postToProxy((Proxy + 1) % GroupSimulation::ProxyCount,
                                  [&Simulation](GroupEngine &G, Actions &Out) {
                                    G.changePrimary("", Simulation.now(), Out);
                                  });
  }
}

void startChange(GroupSimulation &Simulation, std::uint64_t Seed) {
  Simulation.after(ChangeStart, [&Simulation, Seed]() {
    const int Primary = Simulation.currentPrimary();
    if (Seed % 2 == 0 && Primary >= 0)
      return Simulation.crash(Primary);
    Simulation.postToProxy(Simulation.randomLiveProxy(),
                           [&Simulation](GroupEngine &G, Actions &Out) {
                             G.changePrimary("", Simulation.now(), Out);
                           });
  });
}

// Drops all messages from the primary to the proxies, so that the outcome of
// writes becomes uncertain and sessions settle them.
void loseReplies(GroupSimulation &Simulation) {
  Simulation.after(FaultsEnabledAt, [&Simulation]() {
    const int Primary = std::max(Simulation.currentPrimary(), 0);
    for (int P = 0; P < GroupSimulation::ProxyCount; ++P)
      Simulation.cutOneWay(Primary, GroupSimulation::FirstProxy + P);
  });
  Simulation.after(FaultsEnabledAt + FaultDuration / 2,
                   [&Simulation]() { Simulation.healAll(); });
}

} // namespace

std::string_view name(Fault F) {
  return FaultNames[static_cast<std::size_t>(F)];
}

std::string_view invariantOf(ProtocolStep Step) {
  switch (Step) {
  case ProtocolStep::ReadSent:
  case ProtocolStep::ReadReplied:
    return "P1";
  case ProtocolStep::WriteSent:
  case ProtocolStep::WriteReplied:
    return "P6";
  case ProtocolStep::BeginSent:
  case ProtocolStep::StatementSent:
    return "P3";
  case ProtocolStep::CommitSent:
  case ProtocolStep::CommitReplied:
    return "P6";
  case ProtocolStep::SettleSent:
    return "P5";
  case ProtocolStep::Answered:
    return "P4";
  default:
    return "P2";
  }
}

std::vector<Cell> allCells() {
  std::vector<Cell> Cells;
  for (std::size_t S = 0; S < ProtocolStepCount; ++S)
    for (std::size_t F = 0; F < FaultCount; ++F)
      for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
        Cells.push_back({static_cast<ProtocolStep>(S), static_cast<Fault>(F),
                         static_cast<Fault>(F), Seed});
  for (const ProtocolStep Step :
       {ProtocolStep::WriteReplied, ProtocolStep::CommitSent,
        ProtocolStep::SealingSwapped, ProtocolStep::PromoteSent})
    for (std::size_t F = 0; F < FaultCount; ++F)
      for (std::size_t G = 0; G < FaultCount; ++G)
        if (F != G)
          Cells.push_back(
              {Step, static_cast<Fault>(F), static_cast<Fault>(G), F + G});
  return Cells;
}

std::string describe(const Cell &C) {
  return absl::StrCat(std::string(name(C.Step)), " ",
                      std::string(name(C.First)), " ",
                      std::string(name(C.Second)), " seed ", C.Seed);
}

CellResult runCell(const Cell &C) {
  SimulationSettings Settings;
  Settings.Seed = C.Seed * 1000 + static_cast<std::uint64_t>(C.Step) * 31 +
                  static_cast<std::uint64_t>(C.First);
  Settings.Table = sessionTable();
  GroupSimulation Simulation(Settings);
  FakeSessions Sessions(Simulation, SessionCount);
  CellResult Result;
  Simulation.onStep([&](ProtocolStep Step, int Proxy, int Member) {
    if (Result.Reached || Step != C.Step ||
        Simulation.elapsed() < FaultsEnabledAt)
      return;
    Result.Reached = true;
    // The fault takes effect after the step.
    Simulation.after(Duration::zero(), [&Simulation, &C, Proxy, Member]() {
      injectFault(Simulation, C.First, Proxy, Member);
    });
    if (C.Second != C.First)
      Simulation.after(SecondFaultDelay, [&Simulation, &C, Proxy, Member]() {
        injectFault(Simulation, C.Second, Proxy, Member);
      });
    Simulation.after(FaultDuration, [&Simulation]() { Simulation.healAll(); });
  });
  if (isChangeStep(C.Step))
    startChange(Simulation, C.Seed);
  if (C.Step == ProtocolStep::SettleSent)
    loseReplies(Simulation);
  Simulation.runUntil(TrafficEnd);
  Simulation.healAll();
  Sessions.stop();
  Simulation.runUntil(RunEnd);
  Result.Failure = describeFailure(Sessions.report());
  Result.Trace = Simulation.describe();
  return Result;
}

} // namespace borageridge::dispatch::testing
