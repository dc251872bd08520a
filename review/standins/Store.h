#ifndef BORAGERIDGE_REVIEW_STORE_H
#define BORAGERIDGE_REVIEW_STORE_H

#include "Net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Stand-in of the platform's metadata store.
class Store {
public:
  Store();

  /// Serves one connection of a daemon.
  void serve(Socket Connection);
  /// Selects requests that the store executes LateBy after their arrival and
  /// does not answer. A connection on which an answer is lost returns nothing
  /// further.
  std::function<bool(const HttpRequest &)> IsLate = [](const HttpRequest &) {
    return false;
  };
  Milliseconds LateBy{3000};
  /// Writes a key as the operator or a member does; an empty value removes it.
  void put(const std::string &Key, const std::string &Value);
  std::vector<std::string> keys(const std::string &Prefix);

private:
  using Json = nlohmann::json;
  struct Item {
    std::string Encoded;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision;
    std::string Key;
    Json Content;
  };
  struct Lease {
    Clock::time_point End;
    Milliseconds Ttl;
  };
  using Answer = std::pair<int, Json>;

  Answer handle(const HttpRequest &Request);
  Answer range(const HttpRequest &Request);
  Answer watch(const HttpRequest &Request);
  Answer transact(const Json &Change);
  Answer grant(const Json &Wanted);
  Answer renew(std::uint64_t Id);
  Answer end(std::uint64_t Id);
  void write(const std::string &Key, const std::string &Encoded,
             std::uint64_t LeaseId);
  void remove(const std::string &Key);
  void endLease(std::uint64_t Id);
  void expireLeases();
  Json describe(const std::string &Key, const Item &Stored) const;

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::deque<Event> Events;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 1000;
};

} // namespace review

#endif // BORAGERIDGE_REVIEW_STORE_H
