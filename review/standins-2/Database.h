#ifndef REVIEW_STANDINS2_DATABASE_H
#define REVIEW_STANDINS2_DATABASE_H

#include "Store.h"

#include <atomic>
#include <deque>
#include <memory>
#include <set>

namespace standins {

struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const Position &) const = default;
};

/// Slots of one member. Work waits for a slot in order of arrival; beyond a
/// number of waiting statements, more are rejected.
class Slots {
public:
  explicit Slots(int Count) : Free(Count) {}
  /// Returns false if too many wait.
  bool acquire();
  void release();

private:
  static constexpr std::size_t MaxWaiting = 16;
  std::mutex Lock;
  std::condition_variable Freed;
  std::uint64_t LastTicket = 0;
  std::deque<std::uint64_t> Waiting;
  int Free;
};

/// One service: a primary and its replicas, each with a port of its own, and
/// the platform's call that promotes one of them.
class Database {
public:
  struct Options {
    std::string Service = "ledger";
    std::string Ip;
    int Members = 3;
    int SlotsEach = 2;
    /// max_conns of the configuration.
    int MaxConnections = 32;
    int SyncReplicas = 0;
    Milliseconds ReadWork{20};
    Milliseconds WriteWork{5};
    /// Rows of an answer to a read, and bytes of each.
    int RowsPerRead = 1;
    std::size_t RowBytes = 12;
    Milliseconds PromoteTime{600};
  };

  Database(Options Wanted, Store &Registry, Record &Log);

  const Options &options() const { return Given; }
  std::string idOf(int Member) const { return "i-" + std::to_string(Member); }
  /// Arrivals of single statements and of the first of each transaction.
  struct Arrival {
    int Member = 0;
    std::string Id;
    Milliseconds At{};
  };
  std::vector<Arrival> arrivals();

  /// Address of the platform's service that promotes members.
  const std::string &promotionAddress() const { return CloudAddress; }

private:
  struct Entry {
    std::uint64_t Term = 0;
    std::string Id;
    std::string Key;
    std::string Data;
    bool operator==(const Entry &) const = default;
  };
  struct Member {
    explicit Member(int Count) : Work(Count) {}
    Slots Work;
    std::uint16_t Port = 0;
    bool Primary = false;
    std::uint64_t Term = 1;
    std::vector<Entry> Log;
    int Busy = 0;
    int Connections = 0;
    std::uint64_t Sequence = 0;
    std::int64_t Born = 0;
  };
  struct Session;

  void handle(int Index, Stream Connection);
  void serveCloud(Stream Connection);
  bool answer(Session &S, Stream &To, const std::string &Id, std::string Text);
  bool runStatement(Session &S, Stream &To, const std::string &Id,
                    const std::string &Text);
  bool send(Session &S, Stream &To, const std::string &Outcome,
            const std::string &Rows = "");
  std::string commit(Session &S, const std::string &Id,
                     const std::vector<Entry> &Writes);
  static Position positionOf(const Member &M);
  std::string signature();
  void replicate();
  void publish();
  void publishOne(int Index);
  void promote(int Index);

  Options Given;
  Store &Registry;
  Record &Log;
  std::mutex Lock;
  std::condition_variable Received;
  std::vector<std::unique_ptr<Member>> Group;
  std::vector<Arrival> Arrived;
  std::atomic<std::uint64_t> LastSignature = 0;
  std::string CloudAddress;
};

} // namespace standins

#endif // REVIEW_STANDINS2_DATABASE_H
