#include "session/TermHistory.h"

#include <algorithm>

namespace borageridge::session {

TermHistory TermHistory::fromRecord(const record::GroupRecord &Record) {
  TermHistory History;
  const int Count = Record.history_size();
  const int First = std::max(0, Count - static_cast<int>(MaxTerms));
  for (int I = First; I < Count; ++I) {
    const record::TermStart &Entry = Record.history(I);
    History.Starts.push_back(
        {Entry.term(), Entry.start_index(), Entry.start_entry_term()});
  }
  std::ranges::sort(History.Starts, {}, &Start::Number);
  return History;
}

const TermHistory::Start *TermHistory::find(Term Number) const {
  const auto Found =
      std::ranges::lower_bound(Starts, Number, {}, &Start::Number);
  return Found != Starts.end() && Found->Number == Number ? &*Found : nullptr;
}

// Follows the chain of terms whose entries are in the newest log. Comparing
// start indexes alone would be wrong: a later term that starts from a longer
// log of an older term discards all entries of the terms in between.
bool TermHistory::contains(Position Wanted) const {
  if (Wanted.Index == 0)
    return true;
  if (Starts.empty() || Wanted.EntryTerm > Starts.back().Number)
    return false;
  const Start *Current = &Starts.back();
  while (Current->Number != Wanted.EntryTerm) {
    // In a valid record a term starts from an entry of an older term. Following
    // a corrupt record could loop forever.
    if (Current->EntryTerm >= Current->Number)
      return false;
    if (Wanted.Index > Current->Index || Wanted.EntryTerm > Current->EntryTerm)
      return false;
    if (Wanted.EntryTerm == Current->EntryTerm)
      return true;
    const Start *Previous = find(Current->EntryTerm);
    if (Previous == nullptr)
      // The earlier part of the log was written in terms that are no longer
      // kept.
      return Current->EntryTerm < Starts.front().Number &&
             Wanted.Index <= Starts.front().Index;
    Current = Previous;
  }
  return true;
}

bool TermHistory::reached(Position Wanted, LogIndex Reached) const {
  return Wanted.Index <= Reached && contains(Wanted);
}

Term TermHistory::newestTerm() const {
  return Starts.empty() ? 0 : Starts.back().Number;
}

} // namespace borageridge::session
