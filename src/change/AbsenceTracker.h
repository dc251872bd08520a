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
  /// Longest time for which an entry stays after its member has ended.
  static constexpr Duration EntryLifetime = std::chrono::milliseconds(5000);

  /// To be called at short intervals. IsRegistered: whether the newest read
  /// shows the entry of a member. Answers: whether a member that had an entry a
  /// moment ago responds to this daemon. While the registry is unreachable, an
  /// absence shows nothing and is counted anew.
  template <typename Registered, typename Answering>
  void update(const std::vector<Key> &Watched, Registered IsRegistered,
              Answering Answers, bool RegistryIsReachable, Time Now) {
    if (!RegistryIsReachable && HasBeenReachable)
      UnreachableAt = Now;
    HasBeenReachable = HasBeenReachable || RegistryIsReachable;
    std::erase_if(Absences, [&](const auto &Entry) {
      return std::find(Watched.begin(), Watched.end(), Entry.first) ==
             Watched.end();
    });
    for (const Key &Each : Watched) {
      if (IsRegistered(Each)) {
        Absences.erase(Each);
        continue;
      }
      const auto [Added, IsNew] = Absences.try_emplace(Each, Now);
      Absence &Seen = Added->second;
      if (IsNew)
        Seen.MayHaveRun = UnreachableAt &&
                          Now - *UnreachableAt < EntryLifetime && Answers(Each);
      if (!RegistryIsReachable)
        Seen.CountedFrom = Now;
    }
  }

  /// Whether the member counts as ended, since it has had no entry for Limit.
  bool hasLasted(const Key &Member, Duration Limit, Time Now) const {
    const auto Found = Absences.find(Member);
    return Found != Absences.end() && Now - Found->second.CountedFrom >= Limit;
  }

  /// Returns a time at which a member that counts as ended, by this limit, had
  /// ended. An entry may expire during an outage although its member runs, so
  /// that an absence that is first seen shortly after one, of a member that
  /// responds, tells nothing yet.
  std::optional<Time> endedBy(const Key &Member, Duration Limit) const {
    const auto Found = Absences.find(Member);
    if (Found == Absences.end())
      return std::nullopt;
    const Absence &Seen = Found->second;
    return Seen.MayHaveRun ? Seen.CountedFrom + Limit : Seen.From;
  }

private:
  struct Absence {
    explicit Absence(Time Start) : From(Start), CountedFrom(Start) {}

    Time From;
    Time CountedFrom;
    /// Whether the member may have been running at From.
    bool MayHaveRun = false;
  };

  std::map<Key, Absence> Absences;
  bool HasBeenReachable = false;
  std::optional<Time> UnreachableAt;
};

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_ABSENCETRACKER_H
