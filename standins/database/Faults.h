#ifndef BORAGERIDGE_DATABASE_FAULTS_H
#define BORAGERIDGE_DATABASE_FAULTS_H

#include "borageridge/Types.h"

#include "control.pb.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace borageridge::database {

/// The fault switches of a member. Thread-safe.
class Faults {
public:
  /// Takes over the fields that are set.
  void set(const control::Faults &Change) {
    const auto Take = [](auto &Field, bool Set, auto Value) {
      if (Set)
        Field = Value;
    };
    Take(DelayMs, Change.has_delay_ms(), Change.delay_ms());
    Take(IsDown, Change.has_down(), Change.down());
    Take(IsCutOff, Change.has_cut_off(), Change.cut_off());
    Take(IsCutOffFromMembers, Change.has_cut_off_from_members(),
         Change.cut_off_from_members());
    Take(AnswersToLose, Change.has_lose_answers(), Change.lose_answers());
    Take(ApplyLagMs, Change.has_apply_lag_ms(), Change.apply_lag_ms());
    Take(ReceiveLagMs, Change.has_receive_lag_ms(), Change.receive_lag_ms());
    Take(StatementDelayMs, Change.has_statement_delay_ms(),
         Change.statement_delay_ms());
    Take(IsLeaving, Change.has_leaving(), Change.leaving());
    if (Change.silence_open_connections())
      ++Generation;
  }

  Duration answerDelay() const { return milliseconds(DelayMs); }
  Duration applyLag() const { return milliseconds(ApplyLagMs); }
  Duration receiveLag() const { return milliseconds(ReceiveLagMs); }
  Duration statementDelay() const { return milliseconds(StatementDelayMs); }
  bool down() const { return IsDown; }
  bool cutOff() const { return IsCutOff; }
  bool cutOffFromMembers() const { return IsCutOff || IsCutOffFromMembers; }
  bool leaving() const { return IsLeaving; }

  /// A stream remembers the generation in which it was opened. It is silent if
  /// that is not the present one.
  std::uint64_t generation() const { return Generation; }

  /// Whether the answer of this write is to be lost; counts it.
  bool takeLostAnswer() {
    std::uint32_t Left = AnswersToLose;
    while (Left > 0)
      if (AnswersToLose.compare_exchange_weak(Left, Left - 1))
        return true;
    return false;
  }

private:
  static Duration milliseconds(std::uint32_t Count) {
    return std::chrono::milliseconds(Count);
  }

  std::atomic<std::uint32_t> DelayMs = 0;
  std::atomic<std::uint32_t> ApplyLagMs = 0;
  std::atomic<std::uint32_t> ReceiveLagMs = 0;
  std::atomic<std::uint32_t> StatementDelayMs = 0;
  std::atomic<std::uint32_t> AnswersToLose = 0;
  std::atomic<bool> IsDown = false;
  std::atomic<bool> IsCutOff = false;
  std::atomic<bool> IsCutOffFromMembers = false;
  std::atomic<bool> IsLeaving = false;
  std::atomic<std::uint64_t> Generation = 0;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_FAULTS_H
