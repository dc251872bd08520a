#include "Store.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace standins {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds ExpiryInterval(20);

} // namespace

Store::Store(const std::string &Ip) {
  const std::uint16_t Port =
      serve(Ip, 0, [this](Stream Accepted) { handle(std::move(Accepted)); });
  Address = Ip + ":" + std::to_string(Port);
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(ExpiryInterval);
      expireLeases();
    }
  }).detach();
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Guard(Lock);
  ++Revision;
  if (Value.empty())
    write(Key, std::nullopt);
  else
    write(Key, Item{encodeBase64(Value), 0, 0, 0});
  Changed.notify_all();
}

std::vector<std::string> Store::keys(const std::string &Prefix) {
  const std::lock_guard Guard(Lock);
  std::vector<std::string> Result;
  for (const auto &[Key, Found] : Items)
    if (Key.starts_with(Prefix))
      Result.push_back(Key);
  return Result;
}

// At the present revision, which the caller has advanced.
void Store::write(const std::string &Key, std::optional<Item> Next) {
  const auto Found = Items.find(Key);
  if (!Next) {
    if (Found == Items.end())
      return;
    Items.erase(Found);
    Item Gone;
    Gone.Revision = Revision;
    History.push_back({Key, Gone, true});
    return;
  }
  Next->Revision = Revision;
  Next->Created = Found == Items.end() ? Revision : Found->second.Created;
  Items[Key] = *Next;
  History.push_back({Key, *Next, false});
}

void Store::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Gone;
  for (const auto &[Key, Held] : Items)
    if (Held.Lease == Id)
      Gone.push_back(Key);
  for (const std::string &Key : Gone) {
    ++Revision;
    write(Key, std::nullopt);
  }
  Changed.notify_all();
}

void Store::expireLeases() {
  const std::lock_guard Guard(Lock);
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, Granted] : Leases)
    if (Granted.End <= Clock::now())
      Ended.push_back(Id);
  for (const std::uint64_t Id : Ended)
    endLease(Id);
}

void Store::handle(Stream Connection) {
  while (const auto Call = readRequest(Connection)) {
    const Answer Result = answer(*Call);
    if (!sendResponse(Connection, Result.Status, Result.Body))
      return;
  }
}

Store::Answer Store::answer(const HttpRequest &Call) {
  const std::string KeepPrefix = "/v1/kv-keep/";
  const std::string EndPrefix = "/v1/kv-lease-end/";
  if (Call.Path == "/v1/kv-range")
    return range(Call);
  if (Call.Path == "/v1/kv-watch")
    return watch(Call);
  if (Call.Path == "/v1/kv-txn")
    return commit(Call);
  const std::lock_guard Guard(Lock);
  if (Call.Path == "/v1/kv-lease") {
    const Json Body = Json::parse(Call.Body, nullptr, false);
    const Milliseconds Ttl(Body.value("ttl_ms", 1000));
    Leases[++LastLease] = {Ttl, Clock::now() + Ttl};
    return {200, Json{{"lease", LastLease}, {"ttl_ms", Ttl.count()}}.dump()};
  }
  if (Call.Path.starts_with(KeepPrefix)) {
    const auto Found =
        Leases.find(std::stoull(Call.Path.substr(KeepPrefix.size())));
    if (Found == Leases.end())
      return {404, "{}"};
    Found->second.End = Clock::now() + Found->second.Ttl;
    return {200, Json{{"ttl_ms", Found->second.Ttl.count()}}.dump()};
  }
  if (Call.Path.starts_with(EndPrefix)) {
    const auto Id = std::stoull(Call.Path.substr(EndPrefix.size()));
    if (!Leases.contains(Id))
      return {404, "{}"};
    endLease(Id);
    return {};
  }
  return {404, "{}"};
}

Store::Answer Store::range(const HttpRequest &Call) {
  const std::string Prefix = Call.parameter("prefix");
  const std::string After = Call.parameter("after");
  const std::lock_guard Guard(Lock);
  Json Found = Json::array();
  for (const auto &[Key, Held] : Items)
    if (Key.starts_with(Prefix) && Key > After)
      Found.push_back({{"key", Key},
                       {"value", Held.Value},
                       {"revision", Held.Revision},
                       {"created", Held.Created},
                       {"lease", Held.Lease}});
  return {
      200,
      Json{{"items", Found}, {"has_more", false}, {"store_revision", Revision}}
          .dump()};
}

Store::Answer Store::watch(const HttpRequest &Call) {
  const std::string Prefix = Call.parameter("prefix");
  const std::uint64_t After = std::stoull(Call.parameter("after"));
  const auto Deadline =
      Clock::now() + Milliseconds(std::stoll(Call.parameter("wait_ms")));
  std::unique_lock Guard(Lock);
  Json Events = Json::array();
  for (;;) {
    for (const Event &Seen : History) {
      if (Seen.Written.Revision <= After || !Seen.Key.starts_with(Prefix))
        continue;
      if (Seen.Removed)
        Events.push_back({{"key", Seen.Key},
                          {"revision", Seen.Written.Revision},
                          {"tombstone", true}});
      else
        Events.push_back({{"key", Seen.Key},
                          {"value", Seen.Written.Value},
                          {"revision", Seen.Written.Revision},
                          {"created", Seen.Written.Created},
                          {"lease", Seen.Written.Lease}});
    }
    if (!Events.empty() ||
        Changed.wait_until(Guard, Deadline) == std::cv_status::timeout)
      break;
  }
  return {200, Json{{"events", Events}, {"store_revision", Revision}}.dump()};
}

Store::Answer Store::commit(const HttpRequest &Call) {
  const Json Body = Json::parse(Call.Body, nullptr, false);
  const std::lock_guard Guard(Lock);
  for (const Json &Row : Body.at("precondition")) {
    const auto Found = Items.find(Row.at("key").get<std::string>());
    const std::uint64_t Present =
        Found == Items.end() ? 0 : Found->second.Revision;
    if (Present != Row.at("revision").get<std::uint64_t>())
      return {412, Json{{"items", Json::array()}}.dump()};
  }
  for (const Json &Put : Body.at("puts")) {
    const auto Under = Put.value("lease", std::uint64_t(0));
    if (Under != 0 && !Leases.contains(Under))
      return {404, "{}"};
  }
  ++Revision;
  for (const Json &Put : Body.at("puts"))
    write(Put.at("key"),
          Item{Put.at("value"), 0, 0, Put.value("lease", std::uint64_t(0))});
  for (const Json &Key : Body.at("deletes"))
    write(Key.get<std::string>(), std::nullopt);
  Changed.notify_all();
  return {200, Json{{"revision", Revision}}.dump()};
}

} // namespace standins
