#include "statement/ConnectionState.h"

#include <cstdint>
#include <cstdio>

namespace borageridge::statement {

std::size_t sizeOf(const SessionState &State) {
  std::size_t Sum = 0;
  for (const auto &[Name, Value] : State.Values)
    Sum += Name.size() + Value.size();
  for (const auto &[Name, Prepared] : State.Prepared)
    Sum += Name.size() + Prepared.Definition.size();
  return Sum;
}

SyncPlan planSync(const ConnectionState &Connection, const Variables &Wanted) {
  SyncPlan Plan;
  for (const auto &[Name, Value] : Connection.Values)
    if (!Wanted.contains(Name))
      Plan.Reset = true;
  for (const auto &[Name, Value] : Wanted) {
    const auto Held = Connection.Values.find(Name);
    if (Plan.Reset || Held == Connection.Values.end() || Held->second != Value)
      Plan.Set.emplace_back(Name, Value);
  }
  return Plan;
}

// Two independent 64-bit FNV-1a hashes: a collision would run another
// statement, so 64 bits are not enough.
std::string sharedName(std::string_view Definition) {
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t First = 14695981039346656037ULL;
  std::uint64_t Second = 0x9ae16a3b2f90404fULL;
  for (const unsigned char Byte : Definition) {
    First = (First ^ Byte) * Prime;
    Second = (Second ^ (Byte + 0x9dU)) * Prime;
    Second ^= Second >> 29;
  }
  char Text[40];
  std::snprintf(Text, sizeof(Text), "p%016llx%016llx",
                static_cast<unsigned long long>(First),
                static_cast<unsigned long long>(Second));
  return Text;
}

} // namespace borageridge::statement
