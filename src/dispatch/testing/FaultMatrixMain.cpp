// Runs the fault matrix and random schedules and prints their coverage.

#include "dispatch/testing/FaultMatrix.h"
#include "dispatch/testing/RandomSchedule.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using namespace borageridge::dispatch::testing;

struct Totals {
  std::mutex Guard;
  std::map<std::string, std::size_t> CellsByInvariant;
  std::size_t Unreached = 0;
  std::size_t Violations = 0;
  std::size_t Changes = 0;
};

// Calls Task(I) for each I below Count on several threads.
template <typename F>
void parallel(std::size_t Count, unsigned Threads, F Task) {
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Workers;
  for (unsigned T = 0; T < Threads; ++T)
    Workers.emplace_back([&]() {
      for (std::size_t I = Next++; I < Count; I = Next++)
        Task(I);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

void runCells(Totals &Sum, unsigned Threads) {
  const std::vector<Cell> Cells = allCells();
  parallel(Cells.size(), Threads, [&](std::size_t I) {
    const CellResult Result = runCell(Cells[I]);
    const std::lock_guard<std::mutex> Lock(Sum.Guard);
    if (!Result.Reached) {
      ++Sum.Unreached;
      std::cout << "not reached: " << describe(Cells[I]) << '\n';
    } else {
      ++Sum.CellsByInvariant[std::string(invariantOf(Cells[I].Step))];
    }
    if (!Result.Failure.empty()) {
      ++Sum.Violations;
      std::cout << "violation: " << describe(Cells[I]) << ": " << Result.Failure
                << '\n';
    }
  });
}

void runSchedules(Totals &Sum, std::uint64_t First, std::uint64_t Count,
                  unsigned Threads) {
  parallel(Count, Threads, [&](std::size_t I) {
    const std::uint64_t Seed = First + I;
    const ScheduleResult Result = runSchedule(Seed, {});
    const std::lock_guard<std::mutex> Lock(Sum.Guard);
    Sum.Changes += Result.Terms - 1;
    if (Result.Failure.empty())
      return;
    ++Sum.Violations;
    std::cout << "violation: schedule seed " << Seed << ": " << Result.Failure
              << '\n';
  });
}

int run(int ArgumentCount, char **Arguments) {
  CLI::App App("Fault matrix and random schedules of the dispatch engine");
  std::uint64_t First = 1;
  std::uint64_t Schedules = 10000;
  unsigned Threads = std::thread::hardware_concurrency();
  App.add_option("--first-seed", First, "First seed of the schedules");
  App.add_option("--schedules", Schedules, "Number of random schedules");
  App.add_option("--threads", Threads, "Threads");
  CLI11_PARSE(App, ArgumentCount, Arguments);

  Totals Sum;
  runCells(Sum, Threads);
  std::size_t Cells = 0;
  for (const auto &[Invariant, Count] : Sum.CellsByInvariant) {
    std::cout << "cells guarding " << Invariant << ": " << Count << '\n';
    Cells += Count;
  }
  std::cout << "cells run: " << Cells << ", not reached: " << Sum.Unreached
            << '\n';
  runSchedules(Sum, First, Schedules, Threads);
  std::cout << "schedules: " << Schedules << ", seeds " << First << " to "
            << First + Schedules - 1 << ", primary changes: " << Sum.Changes
            << '\n';
  std::cout << "violations: " << Sum.Violations << '\n';
  return Sum.Violations == 0 ? 0 : 1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "fault_matrix: %s\n", Error.what());
    return 2;
  }
}
