#include "failover/RecordSteps.h"

#include "session/TermHistory.h"

#include <algorithm>

namespace borageridge::failover {
namespace {

/// Keeps only the terms that have entries in the chosen log. A term whose
/// candidate failed before it wrote an entry is removed.
void appendTerm(record::GroupRecord &Record, Position Start) {
  auto &History = *Record.mutable_history();
  while (!History.empty() && History.rbegin()->term() > Start.EntryTerm)
    History.RemoveLast();
  record::TermStart &Newest = *History.Add();
  Newest.set_term(Record.term());
  Newest.set_start_index(Start.Index);
  Newest.set_start_entry_term(Start.EntryTerm);
  Newest.set_primary(Record.primary());
  constexpr int MaxTerms = session::TermHistory::MaxTerms;
  if (History.size() > MaxTerms)
    History.DeleteSubrange(0, History.size() - MaxTerms);
}

} // namespace

record::GroupRecord sealingRecord(record::GroupRecord Record, Term Next,
                                  std::string_view Preferred) {
  Record.set_term(Next);
  Record.set_phase(record::PHASE_SEALING);
  Record.set_preferred_primary(std::string(Preferred));
  Record.set_version(Record.version() + 1);
  return Record;
}

record::GroupRecord promotingRecord(record::GroupRecord Record,
                                    const std::string &Candidate,
                                    Position Start) {
  Record.set_phase(record::PHASE_PROMOTING);
  Record.set_primary(Candidate);
  Record.set_version(Record.version() + 1);
  appendTerm(Record, Start);
  return Record;
}

record::GroupRecord activeRecord(record::GroupRecord Record) {
  Record.set_phase(record::PHASE_ACTIVE);
  Record.set_version(Record.version() + 1);
  return Record;
}

endpoint::Position startOf(const record::GroupRecord &Record) {
  endpoint::Position Result;
  if (Record.history().empty())
    return Result;
  const record::TermStart &Newest = *Record.history().rbegin();
  Result.set_term(Newest.start_entry_term());
  Result.set_index(Newest.start_index());
  return Result;
}

std::string_view addressOf(const record::GroupRecord &Record,
                           std::string_view Member) {
  const auto Found =
      std::ranges::find(Record.members(), Member, &record::Member::name);
  return Found == Record.members().end() ? std::string_view()
                                         : Found->address();
}

bool hasMember(const record::GroupRecord &Record, std::string_view Member) {
  return std::ranges::any_of(Record.members(), [&](const record::Member &M) {
    return M.name() == Member;
  });
}

} // namespace borageridge::failover
