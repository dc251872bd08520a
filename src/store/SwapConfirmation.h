#ifndef BORAGERIDGE_STORE_SWAPCONFIRMATION_H
#define BORAGERIDGE_STORE_SWAPCONFIRMATION_H

#include "borageridge/Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace borageridge::store {

/// Decides how to settle a compare-and-swap whose answer was lost. Repeating
/// the identical swap is harmless, because it compares the same revision and
/// writes the same attempt identifier. Sans-I/O.
class SwapConfirmation {
public:
  enum class Step { Swap, ReadBack, Done };

  /// Swaps is the largest number of swaps, at least 1.
  explicit SwapConfirmation(int Swaps) : SwapsLeft(Swaps) {}

  Step step() const { return Next; }
  void onSwap(const Expected<std::int64_t> &Answer);
  /// Own tells if the value read back carries the attempt identifier.
  void onReadBack(const Expected<StoreValue> &Answer, bool Own);
  /// The revision of the swap. Conflict if it did not and will not take
  /// effect; Unknown if that could not be found out. Only valid at Done.
  const Expected<std::int64_t> &outcome() const { return *Outcome; }

private:
  void finish(Expected<std::int64_t> Answer);

  Step Next = Step::Swap;
  int SwapsLeft;
  // An earlier swap may have taken effect.
  bool Uncertain = false;
  // A swap met another revision, so no swap can take effect any more.
  bool Superseded = false;
  std::optional<Expected<std::int64_t>> Outcome;
};

/// A compare-and-swap with the evidence of its success.
struct SwapPlan {
  std::string Key;
  std::int64_t Revision = 0;
  std::vector<StoreWrite> Writes;
  /// One of the written keys. Best is one that later swaps do not overwrite;
  /// otherwise a success that was overwritten at once looks like a conflict.
  std::string EvidenceKey;
  /// Whether a value of EvidenceKey carries the plan's attempt identifier.
  std::function<bool(std::string_view)> IsOwn;
  /// For each single call.
  Duration Timeout{};
  int Swaps = 3;
};

namespace detail {

template <Store S>
class SwapRunner : public std::enable_shared_from_this<SwapRunner<S>> {
public:
  SwapRunner(S &SwapService, SwapPlan SwapOf, SwapCallback Done)
      : Service(SwapService), Plan(std::move(SwapOf)), OnSwap(std::move(Done)),
        Decision(Plan.Swaps) {}

  void run() {
    switch (Decision.step()) {
    case SwapConfirmation::Step::Swap:
      return swap();
    case SwapConfirmation::Step::ReadBack:
      return readBack();
    case SwapConfirmation::Step::Done:
      return OnSwap(Decision.outcome());
    }
  }

private:
  void swap() {
    Service.compareAndSwap(Plan.Key, Plan.Revision, Plan.Writes, Plan.Timeout,
                           [Self = this->shared_from_this()](
                               const Expected<std::int64_t> &Answer) {
                             Self->Decision.onSwap(Answer);
                             Self->run();
                           });
  }

  void readBack() {
    Service.read(
        Plan.EvidenceKey, Plan.Timeout,
        [Self = this->shared_from_this()](const Expected<StoreValue> &Answer) {
          const bool Own = Answer.has_value() && Answer.value().Revision != 0 &&
                           Self->Plan.IsOwn(Answer.value().Value);
          Self->Decision.onReadBack(Answer, Own);
          Self->run();
        });
  }

  S &Service;
  const SwapPlan Plan;
  const SwapCallback OnSwap;
  SwapConfirmation Decision;
};

} // namespace detail

/// Swaps, and after a lost answer reads back and repeats, so that a caller
/// recognises its own success. OnSwap never gets Conflict for a swap that is
/// in force. The service must outlive the callback.
template <Store S>
void confirmSwap(S &Service, SwapPlan Plan, SwapCallback OnSwap) {
  std::make_shared<detail::SwapRunner<S>>(Service, std::move(Plan),
                                          std::move(OnSwap))
      ->run();
}

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_SWAPCONFIRMATION_H
