// The rules of a member for terms and for its log as a replica.

#include "database/Member.h"

#include <algorithm>
#include <limits>

namespace borageridge::database {

namespace {

// Entries applied in one transaction, during which reads see the state before.
constexpr std::size_t ApplyBatch = 64;

} // namespace

endpoint::SealReply Member::seal(Term Sealed) {
  endpoint::SealReply Answer;
  std::shared_ptr<OpenTransaction> Ended;
  {
    const absl::MutexLock Guard(&Mutex);
    Answer.set_accepted(Sealed >= Log.state().Sealed);
    Ended = raiseSeal(Sealed);
    Answer.set_sealed_term(Log.state().Sealed);
    *Answer.mutable_received() = toProto(Log.last());
  }
  if (Ended)
    requestEnd(Ended, endpoint::ENDPOINT_ERROR_WRONG_TERM);
  OnChange();
  return Answer;
}

// Commits take the state lock too, so none of a lower term follows. Returns the
// open transaction if it has to end.
std::shared_ptr<OpenTransaction> Member::raiseSeal(Term Sealed) {
  MemberState State = Log.state();
  if (Sealed > State.Sealed) {
    State.Sealed = Sealed;
    Log.setState(State);
  }
  const bool Ends = Current && Current->ServedTerm < Log.state().Sealed;
  return Ends ? Current : nullptr;
}

endpoint::PromoteReply
Member::promote(const endpoint::PromoteRequest &Request) {
  std::shared_ptr<OpenTransaction> Ended;
  bool Accepted = false;
  {
    const absl::MutexLock Guard(&Mutex);
    Accepted = promotable(Request);
    if (Accepted)
      Ended = raiseSeal(Request.term());
  }
  if (Ended)
    requestEnd(Ended, endpoint::ENDPOINT_ERROR_WRONG_TERM);
  if (Accepted) {
    // The seal keeps the log as it is while its rest is applied.
    while (apply(Time::max()) > 0)
      ;
    Accepted = startTerm(Request);
    OnChange();
  }
  const absl::MutexLock Guard(&Mutex);
  endpoint::PromoteReply Answer;
  Answer.set_accepted(Accepted);
  Answer.set_sealed_term(Log.state().Sealed);
  *Answer.mutable_received() = toProto(Log.last());
  return Answer;
}

bool Member::promotable(const endpoint::PromoteRequest &Request) const {
  const MemberState &State = Log.state();
  if (State.Sealed > Request.term())
    return false;
  if (State.Served == Request.term())
    return State.Role == endpoint::ROLE_PRIMARY;
  return State.Served < Request.term() &&
         Log.last() == fromProto(Request.start());
}

bool Member::startTerm(const endpoint::PromoteRequest &Request) {
  if (!Lock.lock(Options.LockTimeout))
    return false;
  bool Started = false;
  {
    const absl::MutexLock Guard(&Mutex);
    MemberState State = Log.state();
    Started = promotable(Request);
    const bool Already = State.Served == Request.term();
    if (Started && !Already) {
      State.Served = Request.term();
      State.Role = endpoint::ROLE_PRIMARY;
      State.PrimaryAddress.clear();
      const borageridge::Position First{State.Served, Log.last().Index + 1};
      endpoint::LogEntry Entry;
      *Entry.mutable_position() = toProto(First);
      Log.append(Entry, State);
      Writer.run("BEGIN IMMEDIATE");
      setAppliedPosition(Writer, First);
      Writer.run("COMMIT");
      Applied = First;
      ReceivedAt.clear();
    }
  }
  Lock.unlock();
  return Started;
}

endpoint::FollowReply Member::follow(const endpoint::FollowRequest &Request) {
  endpoint::FollowReply Answer;
  std::shared_ptr<OpenTransaction> Ended;
  {
    const absl::MutexLock Guard(&Mutex);
    Answer.set_accepted(followable(Request));
    if (Answer.accepted()) {
      const Term Sealed = std::max(Log.state().Sealed, Request.term());
      Log.setState({Request.term(), Sealed, endpoint::ROLE_REPLICA,
                    Request.primary_address()});
      Ended = Current;
    }
    Answer.set_sealed_term(Log.state().Sealed);
  }
  if (Ended)
    requestEnd(Ended, endpoint::ENDPOINT_ERROR_WRONG_TERM);
  OnChange();
  return Answer;
}

bool Member::followable(const endpoint::FollowRequest &Request) const {
  const MemberState &State = Log.state();
  if (Request.term() == 0 || State.Sealed > Request.term() ||
      State.Served > Request.term())
    return false;
  return State.Served < Request.term() || State.Role == endpoint::ROLE_REPLICA;
}

endpoint::MemberStatus Member::status() const {
  endpoint::MemberStatus Status;
  const absl::MutexLock Guard(&Mutex);
  const MemberState &State = Log.state();
  const bool SealedPrimary =
      State.Role == endpoint::ROLE_PRIMARY && serving() == 0;
  Status.set_role(SealedPrimary ? endpoint::ROLE_UNSPECIFIED : State.Role);
  Status.set_term(serving());
  Status.set_sealed_term(State.Sealed);
  *Status.mutable_received() = toProto(Log.last());
  *Status.mutable_applied() = toProto(Applied);
  return Status;
}

std::uint64_t Member::servedTerm() const {
  const absl::MutexLock Guard(&Mutex);
  return Log.state().Served;
}

borageridge::Position Member::received() const {
  const absl::MutexLock Guard(&Mutex);
  return Log.last();
}

Expected<std::vector<endpoint::LogEntry>>
Member::entriesFor(Term ServedTerm, borageridge::Position After,
                   std::size_t Limit) {
  const absl::MutexLock Guard(&Mutex);
  if (ServedTerm == 0 || !servesWrites(ServedTerm))
    return Failure{FailureKind::Conflict, "not the primary of this term"};
  std::vector<endpoint::LogEntry> Entries;
  if (Log.contains(After)) {
    if (After != Log.last())
      Entries = Log.entriesAfter(After.Index, Limit);
  } else {
    Entries.emplace_back().set_diverged(true);
    *Entries.back().mutable_position() = toProto(Log.lastWithin(After));
  }
  for (auto &Entry : Entries)
    Entry.set_term(ServedTerm);
  return Entries;
}

std::optional<FollowedPrimary> Member::followed() const {
  const absl::MutexLock Guard(&Mutex);
  const MemberState &State = Log.state();
  if (!follows(State.Served) || State.PrimaryAddress.empty())
    return std::nullopt;
  return FollowedPrimary{State.Served, State.PrimaryAddress};
}

bool Member::follows(Term ServedTerm) const {
  return ServedTerm != 0 && serving() == ServedTerm &&
         Log.state().Role == endpoint::ROLE_REPLICA;
}

bool Member::receive(Term ServedTerm,
                     std::span<const endpoint::LogEntry> Entries,
                     Time Present) {
  {
    const absl::MutexLock Guard(&Mutex);
    if (!follows(ServedTerm))
      return false;
    LogIndex Last = Log.last().Index;
    for (const auto &Entry : Entries)
      if (Entry.position().index() != ++Last)
        return false;
    Log.append(Entries);
    for (const auto &Entry : Entries)
      ReceivedAt.emplace_back(Entry.position().index(), Present);
  }
  OnChange();
  return true;
}

bool Member::discardAfter(Term ServedTerm, borageridge::Position Shared) {
  if (!Lock.lock(Options.LockTimeout))
    return false;
  bool Done = false;
  {
    const absl::MutexLock Guard(&Mutex);
    Done = follows(ServedTerm);
    if (Done) {
      const auto Kept = Log.lastWithin(Shared);
      // The data goes first: applied entries must always be in the log.
      if (Applied.Index > Kept.Index) {
        Writer.run("BEGIN IMMEDIATE");
        resetTables(Writer);
        Writer.run("COMMIT");
        Applied = {};
      }
      Log.truncateAfter(Kept);
      ReceivedAt.clear();
    }
  }
  Lock.unlock();
  OnChange();
  return Done;
}

std::size_t Member::applyDue(Time Present) {
  return apply(Present - Switches.applyLag());
}

std::size_t Member::apply(Time Latest) {
  if (dueEntries(Latest).empty() || !Lock.lock(Options.LockTimeout))
    return 0;
  const auto Entries = dueEntries(Latest);
  if (!Entries.empty()) {
    Writer.run("BEGIN IMMEDIATE");
    for (const auto &Entry : Entries)
      applyEntry(Writer, Entry, Options.RequestRetention);
    Writer.run("COMMIT");
    const absl::MutexLock Guard(&Mutex);
    Applied = fromProto(Entries.back().position());
    while (!ReceivedAt.empty() && ReceivedAt.front().first <= Applied.Index)
      ReceivedAt.pop_front();
  }
  Lock.unlock();
  if (!Entries.empty())
    OnChange();
  return Entries.size();
}

std::vector<endpoint::LogEntry> Member::dueEntries(Time Latest) {
  const absl::MutexLock Guard(&Mutex);
  if (Applied.Index == Log.last().Index)
    return {};
  LogIndex LastDue = Log.last().Index;
  const auto Late = std::ranges::find_if(ReceivedAt, [&](const auto &Received) {
    return Received.first > Applied.Index && Received.second > Latest;
  });
  if (Late != ReceivedAt.end())
    LastDue = Late->first - 1;
  if (LastDue <= Applied.Index)
    return {};
  const auto Count = std::min<std::size_t>(ApplyBatch, LastDue - Applied.Index);
  return Log.entriesAfter(Applied.Index, Count);
}

} // namespace borageridge::database
