#include "Platform.hh"

namespace review3 {
namespace {

constexpr char Alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode64(const std::string &Bytes) {
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    const std::size_t Left = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 | (J < Left ? std::uint8_t(Bytes[I + J]) : 0);
    for (std::size_t J = 0; J < 4; ++J)
      Result.push_back(J <= Left ? Alphabet[Group >> (18 - 6 * J) & 63] : '=');
  }
  return Result;
}

std::string decode64(const std::string &Text) {
  std::string Result;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (const char C : Text) {
    const char *At = std::strchr(Alphabet, C);
    if (C == '=' || At == nullptr)
      break;
    Group = Group << 6 | std::uint32_t(At - Alphabet);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Result.push_back(char(Group >> Bits & 0xff));
    }
  }
  return Result;
}

json itemJson(const std::string &Key, const Store::Item &Item) {
  return {{"key", Key},
          {"value", encode64(Item.Value)},
          {"revision", Item.Revision},
          {"created", Item.Created},
          {"lease", Item.Lease}};
}

std::uint64_t numberIn(const HttpCall &Call, const std::string &Name) {
  const auto Found = Call.Query.find(Name);
  return Found == Call.Query.end() ? 0 : std::stoull(Found->second);
}

std::string textIn(const HttpCall &Call, const std::string &Name) {
  const auto Found = Call.Query.find(Name);
  return Found == Call.Query.end() ? "" : Found->second;
}

HttpAnswer status(int Code) {
  HttpAnswer Result;
  Result.Status = Code;
  return Result;
}

} // namespace

void Store::putLocked(const std::string &Key, const std::string &Value,
                      std::uint64_t Lease, std::uint64_t At) {
  Item &Known = Items[Key];
  if (Known.Created == 0)
    Known.Created = At;
  Known.Value = Value;
  Known.Revision = At;
  Known.Lease = Lease;
  History.push_back({Key, At, Known, Clock::now()});
}

void Store::removeLocked(const std::string &Key, std::uint64_t At) {
  if (Items.erase(Key) != 0)
    History.push_back({Key, At, std::nullopt, Clock::now()});
}

void Store::endLeaseLocked(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Ended;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Ended.push_back(Key);
  if (Ended.empty())
    return;
  ++Revision;
  for (const std::string &Key : Ended)
    removeLocked(Key, Revision);
  Changed.notify_all();
}

void Store::run() {
  std::thread([this] {
    for (;;) {
      pause(20);
      const std::lock_guard Guard(Lock);
      std::vector<std::uint64_t> Ended;
      for (const auto &[Id, L] : Leases)
        if (Clock::now() >= L.End)
          Ended.push_back(Id);
      for (const std::uint64_t Id : Ended)
        endLeaseLocked(Id);
    }
  }).detach();
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Guard(Lock);
  putLocked(Key, Value, 0, ++Revision);
  Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  const std::lock_guard Guard(Lock);
  removeLocked(Key, ++Revision);
  Changed.notify_all();
}

std::optional<Store::Item> Store::find(const std::string &Key) {
  const std::lock_guard Guard(Lock);
  const auto Found = Items.find(Key);
  return Found == Items.end() ? std::nullopt : std::optional(Found->second);
}

std::vector<std::string> Store::keys(const std::string &Prefix) {
  const std::lock_guard Guard(Lock);
  std::vector<std::string> Result;
  for (const auto &[Key, Item] : Items)
    if (Key.compare(0, Prefix.size(), Prefix) == 0)
      Result.push_back(Key);
  return Result;
}

std::pair<std::map<std::string, Store::Item>, std::uint64_t>
Store::stateAt(Clock::time_point When) const {
  std::pair<std::map<std::string, Item>, std::uint64_t> Result;
  Result.second = 100;
  for (const Event &E : History) {
    if (E.At > When)
      break;
    Result.second = E.Revision;
    if (E.Written)
      Result.first[E.Key] = *E.Written;
    else
      Result.first.erase(E.Key);
  }
  return Result;
}

HttpAnswer Store::range(const HttpCall &Call) {
  const std::lock_guard Guard(Lock);
  const std::string Prefix = textIn(Call, "prefix");
  const std::string After = textIn(Call, "after");
  const bool MayBeOld = textIn(Call, "serializable") == "1" && StaleMs > 0;
  const auto State = MayBeOld ? stateAt(Clock::now() - Ms(StaleMs))
                              : std::pair(Items, Revision);
  HttpAnswer Result;
  Result.Body = {{"items", json::array()},
                 {"has_more", false},
                 {"store_revision", State.second}};
  for (const auto &[Key, Item] : State.first)
    if (Key.compare(0, Prefix.size(), Prefix) == 0 && Key > After)
      Result.Body["items"].push_back(itemJson(Key, Item));
  return Result;
}

