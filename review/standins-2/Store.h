#ifndef REVIEW_STANDINS2_STORE_H
#define REVIEW_STANDINS2_STORE_H

#include "Net.h"

#include <condition_variable>
#include <map>
#include <vector>

namespace standins {

/// The platform's store: items, leases, transactions and watches over HTTP.
/// Keeps its whole history.
class Store {
public:
  /// Listens on a free port of the address.
  explicit Store(const std::string &Ip);

  const std::string &address() const { return Address; }
  /// Writes an item for the operator or a server; an empty value removes it.
  void put(const std::string &Key, const std::string &Value);
  /// Returns the keys with a prefix.
  std::vector<std::string> keys(const std::string &Prefix);

private:
  struct Item {
    /// In base64.
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    Item Written;
    bool Removed = false;
  };
  struct Lease {
    Milliseconds Ttl{};
    Clock::time_point End;
  };
  struct Answer {
    int Status = 200;
    std::string Body = "{}";
  };

  void handle(Stream Connection);
  Answer answer(const HttpRequest &Call);
  Answer range(const HttpRequest &Call);
  Answer watch(const HttpRequest &Call);
  Answer commit(const HttpRequest &Call);
  void write(const std::string &Key, std::optional<Item> Next);
  void endLease(std::uint64_t Id);
  void expireLeases();

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 1000;
  std::string Address;
};

} // namespace standins

#endif // REVIEW_STANDINS2_STORE_H
