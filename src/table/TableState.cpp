#include "table/TableState.h"

#include <algorithm>

namespace borageridge::table {

TableState::TableState(Duration RecentBound)
    : RecentFor(RecentBound), Parsed(std::make_shared<const Table>()) {}

Expected<TableState::Offer, TableError>
TableState::offer(const record::TableRecord &Record, Time Now) {
  if (Record.version() == Current.version())
    return Offer::InForce;
  if (Record.version() < Current.version())
    return Offer::Older;
  HighestKnown = std::max(HighestKnown, Record.version());
  Expected<Table, TableError> Offered = Table::parse(Record.text());
  if (!Offered.has_value())
    return Offered.error();
  Parsed = std::make_shared<const Table>(std::move(Offered).value());
  Current = Record;
  TakenAt = Now;
  ConfirmedAt.reset();
  return Offer::Taken;
}

void TableState::confirm(std::uint64_t Version, Time At) {
  HighestKnown = std::max(HighestKnown, Version);
  if (Version != Current.version())
    return;
  ConfirmedAt = std::max(ConfirmedAt.value_or(At), At);
}

bool TableState::recent(Time Now) const {
  return ConfirmedAt.has_value() && HighestKnown == Current.version() &&
         Now - *ConfirmedAt <= RecentFor;
}

} // namespace borageridge::table
