#ifndef BORAGERIDGE_ADMISSION_MEMORYBUDGET_H
#define BORAGERIDGE_ADMISSION_MEMORYBUDGET_H

#include "borageridge/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace borageridge::admission {

/// Divides the memory that clients may occupy among their connections. Load:
/// many connections that each send a large message slowly or without its end,
/// or leave large values in their sessions.
class MemoryBudget {
public:
  using HolderId = std::uint64_t;

  /// Holders below this size are not counted: ordinary connections cost nothing
  /// here, and never give way.
  static constexpr std::size_t MinCounted = 8192;

  explicit MemoryBudget(std::size_t Bytes) : Limit(Bytes) {}

  /// Records what a connection holds.
  void set(HolderId Holder, std::size_t Bytes, Time Now);
  void remove(HolderId Holder);

  /// The connection to close because the budget is exceeded: that which holds
  /// most, and of equal ones that which has not changed for longest.
  std::optional<HolderId> victim() const;

  std::size_t total() const { return Total; }
  std::size_t limit() const { return Limit; }

private:
  struct Share {
    std::size_t Bytes = 0;
    Time ChangedAt;
  };
  /// Ordered by size in steps, so that nearly equal holders count as equal.
  struct Rank {
    std::size_t Step = 0;
    Duration Recency{};
    HolderId Holder = 0;
    friend bool operator<(const Rank &A, const Rank &B) {
      return std::tie(A.Step, A.Recency, A.Holder) <
             std::tie(B.Step, B.Recency, B.Holder);
    }
  };
  static Rank rankOf(HolderId Holder, const Share &Held);

  std::size_t Limit;
  std::size_t Total = 0;
  std::map<HolderId, Share> Holders;
  std::set<Rank> Ranking;
};

} // namespace borageridge::admission

#endif // BORAGERIDGE_ADMISSION_MEMORYBUDGET_H
