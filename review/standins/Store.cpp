#include "Store.h"

#include <algorithm>
#include <thread>

namespace review {
namespace {

// The pages give four milliseconds for an answer.
constexpr Milliseconds AnswerTime(4);
constexpr Milliseconds ExpiryInterval(20);
constexpr std::uint64_t MinTtlMs = 1000;
constexpr std::uint64_t MaxTtlMs = 600000;

std::uint64_t idAfter(const std::string &Target, const std::string &Path) {
  return std::stoull(Target.substr(Path.size()));
}

bool isReserved(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

} // namespace

Store::Store() {
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(ExpiryInterval);
      const std::lock_guard Guard(Lock);
      expireLeases();
    }
  }).detach();
}

void Store::serve(Socket Connection) {
  while (const auto Request = readRequest(Connection)) {
    std::this_thread::sleep_for(AnswerTime);
    if (IsLate(*Request)) {
      std::this_thread::sleep_for(LateBy);
      handle(*Request);
      return;
    }
    const Answer Result = handle(*Request);
    if (!sendResponse(Connection, Result.first, Result.second.dump()))
      return;
  }
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Guard(Lock);
  ++Revision;
  if (Value.empty())
    remove(Key);
  else
    write(Key, encodeBase64(Value), 0);
  Changed.notify_all();
}

std::vector<std::string> Store::keys(const std::string &Prefix) {
  const std::lock_guard Guard(Lock);
  std::vector<std::string> Result;
  for (const auto &[Key, Stored] : Items)
    if (Key.starts_with(Prefix))
      Result.push_back(Key);
  return Result;
}

Store::Answer Store::handle(const HttpRequest &Request) {
  const std::string &Target = Request.Target;
  const Json Body = Json::parse(Request.Body, nullptr, false);
  if (Target.starts_with("/v1/kv-range"))
    return range(Request);
  if (Target.starts_with("/v1/kv-watch"))
    return watch(Request);
  const std::lock_guard Guard(Lock);
  expireLeases();
  if (Target == "/v1/kv-txn")
    return transact(Body);
  if (Target == "/v1/kv-lease")
    return grant(Body);
  if (const std::string Path = "/v1/kv-keep/"; Target.starts_with(Path))
    return renew(idAfter(Target, Path));
  if (const std::string Path = "/v1/kv-lease-end/"; Target.starts_with(Path))
    return end(idAfter(Target, Path));
  return {404, Json::object()};
}

Store::Json Store::describe(const std::string &Key, const Item &Stored) const {
  return {{"key", Key},
          {"value", Stored.Encoded},
          {"revision", Stored.Revision},
          {"created", Stored.Created},
          {"lease", Stored.Lease}};
}

Store::Answer Store::range(const HttpRequest &Request) {
  const std::string Prefix = queryValue(Request.Target, "prefix");
  const std::string After = queryValue(Request.Target, "after");
  const std::lock_guard Guard(Lock);
  expireLeases();
  Json Found = Json::array();
  for (const auto &[Key, Stored] : Items)
    if (Key.starts_with(Prefix) && Key > After)
      Found.push_back(describe(Key, Stored));
  return {
      200,
      {{"items", Found}, {"has_more", false}, {"store_revision", Revision}}};
}

Store::Answer Store::watch(const HttpRequest &Request) {
  const std::string Prefix = queryValue(Request.Target, "prefix");
  const std::uint64_t After = std::stoull(queryValue(Request.Target, "after"));
  const Milliseconds Wait(std::stoll(queryValue(Request.Target, "wait_ms")));
  const Clock::time_point End = Clock::now() + Wait;
  std::unique_lock Guard(Lock);
  for (;;) {
    Json Found = Json::array();
    for (const Event &Seen : Events)
      if (Seen.Revision > After && Seen.Key.starts_with(Prefix))
        Found.push_back(Seen.Content);
    if (!Found.empty() || Clock::now() >= End)
      return {200, {{"events", Found}, {"store_revision", Revision}}};
    Changed.wait_until(Guard, End);
  }
}

Store::Answer Store::transact(const Json &Change) {
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Row : Change.at("precondition")) {
    const auto Found = Items.find(Row.at("key").get<std::string>());
    const bool Exists = Found != Items.end();
    if ((Exists ? Found->second.Revision : 0) !=
        Row.at("revision").get<std::uint64_t>())
      Holds = false;
    if (Exists)
      Current.push_back(describe(Found->first, Found->second));
  }
  if (!Holds)
    return {412, {{"items", Current}}};
  for (const Json &Put : Change.at("puts")) {
    const std::uint64_t Id = Put.value("lease", std::uint64_t(0));
    if (Id != 0 && !Leases.contains(Id))
      return {404, Json::object()};
    if (isReserved(Put.at("key")))
      return {403, Json::object()};
  }
  ++Revision;
  for (const Json &Put : Change.at("puts"))
    write(Put.at("key"), Put.at("value"), Put.value("lease", std::uint64_t(0)));
  for (const Json &Key : Change.at("deletes"))
    remove(Key);
  Changed.notify_all();
  return {200, {{"revision", Revision}}};
}

Store::Answer Store::grant(const Json &Wanted) {
  const auto Ttl =
      std::clamp(Wanted.at("ttl_ms").get<std::uint64_t>(), MinTtlMs, MaxTtlMs);
  const Milliseconds Span(static_cast<std::int64_t>(Ttl));
  Leases[++LastLease] = {Clock::now() + Span, Span};
  return {200, {{"lease", LastLease}, {"ttl_ms", Ttl}}};
}

Store::Answer Store::renew(std::uint64_t Id) {
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return {404, Json::object()};
  Found->second.End = Clock::now() + Found->second.Ttl;
  return {200, Json::object()};
}

Store::Answer Store::end(std::uint64_t Id) {
  if (!Leases.contains(Id))
    return {404, Json::object()};
  endLease(Id);
  return {200, Json::object()};
}

void Store::write(const std::string &Key, const std::string &Encoded,
                  std::uint64_t LeaseId) {
  Item &Stored = Items[Key];
  if (Stored.Created == 0)
    Stored.Created = Revision;
  Stored.Encoded = Encoded;
  Stored.Revision = Revision;
  Stored.Lease = LeaseId;
  Events.push_back({Revision, Key, describe(Key, Stored)});
}

void Store::remove(const std::string &Key) {
  if (Items.erase(Key) != 0)
    Events.push_back(
        {Revision,
         Key,
         {{"key", Key}, {"revision", Revision}, {"tombstone", true}}});
}

void Store::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  ++Revision;
  std::vector<std::string> Ended;
  for (const auto &[Key, Stored] : Items)
    if (Stored.Lease == Id)
      Ended.push_back(Key);
  for (const std::string &Key : Ended)
    remove(Key);
  Changed.notify_all();
}

void Store::expireLeases() {
  std::vector<std::uint64_t> Ended;
  for (const auto &[Id, Held] : Leases)
    if (Held.End <= Clock::now())
      Ended.push_back(Id);
  for (const std::uint64_t Id : Ended)
    endLease(Id);
}

} // namespace review
