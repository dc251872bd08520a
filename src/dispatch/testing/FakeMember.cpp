#include "dispatch/testing/FakeMember.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

namespace {

std::string recordKey(const endpoint::RequestKey &Key) {
  return Key.request_id().empty() ? "" : Key.caller() + "/" + Key.request_id();
}

std::vector<std::string> split(const std::string &Statement) {
  return absl::StrSplit(Statement, ' ');
}

} // namespace

endpoint::MemberStatus FakeMember::status() const {
  endpoint::MemberStatus Status;
  Status.set_role(IsPrimary ? endpoint::ROLE_PRIMARY : endpoint::ROLE_REPLICA);
  Status.set_term(ServedTerm);
  Status.set_sealed_term(SealedTerm);
  const Position Received = positionAt(Log.size());
  Status.mutable_received()->set_term(Received.EntryTerm);
  Status.mutable_received()->set_index(Received.Index);
  if (Bugs.OverstateReceived && !IsPrimary) {
    Status.mutable_received()->set_term(ServedTerm);
    Status.mutable_received()->set_index(Received.Index + 1000);
  }
  const LogIndex Visible = Bugs.OverstateApplied ? Log.size() + 1000 : Applied;
  Status.mutable_applied()->set_term(positionAt(Applied).EntryTerm);
  Status.mutable_applied()->set_index(Visible);
  Status.set_leaving(Leaving);
  return Status;
}

endpoint::SealReply FakeMember::seal(Term NewTerm) {
  endpoint::SealReply Reply;
  Reply.set_accepted(NewTerm >= SealedTerm);
  if (NewTerm > SealedTerm && !Bugs.SkipSeal) {
    SealedTerm = NewTerm;
    if (ServedTerm < SealedTerm)
      OpenTransactions.clear();
  }
  Reply.set_sealed_term(Bugs.SkipSeal ? NewTerm : SealedTerm);
  const Position Last = positionAt(Log.size());
  Reply.mutable_received()->set_term(Last.EntryTerm);
  Reply.mutable_received()->set_index(Last.Index);
  return Reply;
}

endpoint::PromoteReply FakeMember::promote(Term NewTerm, Position Start) {
  endpoint::PromoteReply Reply;
  const bool Already = IsPrimary && ServedTerm == NewTerm;
  const bool Accepted =
      Already || (SealedTerm <= NewTerm && ServedTerm < NewTerm &&
                  positionAt(Log.size()) == Start);
  if (Accepted && !Already) {
    SealedTerm = NewTerm;
    ServedTerm = NewTerm;
    IsPrimary = true;
    apply(Log.size());
    append({NewTerm, {}, "", endpoint::RECORDED_OUTCOME_NONE});
  }
  Reply.set_accepted(Accepted);
  Reply.set_sealed_term(SealedTerm);
  Reply.mutable_received()->set_term(positionAt(Log.size()).EntryTerm);
  Reply.mutable_received()->set_index(Log.size());
  return Reply;
}

endpoint::FollowReply FakeMember::follow(Term NewTerm,
                                         std::string PrimaryName) {
  endpoint::FollowReply Reply;
  const bool Accepted = SealedTerm <= NewTerm && ServedTerm <= NewTerm &&
                        !(IsPrimary && ServedTerm == NewTerm);
  if (Accepted && NewTerm > FollowedTerm) {
    SealedTerm = NewTerm;
    FollowedTerm = NewTerm;
    Primary = std::move(PrimaryName);
    IsPrimary = false;
    OpenTransactions.clear();
  }
  Reply.set_accepted(Accepted);
  Reply.set_sealed_term(SealedTerm);
  return Reply;
}

Position FakeMember::positionAt(LogIndex Index) const {
  return Index == 0 ? Position{} : Position{Log[Index - 1].WrittenTerm, Index};
}

