// Stand-ins of the platform's store and of its promotion service.
#pragma once

#include "Net.hh"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace review3 {

/// The platform's metadata store: keys, revisions, watches and leases.
class Store {
public:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };

  /// Starts to expire leases.
  void run();
  HttpAnswer answer(const HttpCall &Call);
  /// A write by the operator or by a member.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::optional<Item> find(const std::string &Key);
  /// Keys that begin with the prefix.
  std::vector<std::string> keys(const std::string &Prefix);
  /// While set, calls are neither answered nor executed.
  std::atomic<bool> Silent{false};
  /// By how much reads that may be old are behind.
  std::atomic<int> StaleMs{0};

private:
  struct Event {
    std::string Key;
    std::uint64_t Revision = 0;
    std::optional<Item> Written;
    Clock::time_point At = Clock::now();
  };
  struct Lease {
    Clock::time_point End;
    std::uint64_t TtlMs = 0;
  };

  void putLocked(const std::string &Key, const std::string &Value,
                 std::uint64_t Lease, std::uint64_t Revision);
  void removeLocked(const std::string &Key, std::uint64_t Revision);
  void endLeaseLocked(std::uint64_t Id);
  HttpAnswer range(const HttpCall &Call);
  /// The items, and the revision, of an earlier time.
  std::pair<std::map<std::string, Item>, std::uint64_t>
  stateAt(Clock::time_point When) const;
  HttpAnswer watch(const HttpCall &Call);
  HttpAnswer transaction(const HttpCall &Call);

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::map<std::uint64_t, Lease> Leases;
  std::deque<Event> History;
  std::uint64_t Revision = 100;
  std::uint64_t LastLease = 7000;
};

} // namespace review3
