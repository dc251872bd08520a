#include "cluster/EntryTracker.h"

#include <set>
#include <string_view>

namespace borageridge::cluster {
namespace {

// Time for which an absent entry is remembered. It exceeds the age of any stale
// read, so no later read can contain an older version of the entry.
constexpr Duration AbsentRetention = std::chrono::seconds(60);

} // namespace

EntryTracker::Difference EntryTracker::update(const keyvalue::RangePage &Read,
                                              Time Now) {
  Difference Result;
  if (Read.StoreEra != KnownEra) {
    KnownEra = Read.StoreEra;
    for (auto &[Key, E] : Known)
      E.Changed = 0;
  }
  std::set<std::string_view> Present;
  for (const keyvalue::Item &Item : Read.Items) {
    Present.insert(Item.Key);
    Entry &E = Known[Item.Key];
    E.SeenAt = Now;
    const bool HasReturned = E.Absent && Item.ModRevision == E.Changed;
    if (Item.ModRevision <= E.Changed && !HasReturned)
      continue;
    E.Changed = Item.ModRevision;
    E.Absent = false;
    Result.Written.push_back(Item);
  }
  for (auto It = Known.begin(); It != Known.end();) {
    Entry &E = It->second;
    if (!Present.contains(It->first) && E.Changed <= Read.StoreRevision) {
      E.Absent = true;
      Result.Absent.push_back(It->first);
    }
    const bool Remove = E.Absent && Now - E.SeenAt > AbsentRetention;
    It = Remove ? Known.erase(It) : std::next(It);
  }
  return Result;
}

} // namespace borageridge::cluster
