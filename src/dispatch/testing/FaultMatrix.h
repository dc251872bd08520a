#ifndef BORAGERIDGE_DISPATCH_TESTING_FAULTMATRIX_H
#define BORAGERIDGE_DISPATCH_TESTING_FAULTMATRIX_H

#include "dispatch/testing/GroupSimulation.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::dispatch::testing {

/// Faults that can be injected at a protocol step.
enum class Fault {
  CrashProxy,
  CrashMember,
  CrashStore,
  PauseProxy,
  PauseMember,
  PauseStore,
  CutProxyFromMember,
  CutMemberFromProxy,
  IsolateProxy,
  IsolateMember,
  IsolateMemberFromMembers,
  SilenceConnections,
  SlowMember,
  LoseStoreAnswers,
  LoseMessages,
  CompetingChange,
};
inline constexpr std::size_t FaultCount = 16;

std::string_view name(Fault F);

/// A protocol step and the fault that is injected when the step is reached.
struct Cell {
  ProtocolStep Step = ProtocolStep::ReadSent;
  Fault First = Fault::CrashProxy;
  /// Fault injected 20 ms after First. Equal to First for a single fault.
  Fault Second = Fault::CrashProxy;
  std::uint64_t Seed = 1;
};

struct CellResult {
  /// The step was reached and the fault was injected.
  bool Reached = false;
  /// Empty if all guarantees held.
  std::string Failure;
  /// State of the group at the end, to diagnose a failure.
  std::vector<std::string> Trace;
};

/// The invariant of docs/design.md that the cell mainly guards, P1 to P9.
std::string_view invariantOf(ProtocolStep Step);

/// All single faults at all steps with two seeds each, then all pairs of faults
/// at four steps of writes, commits and changes of primary.
std::vector<Cell> allCells();

CellResult runCell(const Cell &C);

std::string describe(const Cell &C);

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_FAULTMATRIX_H
