#ifndef BORAGERIDGE_ENTRY_CALLERLIMITS_H
#define BORAGERIDGE_ENTRY_CALLERLIMITS_H

#include "admission/MemoryBudget.h"
#include "entry/LogRateLimiter.h"
#include "entry/State.h"

#include <cstddef>
#include <map>
#include <memory>

namespace borageridge::entry {

class CallerConnection;

/// Keeps what callers occupy within the memory and the file descriptors of the
/// process. Closes the connections that exceed it.
class CallerLimits {
public:
  explicit CallerLimits(State &Shared);

  /// Whether another connection of a caller may be accepted.
  bool mayAccept(std::size_t Open, Time Now);

  /// Records what a connection holds, and closes connections while the budget
  /// is exceeded. The given one may be among them.
  void update(CallerConnection &Caller, std::size_t Bytes, Time Now);
  void remove(CallerConnection &Caller);

private:
  static admission::MemoryBudget::HolderId idOf(const CallerConnection &Caller);
  void report(std::string_view Reason, std::size_t Held, Time Now);

  State &S;
  admission::MemoryBudget Memory;
  std::size_t MaxConnections;
  std::map<admission::MemoryBudget::HolderId, std::weak_ptr<CallerConnection>>
      Holders;
  LogRateLimiter ClosedLog;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_CALLERLIMITS_H
