#ifndef BORAGERIDGE_CHANGE_ABSENCETRACKER_H
#define BORAGERIDGE_CHANGE_ABSENCETRACKER_H

#include "borageridge/Types.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace borageridge::change {

/// Measures since when members have had no entry in the registry without
/// interruption, as far as this daemon has read it.
template <typename Key> class AbsenceTracker {
public:
  /// To be called at short intervals. IsRegistered: whether the newest read
  /// shows the entry of a member. While the registry is unreachable, an absence
  /// shows nothing and is counted anew.
  template <typename Predicate>
  void update(const std::vector<Key> &Watched, Predicate IsRegistered,
              bool RegistryIsReachable, Time Now) {
    std::erase_if(Since, [&](const auto &Entry) {
      return std::find(Watched.begin(), Watched.end(), Entry.first) ==
             Watched.end();
    });
    for (const Key &Each : Watched) {
      if (IsRegistered(Each))
        Since.erase(Each);
      else if (!RegistryIsReachable)
        Since[Each] = Now;
      else
        Since.try_emplace(Each, Now);
    }
  }

  /// Returns the start of the absence, or none if the member is registered or
  /// not watched.
  std::optional<Time> since(const Key &Member) const {
    const auto Found = Since.find(Member);
    return Found == Since.end() ? std::nullopt : std::optional(Found->second);
  }

  bool hasLasted(const Key &Member, Duration Limit, Time Now) const {
    const std::optional<Time> Start = since(Member);
    return Start && Now - *Start >= Limit;
  }

private:
  std::map<Key, Time> Since;
};

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_ABSENCETRACKER_H
