#ifndef BORAGERIDGE_STANDINS_STORE_MEMORYSTORE_H
#define BORAGERIDGE_STANDINS_STORE_MEMORYSTORE_H

#include "borageridge/Failure.h"

#include "etcd.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::standins {

/// Why the store refuses a call.
enum class StoreError { Compacted, FutureRevision, TooLarge, DuplicateKey };

std::string_view name(StoreError Error);

/// Whether a key is in the range of a request: the key itself if the end is
/// empty, otherwise all keys from Key up to but not including End.
bool inRange(std::string_view Key, std::string_view RangeKey,
             std::string_view RangeEnd);

/// Revisioned keys and values with the rules of the etcd v3 API, in memory.
/// Not thread-safe.
class MemoryStore {
public:
  static constexpr std::size_t MaxValueBytes = std::size_t(1024) * 1024;

  /// Changes older than the last KeepRevisions are compacted.
  explicit MemoryStore(std::int64_t KeepRevisions) : Keep(KeepRevisions) {}

  Expected<etcdserverpb::RangeResponse, StoreError>
  range(const etcdserverpb::RangeRequest &Request) const;
  Expected<etcdserverpb::PutResponse, StoreError>
  put(const etcdserverpb::PutRequest &Request);
  etcdserverpb::DeleteRangeResponse
  deleteRange(const etcdserverpb::DeleteRangeRequest &Request);
  Expected<etcdserverpb::TxnResponse, StoreError>
  txn(const etcdserverpb::TxnRequest &Request);

  std::int64_t revision() const { return Revision; }
  /// Highest revision that watches and reads can no longer ask for.
  std::int64_t compactedRevision() const { return Compacted; }
  void compact(std::int64_t UpTo);

  /// Changes in a range with at least the given revision, in order. Compacted
  /// if some of them are gone.
  Expected<std::vector<etcdserverpb::Event>, StoreError>
  changes(std::string_view Key, std::string_view End, std::int64_t From) const;

private:
  using Operations =
      google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>;

  bool holds(const etcdserverpb::Compare &Condition) const;
  std::optional<StoreError> check(const Operations &Steps) const;
  void run(const Operations &Steps, etcdserverpb::TxnResponse &Reply);
  void putAt(const etcdserverpb::PutRequest &Request, std::int64_t At);
  std::int64_t deleteAt(const etcdserverpb::DeleteRangeRequest &Request,
                        std::int64_t At);
  void finishRevision(std::int64_t At);
  std::map<std::string, etcdserverpb::KeyValue> stateAt(std::int64_t At) const;

  std::int64_t Keep;
  // The first revision of an empty etcd store is 1, too.
  std::int64_t Revision = 1;
  std::int64_t Compacted = 0;
  std::map<std::string, etcdserverpb::KeyValue> Live;
  // Changes after Compacted with the state before them, oldest first.
  struct Change {
    etcdserverpb::Event Now;
    etcdserverpb::KeyValue Before;
  };
  std::deque<Change> Log;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_STORE_MEMORYSTORE_H
