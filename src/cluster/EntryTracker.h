#ifndef BORAGERIDGE_CLUSTER_ENTRYTRACKER_H
#define BORAGERIDGE_CLUSTER_ENTRYTRACKER_H

#include "borageridge/Types.h"
#include "keyvalue/KeyValue.h"

#include <map>
#include <string>
#include <vector>

namespace borageridge::cluster {

/// Follows the entries under a prefix by repeated reads that may show an old
/// state: an old read neither takes an entry back nor removes a newer one.
class EntryTracker {
public:
  /// What a read tells that was not known.
  struct Difference {
    std::vector<keyvalue::Item> Written;
    /// Keys whose entries are absent; told by each read until they are back.
    std::vector<std::string> Absent;
  };

  Difference update(const keyvalue::RangePage &Read, Time Now);

  /// Entries that are followed, with those that are absent.
  std::size_t size() const { return Known.size(); }

private:
  struct Entry {
    keyvalue::Revision Changed = 0;
    Time SeenAt;
    bool Absent = false;
  };
  std::map<std::string, Entry> Known;
};

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_ENTRYTRACKER_H
