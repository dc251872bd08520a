#ifndef BORAGERIDGE_CLUSTER_ENTRYTRACKER_H
#define BORAGERIDGE_CLUSTER_ENTRYTRACKER_H

#include "borageridge/Types.h"
#include "keyvalue/KeyValue.h"

#include <map>
#include <string>
#include <vector>

namespace borageridge::cluster {

/// Tracks the entries under a prefix through repeated reads that may be stale.
/// A stale read neither reverts an entry to an older version nor removes a
/// newer entry. After the store has been restored, all entries that it holds
/// count as written, and those that it lacks as absent.
class EntryTracker {
public:
  /// Changes found by a read.
  struct Difference {
    std::vector<keyvalue::Item> Written;
    /// Keys of absent entries, repeated for each read until they return.
    std::vector<std::string> Absent;
  };

  Difference update(const keyvalue::RangePage &Read, Time Now);

  /// Number of tracked entries, including absent ones.
  std::size_t size() const { return Known.size(); }

private:
  struct Entry {
    keyvalue::Revision Changed = 0;
    Time SeenAt;
    bool Absent = false;
  };
  std::map<std::string, Entry> Known;
  keyvalue::Era KnownEra = keyvalue::FirstEra;
};

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_ENTRYTRACKER_H