void FakeMember::setPosition(endpoint::ConnectionReply &Reply,
                             LogIndex Index) const {
  Reply.mutable_position()->set_term(positionAt(Index).EntryTerm);
  Reply.mutable_position()->set_index(Index);
}

void FakeMember::append(LogEntry Entry) {
  Log.push_back(std::move(Entry));
  apply(Log.size());
}

void FakeMember::apply(LogIndex Index) {
  while (Applied < std::min<LogIndex>(Index, Log.size()))
    applyEntry(++Applied);
}

void FakeMember::applyEntry(LogIndex Index) {
  const LogEntry &Entry = Log[Index - 1];
  for (const std::string &Statement : Entry.Statements) {
    const std::vector<std::string> Words = split(Statement);
    std::int64_t Number = 0;
    if (Words[0] == "put" && absl::SimpleAtoi(Words[2], &Number))
      Data[Words[1]] = Number;
    if (Words[0] == "add")
      ++Data[Words[1]];
  }
  if (!Entry.Key.empty())
    Records.emplace(Entry.Key,
                    RecordedResult{Entry.Outcome, positionAt(Index)});
}

void FakeMember::rebuild() {
  const LogIndex Target = std::min<LogIndex>(Applied, Log.size());
  Data.clear();
  Records.clear();
  Applied = 0;
  apply(Target);
}

LogIndex FakeMember::commonPrefix(const std::vector<LogEntry> &Other) const {
  LogIndex Common = 0;
  while (Common < std::min(Log.size(), Other.size()) &&
         Log[Common].WrittenTerm == Other[Common].WrittenTerm)
    ++Common;
  return Common;
}

void FakeMember::replicate(Term PrimaryTerm, LogIndex After,
                           const std::vector<LogEntry> &Entries) {
  if (IsPrimary || FollowedTerm != PrimaryTerm || SealedTerm > PrimaryTerm ||
      After > Log.size())
    return;
  // A reply to an earlier poll in the same term may arrive late.
  if (ServedTerm == PrimaryTerm && After + Entries.size() <= Log.size())
    return;
  const bool Truncates = After < Log.size() && ServedTerm != PrimaryTerm;
  Log.resize(After);
  Log.insert(Log.end(), Entries.begin(), Entries.end());
  ServedTerm = PrimaryTerm;
  if (Truncates)
    rebuild();
}

std::int64_t FakeMember::value(const std::string &Key) const {
  const auto Found = Data.find(Key);
  return Found == Data.end() ? 0 : Found->second;
}

endpoint::ConnectionReply
FakeMember::handle(std::uint64_t Connection,
                   const endpoint::ConnectionRequest &Request) {
  endpoint::ConnectionReply Reply;
  Reply.set_sequence(Request.sequence());
  if (Request.has_hello()) {
    setPosition(Reply, Applied);
    return Reply;
  }
  const bool NeedsPrimary = !Request.has_batch() ||
                            !Request.batch().read_only() || Request.term() != 0;
  if (NeedsPrimary && !serves(Request.term())) {
    OpenTransactions.erase(Connection);
    Reply.set_error(endpoint::ENDPOINT_ERROR_WRONG_TERM);
    return Reply;
  }
  switch (Request.step_case()) {
  case endpoint::ConnectionRequest::kBatch:
    runBatch(Request.batch(), Reply);
    break;
  case endpoint::ConnectionRequest::kSettle:
    runSettle(Request.settle().request_key(), Reply);
    break;
  case endpoint::ConnectionRequest::kBegin:
    runBegin(Connection, Request.begin().request_key(), Reply);
    break;
  case endpoint::ConnectionRequest::kStatement:
    if (OpenTransactions.contains(Connection))
      OpenTransactions[Connection].Pending.Statements.push_back(
          Request.statement().text());
    else
      Reply.set_error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER);
    break;
  case endpoint::ConnectionRequest::kCommit:
    runCommit(Connection, Reply);
    break;
  default:
    OpenTransactions.erase(Connection);
    break;
  }
  return Reply;
}

