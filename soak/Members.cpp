#include "Members.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace soak {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds PublishInterval(25);
constexpr Milliseconds HeartbeatInterval(1200);
constexpr Milliseconds EntryLifetime = 3 * HeartbeatInterval;
constexpr Milliseconds ReadLimit(2000);
constexpr Milliseconds PromoteTime(1000);
constexpr std::string_view Prefix = "servers/";

// The entries under the prefix, decoded, in the order of their keys.
std::vector<std::string> readEntries(review::Socket &From) {
  From.send("GET /v1/kv-range?prefix=servers/ HTTP/1.1\r\n\r\n");
  std::size_t Size = 0;
  while (const auto Line = From.readLine(ReadLimit)) {
    if (Line->empty())
      break;
    const std::string_view Length = "Content-Length: ";
    if (Line->starts_with(Length))
      Size = std::stoul(Line->substr(Length.size()));
  }
  std::vector<std::string> Result;
  const auto Body = From.readBytes(Size, ReadLimit);
  if (!Body)
    return Result;
  const Json Page = Json::parse(*Body, nullptr, false);
  if (!Page.is_object())
    return Result;
  for (const Json &Item : Page.at("items")) {
    std::string Value;
    if (absl::Base64Unescape(Item.at("value").get<std::string>(), &Value))
      Result.push_back(Value);
  }
  return Result;
}

} // namespace

Members::Members(const std::string &Name, const std::string &Address,
                 review::Store &Entries, review::Record &Log)
    : Service(Name), Ip(Address), Registry(Entries) {
  OwnPort = review::listenOn(Ip, 0, [this](review::Socket Accepted) {
    Own.serve(std::move(Accepted));
  });
  review::Group::Settings Wanted;
  Wanted.Service = Service;
  Wanted.Ip = Ip;
  Wanted.ZoneEach = true;
  Wanted.PromoteTime = PromoteTime;
  Group = std::make_unique<review::Group>(Wanted, Own, Log);
  std::thread([this] { publish(); }).detach();
}

void Members::setLeaving(std::size_t Member, bool Leaving) {
  const std::lock_guard Guard(Lock);
  if (States[Member].Leaving && !Leaving)
    ++States[Member].Replacements;
  States[Member].Leaving = Leaving;
}

void Members::setDark(std::size_t Member, bool Dark) {
  const std::lock_guard Guard(Lock);
  States[Member].Dark = Dark;
  if (States[Member].Way)
    States[Member].Way->setCut(Dark);
}

bool Members::isDark(const std::string &Member) {
  const std::lock_guard Guard(Lock);
  for (std::size_t I = 0; I < Count; ++I)
    if (Group->id(I) == Member)
      return States[I].Dark;
  return false;
}

// Without an answer in time, the connection is replaced.
void Members::publish() {
  review::Socket From;
  for (;;) {
    if (!From.isOpen())
      From = review::connectTo(Ip, OwnPort);
    const std::vector<std::string> Entries = readEntries(From);
    if (Entries.empty())
      From.close();
    for (std::size_t I = 0; I < Entries.size() && I < Count; ++I)
      publish(I, Entries[I]);
    std::this_thread::sleep_for(PublishInterval);
  }
}

void Members::publish(std::size_t Member, const std::string &Reported) {
  const std::lock_guard Guard(Lock);
  State &Self = States[Member];
  const std::string Key = std::string(Prefix) + Group->id(Member);
  const Clock::time_point Now = Clock::now();
  if (Self.Dark) {
    if (!Self.Removed && Now - Self.LastWritten > EntryLifetime) {
      Registry.put(Key, "");
      Self.Removed = true;
      Self.Written.clear();
    }
    return;
  }
  Json Entry = Json::parse(Reported);
  if (!Self.Way) {
    const auto Address = Entry.at("address").get<std::string>();
    const auto Port = static_cast<std::uint16_t>(
        std::stoi(Address.substr(Address.find(':') + 1)));
    Self.Way = std::make_unique<review::Link>(Ip, 0, Ip, Port);
  }
  Entry["address"] = Self.Way->address();
  Entry["state"] = Self.Leaving ? "draining" : "ready";
  Entry["born"] = Entry.at("born").get<std::int64_t>() + Self.Replacements;
  Json Compared = Entry;
  Compared.erase("sequence");
  const std::string Text = Compared.dump();
  if (Text == Self.Written && Now - Self.LastWritten < HeartbeatInterval)
    return;
  Registry.put(Key, Entry.dump());
  Self.Written = Text;
  Self.LastWritten = Now;
  Self.Removed = false;
}

} // namespace soak
