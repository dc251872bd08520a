#ifndef BORAGERIDGE_REVIEW_GROUP_H
#define BORAGERIDGE_REVIEW_GROUP_H

#include "Record.h"
#include "Store.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

/// Stand-in of the members of one service, each of which listens on its own
/// port, and of the platform's promotion call.
class Group {
public:
  struct Settings {
    std::string Service = "ledger";
    std::string Ip;
    std::string Zone;
    /// If set, each member is in a zone of its own with this number.
    bool ZoneEach = false;
    /// Way to callers of the same zone and of others, and back.
    std::chrono::microseconds NearRoundTrip{0};
    std::chrono::microseconds FarRoundTrip{0};
    std::size_t Members = 3;
    std::size_t SyncReplicas = 0;
    std::size_t Slots = 3;
    std::size_t MaxConnections = 32;
    /// How long a read occupies one of the slots; further ones wait.
    Milliseconds Work{0};
    Milliseconds Lag{20};
    Milliseconds PromoteTime{600};
    Milliseconds HeartbeatInterval{1200};
  };

  Group(Settings Wanted, Store &Registry, Record &Log);

  /// Called with the ids of the writes in the log of a member when it becomes
  /// the primary.
  using PromotionHandler = std::function<void(const std::string &Member,
                                              const std::set<std::string> &)>;
  PromotionHandler OnPromotion = [](const std::string &,
                                    const std::set<std::string> &) {};

  /// Called with the ids of the writes in the log of a member that runs a read.
  using ReadHandler =
      std::function<void(const std::string &Member, const std::string &Read,
                         const std::set<std::string> &)>;
  ReadHandler OnRead = [](const std::string &, const std::string &,
                          const std::set<std::string> &) {};

  /// Called with the name of the daemon that calls for a promotion.
  std::function<void(const std::string &Holder)> OnPromotionCall =
      [](const std::string &) {};
  /// Called with the id of a write that a member commits although another one
  /// leads a newer term.
  std::function<void(const std::string &Member, const std::string &Write)>
      OnOldPrimaryCommit = [](const std::string &, const std::string &) {};

  void servePromotions(Socket Connection);
  /// Returns the status of the answer.
  int callPromotion(const HttpRequest &Request);

  std::size_t primary();
  /// While deaf, a replica receives nothing.
  void setDeaf(std::size_t Member, bool Deaf);
  void announceDraining(std::size_t Member);
  std::string id(std::size_t Member) const { return Members[Member]->Id; }
  std::size_t logSize(std::size_t Member);

private:
  struct Entry {
    std::uint64_t Term;
    std::string Statement;
    Clock::time_point At;

    bool operator==(const Entry &Other) const {
      return Term == Other.Term && Statement == Other.Statement;
    }
  };
  struct Member {
    std::string Id;
    std::string Zone;
    std::uint16_t Port = 0;
    bool Leads = false;
    bool Deaf = false;
    bool Draining = false;
    std::uint64_t Term = 1;
    std::vector<Entry> Log;
    std::uint64_t Sequence = 0;
    std::size_t Connections = 0;
    std::size_t Working = 0;
  };
  struct Session {
    bool InTransaction = false;
    std::vector<std::string> Writes;
  };

  void serve(std::size_t Index, Socket Connection);
  /// No answer: the connection is closed.
  std::optional<std::string> execute(Member &Self, Session &Open,
                                     const std::string &Line);
  std::optional<std::string> run(Member &Self, Session &Open,
                                 const std::string &Id, const std::string &Text,
                                 std::unique_lock<std::mutex> &Guard);
  void work(Member &Self, std::unique_lock<std::mutex> &Guard);
  bool commit(Member &Self, const std::vector<std::string> &Writes,
              std::unique_lock<std::mutex> &Guard);
  bool isReplicated(const Member &From, std::size_t Size) const;
  std::string ready(const Member &Self, const Session &Open) const;
  std::string complete(const Member &Self, const Session &Open,
                       const std::string &Rows = "");
  std::string status(const Member &Self) const;
  std::string position(const Member &Self) const;
  Member *leader();
  static std::set<std::string> writesIn(const Member &Self);
  void replicate();
  void report(Member &Self);
  void promote(const std::string &Id);

  Settings Given;
  Store &Registry;
  Record &Log;
  std::mutex Lock;
  std::condition_variable Replicated;
  std::condition_variable SlotFree;
  std::vector<std::unique_ptr<Member>> Members;
  std::uint64_t Signatures = 0;
  std::int64_t Born = 0;
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_GROUP_H
