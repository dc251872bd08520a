#ifndef BORAGERIDGE_KEYVALUE_KEYVALUE_H
#define BORAGERIDGE_KEYVALUE_KEYVALUE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::keyvalue {

/// Number of changes made to the store so far; 0 means none. After the store
/// was restored from an older copy, revisions are assigned again, so they order
/// writes only within one era.
using Revision = std::uint64_t;
/// Higher numbers are no revisions; at 1,000 writes a second they suffice for
/// 34 years.
constexpr Revision LastRevision = (Revision(1) << 40) - 1;
/// Increases each time the store is restored from an older copy.
using Era = std::uint64_t;
/// The era of a store that has never been restored, or that does not state it.
constexpr Era FirstEra = 1;
/// Higher numbers are no eras; they leave no room for revisions in an epoch.
constexpr Era LastEra = Era(1) << 24;
using LeaseId = std::uint64_t;

enum class ReadMode {
  Latest,
  /// Cheaper for the store, but may return data that is some seconds old.
  AllowStale,
};

struct Item {
  std::string Key;
  std::string Value;
  /// Revision of the last write of the key.
  Revision ModRevision = 0;
  /// Revision in which the key was created.
  Revision CreateRevision = 0;
  LeaseId Lease = 0;
};

/// A write or, if Removed, the deletion of the key in Written.
struct Change {
  Item Written;
  bool Removed = false;
};

struct RangePage {
  std::vector<Item> Items;
  bool HasMore = false;
  Revision StoreRevision = 0;
  /// Era of the revisions above.
  Era StoreEra = FirstEra;
};

/// Position from which a watch starts or continues.
struct WatchPosition {
  Era StoreEra = FirstEra;
  Revision After = 0;
};

struct WatchResult {
  std::vector<Change> Changes;
  Revision StoreRevision = 0;
  /// The store no longer has the requested history: it has compacted it, or has
  /// been restored from an older copy.
  bool Compacted = false;
};

struct Condition {
  std::string Key;
  /// Required revision of the last write; 0 means that the key must not exist.
  Revision Expected = 0;
};

struct Put {
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
};

/// Applied atomically if all conditions hold.
struct Transaction {
  /// Era of the revisions and leases named below.
  Era StoreEra = FirstEra;
  std::vector<Condition> Conditions;
  std::vector<Put> Puts;
  std::vector<std::string> Deletes;
};

struct LeaseGrant {
  LeaseId Id = 0;
  std::uint64_t TtlMs = 0;
  /// The lease ends with this era; its id may be assigned again in the next.
  Era StoreEra = FirstEra;
};

} // namespace borageridge::keyvalue

#endif // BORAGERIDGE_KEYVALUE_KEYVALUE_H
