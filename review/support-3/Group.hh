// Stand-ins of the members of one database service and of the platform's
// promotions.
#pragma once

#include "Platform.hh"

namespace review3 {

struct Entry {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  /// Names of items and their data.
  std::vector<std::pair<std::string, std::string>> Writes;
  /// Ids of the statements that made it.
  std::vector<std::string> Ids;
};

/// A primary and its replicas with asynchronous replication.
class Group {
public:
  struct Options {
    std::string Service;
    std::string Ip;
    int Members = 3;
    /// Whether a member that crashed may come back; see comeBack.
    bool HasSpare = false;
    int Slots = 4;
    int SyncReplicas = 0;
    int WorkMs = 3;
    int ReplicationMs = 8;
    int PromoteMs = 600;
    int HeartbeatMs = 1200;
  };

  Group(Options Given, Store &Registry, Record &Log);

  std::string id(int Member) const { return States[Member]->Id; }
  /// The member that leads the newest term.
  int primary();
  /// Announces at once that the member leaves, or that it does not.
  void setLeaving(int Member, bool Leaving);
  /// A deaf replica receives nothing from the primary.
  void setDeaf(int Member, bool Deaf);
  /// A dark member reads, answers and reports nothing.
  void setDark(int Member, bool Dark);
  /// Ends the process of a member: its connections break off, and what it has
  /// in work is not done.
  void exit(int Member);
  /// Ends the process of a member without notice.
  void crash(int Member);
  /// A member that crashed starts again with its log, at its address and under
  /// a new id.
  void comeBack(int Member);
  /// Number of statements of clients that arrived at any member.
  int statements() const { return Arrived; }
  /// Ids of statements that a primary committed although another member led a
  /// later term.
  std::vector<std::string> supersededCommits();
  int memberOf(const std::string &Id) const;
  std::vector<Entry> log(int Member);
  std::string position(int Member);
  /// A call for a promotion.
  HttpAnswer promote(const HttpCall &Call);
  /// Called when a promotion takes effect, with the member and the length of
  /// its log.
  std::function<void(int)> OnPromoted;
  /// Delay between a call and its answer, and between the answer and the
  /// effect.
  std::atomic<int> CallDelayMs{0};
  /// Called for each statement before it is run; may wait.
  std::function<void(int, const std::string &)> OnStatement;

private:
  struct Member {
    int Index = 0;
    std::string Id;
    std::string Address;
    bool Primary = false;
    bool Leaving = false;
    bool Deaf = false;
    std::atomic<bool> Dark{false};
    std::atomic<bool> Ended{false};
    /// What runs at the address after a crash.
    std::atomic<Member *> Next{nullptr};
    std::vector<std::weak_ptr<Conn>> Links;
    Clock::time_point SilentSince = Clock::now();
    std::uint64_t Term = 3;
    std::uint64_t Sequence = 0;
    std::vector<Entry> Log;
    int Busy = 0;
    std::int64_t Born = 0;
  };
  struct Session {
    std::map<std::string, std::string> Values;
    std::map<std::string, std::string> Prepared;
    char State = 'I';
    bool ReadOnly = false;
    std::vector<std::pair<std::string, std::string>> Writes;
    std::vector<std::string> Ids;
  };

  void serve(Member &M, std::shared_ptr<Conn> From);
  std::string run(Member &M, Session &S, const std::string &Id,
                  std::string Text);
  std::string commit(Member &M, Session &S,
                     std::vector<std::pair<std::string, std::string>> Writes,
                     std::vector<std::string> Ids);
  static std::string positionOf(const std::vector<Entry> &Log);
  static bool holds(const std::vector<Entry> &Log, const std::string &Position);
  void beat(Member &M);
  void replicate();
  [[noreturn]] void removeSilent();
  std::string signature() { return "s." + std::to_string(++LastSignature); }

  Options Given;
  Store &Registry;
  Record &Log;
  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<std::unique_ptr<Member>> States;
  std::vector<std::string> Superseded;
  std::atomic<std::uint64_t> LastSignature{0};
  std::atomic<int> Arrived{0};
};

} // namespace review3
