#include "table/Table.h"

#include <array>
#include <charconv>

namespace borageridge::table {
namespace {

struct Field {
  std::string_view Key;
  std::string Value;

  friend bool operator==(const Field &, const Field &) = default;
};

// The shortest text that reads back as the same number, so that two different
// shares never print alike.
std::string text(double Number) {
  std::array<char, 32> Buffer{};
  const auto End =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number);
  return {Buffer.data(), End.ptr};
}

std::vector<Field> fields(const GroupPolicy &Row) {
  return {{"max_proxies", std::to_string(Row.MaxProxies)},
          {"connections_per_member", std::to_string(Row.ConnectionsPerMember)},
          {"primary_write_reserve", text(Row.PrimaryWriteReserve)}};
}

std::vector<Field> fields(const ClassPolicy &Row) {
  return {{"kind", Row.Kind == RequestKind::Read ? "read" : "write"},
          {"priority", std::to_string(Row.Priority)}};
}

std::vector<Field> fields(const ReadPolicy &Row) {
  return {{"replica_share", text(Row.ReplicaShare)},
          {"accepted_age_ms", std::to_string(Row.AcceptedAge.count())}};
}

std::vector<Field> fields(const Acknowledge &Row) {
  return {
      {"acknowledge", Row == Acknowledge::Majority ? "majority" : "primary"}};
}

std::vector<Field> fields(const CallerPolicy &Row) {
  return {{"max_connections", std::to_string(Row.MaxConnections)},
          {"max_in_flight", std::to_string(Row.MaxInFlight)}};
}

std::string rowName(const std::string &Key) { return Key; }

std::string rowName(const Table::RowKey &Key) {
  return Key.first + '/' + Key.second;
}

template <typename Policy>
std::string whole(std::string_view Verb, const Policy &Row) {
  std::string Line(Verb);
  std::string_view Separator = " ";
  for (const Field &F : fields(Row)) {
    Line.append(Separator).append(F.Key).append(" ").append(F.Value);
    Separator = ", ";
  }
  return Line;
}

template <typename Policy>
std::string changes(const Policy &Old, const Policy &New) {
  const std::vector<Field> Before = fields(Old);
  const std::vector<Field> After = fields(New);
  std::string Line;
  for (std::size_t I = 0; I < Before.size(); ++I) {
    if (Before[I] == After[I])
      continue;
    Line.append(Line.empty() ? "" : ", ").append(After[I].Key);
    Line.append(" ").append(Before[I].Value);
    Line.append(" -> ").append(After[I].Value);
  }
  return Line;
}

template <typename Rows>
void compare(std::string_view Kind, const Rows &Old, const Rows &New,
             std::vector<std::string> &Lines) {
  const auto Add = [&](const auto &Key, const std::string &What) {
    Lines.push_back(std::string(Kind) + ' ' + rowName(Key) + ": " + What);
  };
  for (const auto &[Key, Row] : Old) {
    const auto Other = New.find(Key);
    if (Other == New.end())
      Add(Key, whole("removed", Row));
    else if (!(Row == Other->second))
      Add(Key, changes(Row, Other->second));
  }
  for (const auto &[Key, Row] : New)
    if (!Old.contains(Key))
      Add(Key, whole("added", Row));
}

} // namespace

std::vector<std::string> difference(const Table &Old, const Table &New) {
  std::vector<std::string> Lines;
  compare("group", Old.Groups, New.Groups, Lines);
  compare("class", Old.Classes, New.Classes, Lines);
  compare("read", Old.Reads, New.Reads, Lines);
  compare("write", Old.Writes, New.Writes, Lines);
  compare("caller", Old.Callers, New.Callers, Lines);
  return Lines;
}

} // namespace borageridge::table
