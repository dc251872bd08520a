#include "quota/CounterMap.h"

#include "cluster/HolderTable.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace borageridge::quota {
namespace {

// One more set of counters for each further number of organisations, so that
// the load of a counter does not grow with them.
constexpr std::size_t OrganisationsPerSet = 128;

std::optional<CounterNumber> counterOf(std::string_view Key) {
  if (!Key.starts_with(cluster::CounterPrefix))
    return std::nullopt;
  Key.remove_prefix(cluster::CounterPrefix.size());
  CounterNumber Result = 0;
  const auto Parsed =
      std::from_chars(Key.data(), Key.data() + Key.size(), Result);
  if (Parsed.ec != std::errc() || Parsed.ptr != Key.data() + Key.size())
    return std::nullopt;
  return Result;
}

// FNV-1a, the same in every process.
std::uint64_t hash(std::string_view Text) {
  std::uint64_t Result = 14695981039346656037ULL;
  for (const unsigned char Byte : Text)
    Result = (Result ^ Byte) * 1099511628211ULL;
  return Result;
}

} // namespace

std::size_t counterCount(std::size_t Organisations) {
  const std::size_t Sets =
      (Organisations + OrganisationsPerSet - 1) / OrganisationsPerSet;
  return CountersPerOrganisation * std::max<std::size_t>(1, Sets);
}

std::array<CounterNumber, CountersPerOrganisation>
countersOf(std::string_view Organisation, std::size_t CounterCount) {
  const std::size_t Sets =
      std::max<std::size_t>(1, CounterCount / CountersPerOrganisation);
  const CounterNumber First =
      hash(Organisation) % Sets * CountersPerOrganisation;
  std::array<CounterNumber, CountersPerOrganisation> Result{};
  for (std::size_t I = 0; I < CountersPerOrganisation; ++I)
    Result[I] = First + I;
  return Result;
}

std::size_t
rankFor(CounterNumber Counter, std::string_view Daemon,
        const std::map<std::string, cluster::DaemonRecord> &Daemons) {
  std::set<std::string> Zones;
  for (const auto &[Name, Record] : Daemons)
    Zones.insert(Record.AvailabilityZone);
  if (Zones.empty())
    return 0;
  const std::string &Preferred = *std::next(
      Zones.begin(), static_cast<std::ptrdiff_t>(Counter % Zones.size()));
  const std::string Key = counterKey(Counter);
  const auto Place = [&](const cluster::DaemonRecord &Record) {
    return std::pair(Record.AvailabilityZone != Preferred,
                     -cluster::holderScore(Record, Key));
  };
  const auto Own = Daemons.find(std::string(Daemon));
  if (Own == Daemons.end())
    return Daemons.size();
  const auto OwnPlace = Place(Own->second);
  return static_cast<std::size_t>(
      std::count_if(Daemons.begin(), Daemons.end(), [&](const auto &Entry) {
        return Place(Entry.second) < OwnPlace;
      }));
}

void CounterMap::apply(const keyvalue::Change &Seen) {
  const std::optional<CounterNumber> Counter = counterOf(Seen.Written.Key);
  if (!Counter)
    return;
  const auto Known = Entries.find(*Counter);
  if (Known != Entries.end() &&
      Known->second.ModRevision > Seen.Written.ModRevision)
    return;
  if (Seen.Removed)
    Entries.erase(*Counter);
  else
    Entries[*Counter] = Seen.Written;
}

std::vector<std::string> CounterMap::keys() const {
  std::vector<std::string> Result;
  for (const auto &[Counter, Entry] : Entries)
    Result.push_back(Entry.Key);
  return Result;
}

const keyvalue::Item &CounterMap::entry(CounterNumber Counter) const {
  static const keyvalue::Item None;
  const auto Found = Entries.find(Counter);
  return Found == Entries.end() ? None : Found->second;
}

std::string counterKey(CounterNumber Counter) {
  return std::string(cluster::CounterPrefix) + std::to_string(Counter);
}

} // namespace borageridge::quota
