#ifndef BORAGERIDGE_FAILOVER_SIMULATEDMEMBER_H
#define BORAGERIDGE_FAILOVER_SIMULATEDMEMBER_H

#include "borageridge/Types.h"

#include "endpoint.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::failover::testing {

/// Injected faults that the invariant checks must detect.
struct InjectedFaults {
  /// Members answer Seal but do not enforce it.
  bool IgnoreSeal = false;
  /// A write counts as confirmed as soon as the primary has it.
  bool ConfirmAtPrimaryAlone = false;
  /// The member with the shortest sealed log becomes the candidate.
  bool ShortestCandidate = false;
  /// Entries of older terms count towards a confirmation.
  bool ConfirmWithoutTermCheck = false;
};

/// A log entry; Id 0 marks the first entry of a term.
struct Entry {
  Term WrittenTerm = 0;
  std::uint64_t Id = 0;
};

/// Member of a database group that follows the protocol in docs/design.md. All
/// of its state survives a crash.
class SimulatedMember {
public:
  SimulatedMember(std::string MemberName, const InjectedFaults &Injected)
      : Name(std::move(MemberName)), Faults(Injected) {}

  endpoint::SealReply seal(Term Requested);
  /// BecamePrimary is set if this call made the member primary.
  endpoint::PromoteReply promote(Term Requested, Position Start,
                                 bool &BecamePrimary);
  void follow(Term Requested, const std::string &NewPrimary, Position Start);
  endpoint::MemberStatus status() const;

  /// Returns the position of the write, or nothing if the member does not
  /// accept writes in the requested term.
  std::optional<Position> write(Term Requested, std::uint64_t Id);
  /// Returns the entries that a replica of the requested term lacks whose log
  /// ends at After. Diverged is set if the replica has to replace its log.
  std::optional<std::vector<Entry>> entriesAfter(Term Requested, Position After,
                                                 bool &Diverged) const;
  void replicate(Term Requested, Position After,
                 const std::vector<Entry> &Entries, bool Diverged);

  bool holds(std::uint64_t Id) const;
  Position last() const;
  bool isPrimaryOf(Term Requested) const {
    return IsPrimary && ServedTerm == Requested;
  }
  const std::vector<Entry> &log() const { return Log; }

  std::string Name;
  std::string Primary;
  bool IsPrimary = false;
  Term ServedTerm = 1;

private:
  InjectedFaults Faults;
  Term SealedTerm = 1;
  std::vector<Entry> Log;
};

} // namespace borageridge::failover::testing

#endif // BORAGERIDGE_FAILOVER_SIMULATEDMEMBER_H