bool FakeMember::answerFromRecord(const std::string &Key,
                                  endpoint::ConnectionReply &Reply) {
  const auto Found = Records.find(Key);
  if (Key.empty() || Found == Records.end() || Bugs.IgnoreRequestKeys)
    return false;
  Reply.set_replayed(true);
  Reply.set_outcome(Found->second.Outcome);
  Reply.mutable_position()->set_term(Found->second.At.EntryTerm);
  Reply.mutable_position()->set_index(Found->second.At.Index);
  if (Found->second.Outcome == endpoint::RECORDED_OUTCOME_REFUSED)
    Reply.set_error(endpoint::ENDPOINT_ERROR_SETTLED);
  return true;
}

void FakeMember::runReads(
    const google::protobuf::RepeatedPtrField<caller::Statement> &Statements,
    endpoint::ConnectionReply &Reply) {
  for (const caller::Statement &Statement : Statements) {
    const std::vector<std::string> Words = split(Statement.text());
    caller::ResultSet Result;
    caller::Row &Row = *Result.add_rows();
    Row.add_values()->set_integer(value(Words[1]));
    Row.add_values()->set_text(Words.back());
    if (Bugs.SwapReplies && SwappedResult)
      std::swap(Result, *SwappedResult);
    else if (Bugs.SwapReplies)
      SwappedResult = Result;
    *Reply.add_results() = Result;
  }
}

void FakeMember::runBatch(const endpoint::Batch &Batch,
                          endpoint::ConnectionReply &Reply) {
  if (Batch.read_only()) {
    runReads(Batch.statements(), Reply);
    setPosition(Reply, Applied);
    if (Bugs.OverstateApplied)
      Reply.mutable_position()->set_index(Log.size() + 1000);
    return;
  }
  const std::string Key = recordKey(Batch.request_key());
  if (answerFromRecord(Key, Reply))
    return;
  LogEntry Entry{ServedTerm, {}, Key, endpoint::RECORDED_OUTCOME_RAN};
  for (const caller::Statement &Statement : Batch.statements())
    Entry.Statements.push_back(Statement.text());
  append(std::move(Entry));
  setPosition(Reply, Log.size());
}

void FakeMember::runSettle(const endpoint::RequestKey &RequestKey,
                           endpoint::ConnectionReply &Reply) {
  const std::string Key = recordKey(RequestKey);
  if (answerFromRecord(Key, Reply)) {
    Reply.set_error(endpoint::ENDPOINT_ERROR_NONE);
    return;
  }
  if (!Bugs.SettleWithoutRecord)
    append({ServedTerm, {}, Key, endpoint::RECORDED_OUTCOME_REFUSED});
  Reply.set_outcome(endpoint::RECORDED_OUTCOME_REFUSED);
  setPosition(Reply, Log.size());
}

void FakeMember::runBegin(std::uint64_t Connection,
                          const endpoint::RequestKey &RequestKey,
                          endpoint::ConnectionReply &Reply) {
  const std::string Key = recordKey(RequestKey);
  if (answerFromRecord(Key, Reply))
    return;
  OpenTransactions[Connection].Pending = {
      ServedTerm, {}, Key, endpoint::RECORDED_OUTCOME_RAN};
}

void FakeMember::runCommit(std::uint64_t Connection,
                           endpoint::ConnectionReply &Reply) {
  const auto Found = OpenTransactions.find(Connection);
  if (Found == OpenTransactions.end()) {
    Reply.set_error(endpoint::ENDPOINT_ERROR_OUT_OF_ORDER);
    return;
  }
  LogEntry Entry = std::move(Found->second.Pending);
  OpenTransactions.erase(Found);
  // Another attempt of the same request may have committed since the begin.
  if (answerFromRecord(Entry.Key, Reply))
    return;
  Entry.WrittenTerm = ServedTerm;
  append(std::move(Entry));
  setPosition(Reply, Log.size());
}

} // namespace borageridge::dispatch::testing
