#ifndef BORAGERIDGE_STORE_H
#define BORAGERIDGE_STORE_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace borageridge {

/// A value with the revision of its last write; revision 0 means no such key.
struct StoreValue {
  std::string Value;
  std::int64_t Revision = 0;
};

struct StoreWrite {
  std::string Key;
  std::string Value;
};

/// A change reported by a watch.
struct StoreChange {
  std::string Key;
  StoreValue Value;
};

using ReadCallback = std::function<void(Expected<StoreValue>)>;
/// Receives the revision of the swap. Conflict means that the key had another
/// revision; Unknown means that the swap may have taken effect.
using SwapCallback = std::function<void(Expected<std::int64_t>)>;
/// Receives each change, or a failure after which the watch reports no more.
using WatchCallback = std::function<void(Expected<StoreChange>)>;

/// The platform's key-value service. Calls are asynchronous. Callbacks run on
/// a thread of the store and must not block. Destroying the handle of a watch
/// ends it; none of its callbacks runs after that.
template <typename S>
concept Store = requires(S &Service, std::string_view Key,
                         std::int64_t Revision,
                         std::span<const StoreWrite> Writes, Duration Timeout,
                         ReadCallback OnRead, SwapCallback OnSwap,
                         WatchCallback OnChange) {
  Service.read(Key, Timeout, OnRead);
  // Writes all values if Key still has Revision.
  Service.compareAndSwap(Key, Revision, Writes, Timeout, OnSwap);
  {
    Service.watch(Key, Revision, OnChange)
    } -> std::same_as<std::unique_ptr<typename S::Watch>>;
};

} // namespace borageridge

#endif // BORAGERIDGE_STORE_H
