#include "explain/Story.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace borageridge::explain {
namespace {

using nlohmann::json;

// Decisions about a service this long before a request can be its cause: longer
// than a change of primary and than the end of a lease.
constexpr absl::Duration Before = absl::Seconds(10);
constexpr absl::Duration After = absl::Seconds(1);

bool has(const Entry &E, std::string_view Key, std::string_view Value) {
  const auto Found = E.Fields.find(Key);
  return Found != E.Fields.end() && Found->second == Value;
}

absl::Time timeOf(const Entry &E) {
  absl::Time Result;
  std::string Error;
  return absl::ParseTime(absl::RFC3339_full, E.Time, &Result, &Error)
             ? Result
             : absl::InfinitePast();
}

std::vector<Entry> sorted(std::vector<Entry> Chosen) {
  std::stable_sort(
      Chosen.begin(), Chosen.end(),
      [](const Entry &A, const Entry &B) { return A.Time < B.Time; });
  return Chosen;
}

bool parse(const std::string &Line, Entry &Result) {
  const std::size_t Start = Line.find('{');
  if (Start == std::string::npos)
    return false;
  const json Object = json::parse(Line.substr(Start), nullptr, false);
  if (!Object.is_object())
    return false;
  for (const auto &[Key, Value] : Object.items()) {
    std::string Text =
        Value.is_string() ? Value.get<std::string>() : Value.dump();
    if (Key == "time")
      Result.Time = std::move(Text);
    else if (Key == "instance")
      Result.Instance = std::move(Text);
    else if (Key == "event")
      Result.Event = std::move(Text);
    else if (Key != "level")
      Result.Fields.emplace(Key, std::move(Text));
  }
  return !Result.Time.empty() && !Result.Event.empty();
}

} // namespace

void Story::read(std::istream &In) {
  std::string Line;
  while (std::getline(In, Line)) {
    Entry Read;
    if (parse(Line, Read))
      Entries.push_back(std::move(Read));
    else
      ++Ignored;
  }
}

std::vector<Entry> Story::ofService(std::string_view Service) const {
  std::vector<Entry> Chosen;
  for (const Entry &E : Entries)
    if (has(E, "service", Service) && !E.Fields.contains("request"))
      Chosen.push_back(E);
  return sorted(std::move(Chosen));
}

std::vector<Entry> Story::ofRequest(std::string_view Request) const {
  std::vector<Entry> Chosen;
  std::set<std::string> Services;
  absl::Time First = absl::InfiniteFuture();
  absl::Time Last = absl::InfinitePast();
  for (const Entry &E : Entries) {
    if (!has(E, "request", Request))
      continue;
    Chosen.push_back(E);
    First = std::min(First, timeOf(E));
    Last = std::max(Last, timeOf(E));
    if (const auto Service = E.Fields.find("service");
        Service != E.Fields.end())
      Services.insert(Service->second);
  }
  for (const std::string &Service : Services)
    for (const Entry &E : ofService(Service))
      if (timeOf(E) >= First - Before && timeOf(E) <= Last + After)
        Chosen.push_back(E);
  return sorted(std::move(Chosen));
}

std::string format(const Entry &E) {
  std::string Line = E.Time + "  " + E.Instance + "  " + E.Event;
  for (const auto &[Key, Value] : E.Fields)
    Line.append("  ").append(Key).append("=").append(Value);
  return Line;
}

} // namespace borageridge::explain
