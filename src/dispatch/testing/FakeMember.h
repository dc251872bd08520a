#ifndef BORAGERIDGE_DISPATCH_TESTING_FAKEMEMBER_H
#define BORAGERIDGE_DISPATCH_TESTING_FAKEMEMBER_H

#include "borageridge/Types.h"

#include "endpoint.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace borageridge::dispatch::testing {

/// Bugs injected into members, which the history checker must detect.
struct InjectedBugs {
  /// Members accept a seal but do not enforce it.
  bool SkipSeal = false;
  /// Members run a request again although its key is recorded.
  bool IgnoreRequestKeys = false;
  /// Members report an applied position beyond the end of their log.
  bool OverstateApplied = false;
  /// A settle that finds no record reports "refused" without recording it.
  bool SettleWithoutRecord = false;
  /// Replicas report a received position beyond the end of their log, in the
  /// term of the primary that they replicated from.
  bool OverstateReceived = false;
  /// Results of reads are swapped between connections.
  bool SwapReplies = false;
};

/// A committed transaction. Statements are "put KEY VALUE", "add KEY" and
/// "get KEY MARKER".
struct LogEntry {
  Term WrittenTerm = 0;
  std::vector<std::string> Statements;
  std::string Key;
  endpoint::RecordedOutcome Outcome = endpoint::RECORDED_OUTCOME_NONE;
};

/// In-memory member of a database group, without a network. Its state survives
/// a crash, except for open transactions.
class FakeMember {
public:
  FakeMember(std::string MemberName, const InjectedBugs &WithBugs)
      : Name(std::move(MemberName)), Bugs(WithBugs) {}

  endpoint::MemberStatus status() const;
  endpoint::SealReply seal(Term NewTerm);
  endpoint::PromoteReply promote(Term NewTerm, Position Start);
  endpoint::FollowReply follow(Term NewTerm, std::string PrimaryName);

  /// Handles one request of a connection.
  endpoint::ConnectionReply handle(std::uint64_t Connection,
                                   const endpoint::ConnectionRequest &Request);
  /// Rolls back the open transaction of a connection that has ended.
  void handleConnectionEnd(std::uint64_t Connection) {
    OpenTransactions.erase(Connection);
  }
  void handleCrash() { OpenTransactions.clear(); }

  /// Truncates the log to After and appends Entries, which follow After in the
  /// log of the primary of PrimaryTerm.
  void replicate(Term PrimaryTerm, LogIndex After,
                 const std::vector<LogEntry> &Entries);
  /// Length of the common prefix with another log.
  LogIndex commonPrefix(const std::vector<LogEntry> &Other) const;
  /// Makes received entries up to Index visible to reads.
  void apply(LogIndex Index);

  bool serves(Term InTerm) const {
    return IsPrimary && ServedTerm == InTerm && SealedTerm <= InTerm;
  }
  const std::vector<LogEntry> &log() const { return Log; }
  LogIndex applied() const { return Applied; }
  std::int64_t value(const std::string &Key) const;

  std::string Name;
  bool IsPrimary = false;
  Term ServedTerm = 0;
  Term SealedTerm = 0;
  /// The primary that a replica replicates from, and its term.
  std::string Primary;
  Term FollowedTerm = 0;
  bool Leaving = false;

private:
  struct RecordedResult {
    endpoint::RecordedOutcome Outcome = endpoint::RECORDED_OUTCOME_NONE;
    Position At;
  };
  struct Transaction {
    LogEntry Pending;
  };

  Position positionAt(LogIndex Index) const;
  void setPosition(endpoint::ConnectionReply &Reply, LogIndex Index) const;
  void append(LogEntry Entry);
  void applyEntry(LogIndex Index);
  void rebuild();
  void runReads(
      const google::protobuf::RepeatedPtrField<caller::Statement> &Statements,
      endpoint::ConnectionReply &Reply);
  void runBatch(const endpoint::Batch &Batch, endpoint::ConnectionReply &Reply);
  void runSettle(const endpoint::RequestKey &Key,
                 endpoint::ConnectionReply &Reply);
  void runBegin(std::uint64_t Connection, const endpoint::RequestKey &Key,
                endpoint::ConnectionReply &Reply);
  void runCommit(std::uint64_t Connection, endpoint::ConnectionReply &Reply);
  bool answerFromRecord(const std::string &Key,
                        endpoint::ConnectionReply &Reply);

  InjectedBugs Bugs;
  std::vector<LogEntry> Log;
  LogIndex Applied = 0;
  std::map<std::string, std::int64_t> Data;
  std::map<std::string, RecordedResult> Records;
  std::map<std::uint64_t, Transaction> OpenTransactions;
  std::optional<caller::ResultSet> SwappedResult;
};

} // namespace borageridge::dispatch::testing

#endif // BORAGERIDGE_DISPATCH_TESTING_FAKEMEMBER_H
