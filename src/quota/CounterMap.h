#ifndef BORAGERIDGE_QUOTA_COUNTERMAP_H
#define BORAGERIDGE_QUOTA_COUNTERMAP_H

#include "cluster/Records.h"
#include "keyvalue/KeyValue.h"
#include "quota/Limits.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::quota {

/// Number of a counter; its holder is an entry in the store.
using CounterNumber = std::size_t;

/// Number of counters for this many organisations.
std::size_t counterCount(std::size_t Organisations);

/// The counters over which the limit of an organisation is split.
std::array<CounterNumber, CountersPerOrganisation>
countersOf(std::string_view Organisation, std::size_t CounterCount);

/// Position of a daemon among those that may hold the counter, 0 for the first.
/// Counters of one organisation prefer different availability zones, and
/// daemons with a larger processor share come first.
std::size_t
rankFor(CounterNumber Counter, std::string_view Daemon,
        const std::map<std::string, cluster::DaemonRecord> &Daemons);

/// The holders of the counters according to the store.
class CounterMap {
public:
  /// Applies a write or the removal of an entry. Ignores keys that name no
  /// counter.
  void apply(const keyvalue::Change &Seen);
  /// Keys of all known entries.
  std::vector<std::string> keys() const;

  /// The entry of a counter; revision 0 if it has no holder.
  const keyvalue::Item &entry(CounterNumber Counter) const;

private:
  std::map<CounterNumber, keyvalue::Item> Entries;
};

std::string counterKey(CounterNumber Counter);

} // namespace borageridge::quota

#endif // BORAGERIDGE_QUOTA_COUNTERMAP_H