HttpAnswer Store::watch(const HttpCall &Call) {
  std::unique_lock Guard(Lock);
  const std::string Prefix = textIn(Call, "prefix");
  const std::uint64_t After = numberIn(Call, "after");
  const auto End = Clock::now() + Ms(numberIn(Call, "wait_ms"));
  HttpAnswer Result;
  for (;;) {
    json Events = json::array();
    for (const Event &E : History) {
      if (E.Revision <= After || E.Key.compare(0, Prefix.size(), Prefix) != 0)
        continue;
      if (E.Written)
        Events.push_back(itemJson(E.Key, *E.Written));
      else
        Events.push_back(
            {{"key", E.Key}, {"revision", E.Revision}, {"tombstone", true}});
    }
    if (!Events.empty() || Clock::now() >= End) {
      Result.Body = {{"events", Events}, {"store_revision", Revision}};
      return Result;
    }
    Changed.wait_until(Guard, End);
  }
}

HttpAnswer Store::transaction(const HttpCall &Call) {
  const std::lock_guard Guard(Lock);
  const json Body = json::parse(Call.Body);
  json Present = json::array();
  bool Holds = true;
  for (const json &Row : Body.value("precondition", json::array())) {
    const std::string Key = Row.at("key");
    const auto Found = Items.find(Key);
    const std::uint64_t Has = Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Has == Row.at("revision").get<std::uint64_t>();
    if (Found != Items.end())
      Present.push_back(itemJson(Key, Found->second));
  }
  if (!Holds) {
    HttpAnswer Result = status(412);
    Result.Body = {{"items", Present}};
    return Result;
  }
  for (const json &Row : Body.value("puts", json::array()))
    if (const std::uint64_t Id = Row.value("lease", std::uint64_t(0));
        Id != 0 && Leases.count(Id) == 0)
      return status(404);
  ++Revision;
  for (const json &Row : Body.value("puts", json::array()))
    putLocked(Row.at("key"), decode64(Row.at("value")),
              Row.value("lease", std::uint64_t(0)), Revision);
  for (const json &Key : Body.value("deletes", json::array()))
    removeLocked(Key, Revision);
  Changed.notify_all();
  HttpAnswer Result;
  Result.Body = {{"revision", Revision}};
  return Result;
}

HttpAnswer Store::answer(const HttpCall &Call) {
  while (Silent)
    pause(20);
  if (Call.Path == "/v1/kv-range")
    return range(Call);
  if (Call.Path == "/v1/kv-watch")
    return watch(Call);
  if (Call.Path == "/v1/kv-txn")
    return transaction(Call);
  const std::lock_guard Guard(Lock);
  HttpAnswer Result;
  if (Call.Path == "/v1/kv-key") {
    const auto Found = Items.find(textIn(Call, "key"));
    if (Found == Items.end())
      return status(404);
    Result.Body = itemJson(Found->first, Found->second);
    Result.Body["store_revision"] = Revision;
    return Result;
  }
  if (Call.Path == "/v1/kv-lease") {
    const std::uint64_t Ttl = json::parse(Call.Body).at("ttl_ms");
    Leases[++LastLease] = {Clock::now() + Ms(Ttl), Ttl};
    Result.Body = {{"lease", LastLease}, {"ttl_ms", Ttl}};
    return Result;
  }
  const auto Slash = Call.Path.rfind('/');
  const std::string Verb = Call.Path.substr(0, Slash);
  const std::uint64_t Id = std::strtoull(
      Call.Path.c_str() + (Slash == std::string::npos ? 0 : Slash + 1), nullptr,
      10);
  if (Verb != "/v1/kv-keep" && Verb != "/v1/kv-lease-end")
    return status(400);
  const auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return status(404);
  if (Verb == "/v1/kv-keep") {
    Found->second.End = Clock::now() + Ms(Found->second.TtlMs);
    Result.Body = {{"ttl_ms", Found->second.TtlMs}};
  } else {
    endLeaseLocked(Id);
  }
  return Result;
}

} // namespace review3
