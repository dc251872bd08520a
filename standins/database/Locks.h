#ifndef BORAGERIDGE_DATABASE_LOCKS_H
#define BORAGERIDGE_DATABASE_LOCKS_H

#include "borageridge/Types.h"
#include "database/Sqlite.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <memory>
#include <vector>

namespace borageridge::database {

/// The lock of the writing connection. Any thread may unlock it.
class WriteLock {
public:
  /// Returns false if the lock is not free within Timeout.
  bool lock(Duration Timeout) {
    const absl::MutexLock Guard(&Mutex);
    if (!Mutex.AwaitWithTimeout(absl::Condition(&Free),
                                absl::FromChrono(Timeout)))
      return false;
    Free = false;
    return true;
  }

  void unlock() {
    const absl::MutexLock Guard(&Mutex);
    Free = true;
  }

private:
  absl::Mutex Mutex;
  bool Free ABSL_GUARDED_BY(Mutex) = true;
};

/// The statements that run at the same time, each with a reading connection.
class Slots {
public:
  Slots(const std::string &Path, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Idle.push_back(std::make_unique<Sqlite>(Path, Sqlite::Access::Read));
  }

  /// Holds one slot until destroyed.
  class Use {
  public:
    explicit Use(Slots &Pool) : Owner(Pool), Connection(Pool.take()) {}
    ~Use() { Owner.put(std::move(Connection)); }
    Use(const Use &) = delete;
    Use &operator=(const Use &) = delete;
    Sqlite &reader() { return *Connection; }

  private:
    Slots &Owner;
    std::unique_ptr<Sqlite> Connection;
  };

private:
  std::unique_ptr<Sqlite> take() {
    const absl::MutexLock Guard(&Mutex);
    const auto Available = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return !Idle.empty();
    };
    Mutex.Await(absl::Condition(&Available));
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    return Connection;
  }

  void put(std::unique_ptr<Sqlite> Connection) {
    const absl::MutexLock Guard(&Mutex);
    Idle.push_back(std::move(Connection));
  }

  absl::Mutex Mutex;
  std::vector<std::unique_ptr<Sqlite>> Idle ABSL_GUARDED_BY(Mutex);
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_LOCKS_H
