#ifndef BORAGERIDGE_TABLE_TABLE_H
#define BORAGERIDGE_TABLE_TABLE_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageridge::table {

enum class RequestKind { Read, Write };
enum class Acknowledge { Majority, Primary };

/// Limits of one database group.
struct GroupPolicy {
  std::uint32_t MaxProxies = 8;
  std::uint32_t ConnectionsPerMember = 20;
  /// Share of the primary's connections that reads cannot take, 0 to 1.
  double PrimaryWriteReserve = 0.5;

  friend bool operator==(const GroupPolicy &, const GroupPolicy &) = default;
};

struct ClassPolicy {
  RequestKind Kind = RequestKind::Read;
  /// 0 is served first, 9 last.
  std::uint32_t Priority = 5;

  friend bool operator==(const ClassPolicy &, const ClassPolicy &) = default;
};

struct ReadPolicy {
  /// Largest share of reads that may go to replicas, 0 to 1.
  double ReplicaShare = 1.0;
  /// Oldest acceptable answer; zero means that no age is accepted.
  std::chrono::milliseconds AcceptedAge{0};

  friend bool operator==(const ReadPolicy &, const ReadPolicy &) = default;
};

/// Limits of one caller at one proxy.
struct CallerPolicy {
  std::uint32_t MaxConnections = 10;
  std::uint32_t MaxInFlight = 200;

  friend bool operator==(const CallerPolicy &, const CallerPolicy &) = default;
};

/// Whether a text may name a database, class, caller, member or availability
/// zone: 1 to 128 letters, digits or characters of "_-.:@".
bool isName(std::string_view Text);

/// Names the place in a table text that was refused.
struct TableError {
  enum class Reason {
    Syntax,
    UnknownKey,
    WrongType,
    OutOfRange,
    Duplicate,
    Missing,
    UnknownClass,
    WrongKind,
    TooLarge
  };
  Reason Why = Reason::Syntax;
  /// Line in the text, from 1; 0 if the whole text is meant.
  std::uint32_t Line = 0;
  std::string Key;
  std::string Detail;
};

/// Returns the lower-case name of a reason, as used in logs and output.
std::string_view name(TableError::Reason Why);

std::ostream &operator<<(std::ostream &Stream, const TableError &Error);

/// The table of weights and limits. Immutable once parsed. A row that names a
/// database goes before a row for "*"; without either the defaults above hold.
/// Rows are never merged, so each row states all its keys.
class Table {
public:
  /// Largest accepted text in bytes; a store value holds at most 1 MB.
  static constexpr std::size_t MaxTextBytes = std::size_t(900) * 1024;

  static Expected<Table, TableError> parse(std::string_view Text);

  GroupPolicy group(std::string_view Database) const;
  /// Empty for a class that the table does not name.
  std::optional<ClassPolicy> requestClass(std::string_view Name) const;
  ReadPolicy read(std::string_view Database, std::string_view Class) const;
  Acknowledge acknowledge(std::string_view Database,
                          std::string_view Class) const;
  CallerPolicy caller(std::string_view Database, std::string_view Name) const;

  friend bool operator==(const Table &, const Table &) = default;

  /// Rows by (database, name); the keys are those of the text.
  using RowKey = std::pair<std::string, std::string>;
  std::map<std::string, GroupPolicy, std::less<>> Groups;
  std::map<std::string, ClassPolicy, std::less<>> Classes;
  std::map<RowKey, ReadPolicy> Reads;
  std::map<RowKey, Acknowledge> Writes;
  std::map<RowKey, CallerPolicy> Callers;
};

/// One line for each row that differs between two tables, for example
/// "read ledger-1/stock_glance: accepted_age_ms 1000 -> 500".
std::vector<std::string> difference(const Table &Old, const Table &New);

} // namespace borageridge::table

#endif // BORAGERIDGE_TABLE_TABLE_H
