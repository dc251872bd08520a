#ifndef BORAGERIDGE_KEYVALUE_KEYVALUE_H
#define BORAGERIDGE_KEYVALUE_KEYVALUE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::keyvalue {

/// Counts the changes of the store; 0 means none.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

enum class ReadMode {
  Newest,
  /// Cheaper; the state may be some seconds old.
  MayBeOld,
};

struct Item {
  std::string Key;
  std::string Value;
  /// Of the last change of the key.
  Revision Changed = 0;
  /// Of the creation of the key.
  Revision Created = 0;
  LeaseId Lease = 0;
};

/// An item as it was written, or the removal of a key.
struct Change {
  Item Written;
  bool Removed = false;
};

struct RangePage {
  std::vector<Item> Items;
  bool HasMore = false;
  Revision StoreRevision = 0;
};

struct WatchResult {
  std::vector<Change> Changes;
  Revision StoreRevision = 0;
  /// The store no longer has the history asked for.
  bool HistoryLost = false;
};

struct Condition {
  std::string Key;
  /// 0: the key does not exist.
  Revision Expected = 0;
};

struct Put {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Takes effect as a whole or not at all.
struct Transaction {
  std::vector<Condition> Conditions;
  std::vector<Put> Puts;
  std::vector<std::string> Deletes;
};

struct LeaseGrant {
  LeaseId Id = 0;
  std::uint64_t TtlMs = 0;
};

} // namespace borageridge::keyvalue

#endif // BORAGERIDGE_KEYVALUE_KEYVALUE_H
