#include "table/Table.h"

namespace borageridge::table {
namespace {

constexpr std::string_view AnyDatabase = "*";

template <typename Policy>
const Policy *find(const std::map<Table::RowKey, Policy> &Rows,
                   std::string_view Database, std::string_view Name) {
  auto Row = Rows.find({std::string(Database), std::string(Name)});
  if (Row == Rows.end())
    Row = Rows.find({std::string(AnyDatabase), std::string(Name)});
  return Row == Rows.end() ? nullptr : &Row->second;
}

} // namespace

GroupPolicy Table::group(std::string_view Database) const {
  auto Row = Groups.find(Database);
  if (Row == Groups.end())
    Row = Groups.find(AnyDatabase);
  return Row == Groups.end() ? GroupPolicy() : Row->second;
}

std::optional<ClassPolicy> Table::requestClass(std::string_view Name) const {
  const auto Row = Classes.find(Name);
  if (Row == Classes.end())
    return std::nullopt;
  return Row->second;
}

ReadPolicy Table::read(std::string_view Database,
                       std::string_view Class) const {
  const ReadPolicy *Row = find(Reads, Database, Class);
  return Row == nullptr ? ReadPolicy() : *Row;
}

Acknowledge Table::acknowledge(std::string_view Database,
                               std::string_view Class) const {
  const Acknowledge *Row = find(Writes, Database, Class);
  return Row == nullptr ? Acknowledge::Majority : *Row;
}

CallerPolicy Table::caller(std::string_view Database,
                           std::string_view Name) const {
  const CallerPolicy *Row = find(Callers, Database, Name);
  return Row == nullptr ? CallerPolicy() : *Row;
}

} // namespace borageridge::table
