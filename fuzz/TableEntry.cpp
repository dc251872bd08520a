#include "FuzzEntry.h"

#include "table/Table.h"

#include <algorithm>

namespace borageridge::fuzz {
namespace {

void checkLimits(const table::Table &Table) {
  for (const std::string_view Database : {"ledger-1", "other", "*", ""}) {
    const table::GroupPolicy Group = Table.group(Database);
    check(Group.MaxProxies >= 1, "a group without proxies");
    check(Group.PrimaryWriteReserve >= 0 && Group.PrimaryWriteReserve <= 1,
          "a reserve that is no share");
    const table::ReadPolicy Read = Table.read(Database, "stock_glance");
    check(Read.ReplicaShare >= 0 && Read.ReplicaShare <= 1,
          "a replica share that is no share");
    check(Read.AcceptedAge.count() >= 0, "a negative age");
    Table.acknowledge(Database, "order");
    Table.caller(Database, "counter");
  }
}

} // namespace

std::vector<std::string> seeds() {
  return {"", R"([[group]]
database = "ledger-1"
max_proxies = 8
connections_per_member = 30
primary_write_reserve = 0.5

[[class]]
name = "stock_glance"
kind = "read"
priority = 2

[[class]]
name = "order"
kind = "write"
priority = 0

[[read]]
database = "*"
class = "stock_glance"
replica_share = 0.95
accepted_age_ms = 1000

[[write]]
database = "*"
class = "order"
acknowledge = "majority"

[[caller]]
name = "counter"
database = "*"
max_connections = 10
max_in_flight = 200
)"};
}

std::string decode(std::string_view Input) {
  const auto Lines =
      static_cast<std::uint32_t>(std::ranges::count(Input, '\n')) + 1;
  const auto Parsed = table::Table::parse(Input);
  if (!Parsed.has_value()) {
    check(Parsed.error().Line <= Lines, "an error beyond the last line");
    return std::string(name(Parsed.error().Why));
  }
  checkLimits(Parsed.value());
  check(table::Table::parse(Input).value() == Parsed.value(),
        "the same text gives another table");
  check(table::difference(Parsed.value(), Parsed.value()).empty(),
        "a table differs from itself");
  return "accepted";
}

} // namespace borageridge::fuzz
