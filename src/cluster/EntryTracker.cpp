#include "cluster/EntryTracker.h"

#include <set>
#include <string_view>

namespace borageridge::cluster {
namespace {

// Longer than any read is old; an absent entry need not be told apart from an
// old read of it any more.
constexpr Duration AbsentMemory = std::chrono::seconds(60);

} // namespace

EntryTracker::Difference EntryTracker::update(const keyvalue::RangePage &Read,
                                              Time Now) {
  Difference Result;
  std::set<std::string_view> Present;
  for (const keyvalue::Item &Item : Read.Items) {
    Present.insert(Item.Key);
    Entry &E = Known[Item.Key];
    E.SeenAt = Now;
    const bool IsBack = E.Absent && Item.ModRevision == E.Changed;
    if (Item.ModRevision <= E.Changed && !IsBack)
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
    const bool Forget = E.Absent && Now - E.SeenAt > AbsentMemory;
    It = Forget ? Known.erase(It) : std::next(It);
  }
  return Result;
}

} // namespace borageridge::cluster
