#ifndef BORAGERIDGE_TABLE_TABLESTATE_H
#define BORAGERIDGE_TABLE_TABLESTATE_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "table/Table.h"

#include "record.pb.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace borageridge::table {

/// The version of the table in force at one proxy and the time at which it was
/// last confirmed to be the latest. The version in force only grows. Not
/// thread-safe; the tables that it hands out are immutable and may be shared.
class TableState {
public:
  enum class Offer {
    /// The offered version is now in force.
    Taken,
    /// The offered version is in force already.
    InForce,
    /// The offered version is below the one in force; it is ignored.
    Older
  };

  /// A confirmation counts as recent for RecentBound.
  explicit TableState(Duration RecentBound);

  /// Takes a record with a higher version whose text parses. A higher version
  /// with an error is not taken, but from then on the version in force is not
  /// recent. Now is the time of arrival and confirms nothing.
  Expected<Offer, TableError> offer(const record::TableRecord &Record,
                                    Time Now);

  /// Notes that Version was the latest at the time At. The store or a proxy
  /// whose table is recent can tell; an older confirmation changes nothing.
  void confirm(std::uint64_t Version, Time At);

  /// Whether the version in force was the latest at some time in the last
  /// RecentBound. False while a higher version is known.
  bool recent(Time Now) const;

  /// 0 if no table is in force.
  std::uint64_t version() const { return Current.version(); }
  /// The table in force; the defaults before the first one. Never null.
  std::shared_ptr<const Table> table() const { return Parsed; }
  /// The record in force, for peers.
  const record::TableRecord &record() const { return Current; }
  /// When the version in force was last confirmed; empty if never.
  std::optional<Time> confirmedAt() const { return ConfirmedAt; }
  /// When the version in force was taken; empty before the first one.
  std::optional<Time> takenAt() const { return TakenAt; }

private:
  Duration RecentFor;
  record::TableRecord Current;
  std::shared_ptr<const Table> Parsed;
  std::uint64_t HighestKnown = 0;
  std::optional<Time> ConfirmedAt;
  std::optional<Time> TakenAt;
};

} // namespace borageridge::table

#endif // BORAGERIDGE_TABLE_TABLESTATE_H
