#include "failover/SimulatedMember.h"

#include <algorithm>

namespace borageridge::failover::testing {
namespace {

void assign(endpoint::Position &To, Position From) {
  To.set_term(From.EntryTerm);
  To.set_index(From.Index);
}

} // namespace

endpoint::SealReply SimulatedMember::seal(Term Requested) {
  endpoint::SealReply Reply;
  Reply.set_accepted(Requested >= SealedTerm);
  if (!Faults.IgnoreSeal)
    SealedTerm = std::max(SealedTerm, Requested);
  Reply.set_sealed_term(std::max(SealedTerm, Requested));
  assign(*Reply.mutable_received(), last());
  return Reply;
}

endpoint::PromoteReply SimulatedMember::promote(Term Requested, Position Start,
                                                bool &BecamePrimary) {
  endpoint::PromoteReply Reply;
  const bool Already = isPrimaryOf(Requested);
  BecamePrimary = !Already && Requested >= SealedTerm &&
                  Requested > ServedTerm &&
                  (last() == Start || Faults.IgnoreSeal);
  if (BecamePrimary) {
    SealedTerm = Requested;
    ServedTerm = Requested;
    IsPrimary = true;
    Log.push_back({Requested, 0});
  }
  Reply.set_accepted(BecamePrimary || Already);
  Reply.set_sealed_term(SealedTerm);
  assign(*Reply.mutable_received(), last());
  return Reply;
}

void SimulatedMember::follow(Term Requested, const std::string &NewPrimary,
                             Position Start) {
  if (Requested < SealedTerm || Requested <= ServedTerm)
    return;
  SealedTerm = Requested;
  ServedTerm = Requested;
  IsPrimary = false;
  Primary = NewPrimary;
  if (Log.size() > Start.Index)
    Log.resize(Start.Index);
}

endpoint::MemberStatus SimulatedMember::status() const {
  endpoint::MemberStatus Status;
  Status.set_role(IsPrimary ? endpoint::ROLE_PRIMARY : endpoint::ROLE_REPLICA);
  Status.set_term(ServedTerm);
  Status.set_sealed_term(SealedTerm);
  assign(*Status.mutable_received(), last());
  assign(*Status.mutable_applied(), last());
  return Status;
}

std::optional<Position> SimulatedMember::write(Term Requested,
                                               std::uint64_t Id) {
  if (!isPrimaryOf(Requested) || SealedTerm > Requested)
    return std::nullopt;
  Log.push_back({Requested, Id});
  return last();
}

std::optional<std::vector<Entry>>
SimulatedMember::entriesAfter(Term Requested, Position After,
                              bool &Diverged) const {
  // A sealed primary still serves its log, which no longer grows.
  if (!isPrimaryOf(Requested))
    return std::nullopt;
  const bool IsPrefix =
      After.Index == 0 || (After.Index <= Log.size() &&
                           Log[After.Index - 1].WrittenTerm == After.EntryTerm);
  Diverged = !IsPrefix;
  const auto Begin =
      Log.begin() + static_cast<std::ptrdiff_t>(Diverged ? 0 : After.Index);
  return std::vector<Entry>(Begin, Log.end());
}

void SimulatedMember::replicate(Term Requested, Position After,
                                const std::vector<Entry> &Entries,
                                bool Diverged) {
  if (IsPrimary || ServedTerm != Requested || SealedTerm > Requested ||
      last() != After)
    return;
  if (Diverged)
    Log.clear();
  Log.insert(Log.end(), Entries.begin(), Entries.end());
}

bool SimulatedMember::holds(std::uint64_t Id) const {
  return std::ranges::any_of(Log, [&](const Entry &E) { return E.Id == Id; });
}

Position SimulatedMember::last() const {
  return Log.empty() ? Position{}
                     : Position{Log.back().WrittenTerm, Log.size()};
}

} // namespace borageridge::failover::testing
