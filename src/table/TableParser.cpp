#include "table/Table.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <initializer_list>
#include <set>

namespace borageridge::table {
namespace {

using Reason = TableError::Reason;

constexpr std::int64_t MaxLimit = 100000;
constexpr std::int64_t MaxPriority = 9;
constexpr std::int64_t MaxAgeMs = 24LL * 60 * 60 * 1000;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::string_view AnyDatabase = "*";

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '_' || C == '-' || C == '.' ||
         C == ':' || C == '@';
}

using Errors = std::vector<TableError>;

// One row of the text. Every accessor reports its own errors and then returns
// a value that only keeps the parser going.
class Row {
public:
  Row(const toml::table &RowSource, Errors &AllErrors)
      : Source(RowSource), Found(AllErrors) {}

  std::uint32_t line() const { return Source.source().begin.line; }

  void allow(std::initializer_list<std::string_view> Keys) {
    for (const auto &[Key, Value] : Source)
      if (std::find(Keys.begin(), Keys.end(), Key.str()) == Keys.end())
        Found.push_back({Reason::UnknownKey, Key.source().begin.line,
                         std::string(Key.str()), "this row has no such key"});
  }

  std::int64_t integer(std::string_view Key, std::int64_t Least,
                       std::int64_t Most) {
    const toml::node *Node = required(Key);
    if (Node == nullptr)
      return Least;
    const auto *Value = Node->as_integer();
    if (Value == nullptr)
      return fail(Reason::WrongType, *Node, Key, "an integer is needed"), Least;
    if (Value->get() < Least || Value->get() > Most)
      fail(Reason::OutOfRange, *Node, Key,
           std::to_string(Value->get()) + " is not within " +
               std::to_string(Least) + " to " + std::to_string(Most));
    return std::clamp(Value->get(), Least, Most);
  }

  double share(std::string_view Key) {
    const toml::node *Node = required(Key);
    if (Node == nullptr)
      return 0;
    if (!Node->is_number())
      return fail(Reason::WrongType, *Node, Key, "a number is needed"), 0;
    const double Value = Node->value<double>().value_or(-1);
    // Written so that a value that is not a number is refused, too.
    if (!(Value >= 0 && Value <= 1))
      fail(Reason::OutOfRange, *Node, Key, "a share is between 0 and 1");
    return Value;
  }

  std::string name(std::string_view Key) {
    std::string Value = text(Key);
    if (has(Key) && !isName(Value))
      fail(Reason::OutOfRange, *Source.get(Key), Key,
           "a name has 1 to 128 letters, digits or characters of _-.:@");
    return Value;
  }

  std::string database() {
    std::string Value = text("database");
    if (has("database") && Value != AnyDatabase && !isName(Value))
      fail(Reason::OutOfRange, *Source.get("database"), "database",
           "a database is \"*\" or a name");
    return Value;
  }

  template <typename Value>
  Value choice(std::string_view Key, std::string_view FirstName, Value First,
               std::string_view SecondName, Value Second) {
    const std::string Chosen = text(Key);
    if (has(Key) && Chosen != FirstName && Chosen != SecondName)
      fail(Reason::OutOfRange, *Source.get(Key), Key,
           "must be \"" + std::string(FirstName) + "\" or \"" +
               std::string(SecondName) + "\"");
    return Chosen == SecondName ? Second : First;
  }

  void fail(Reason Why, std::string_view Key, std::string Detail) {
    const toml::node *Node = Source.get(Key);
    Found.push_back({Why, Node == nullptr ? line() : Node->source().begin.line,
                     std::string(Key), std::move(Detail)});
  }

private:
  bool has(std::string_view Key) const {
    const toml::node *Node = Source.get(Key);
    return Node != nullptr && Node->is_string();
  }

  const toml::node *required(std::string_view Key) {
    const toml::node *Node = Source.get(Key);
    if (Node == nullptr)
      fail(Reason::Missing, Key, "this row needs the key");
    return Node;
  }

  std::string text(std::string_view Key) {
    const toml::node *Node = required(Key);
    if (Node == nullptr)
      return {};
    const auto *Value = Node->as_string();
    if (Value == nullptr)
      return fail(Reason::WrongType, *Node, Key, "a string is needed"),
             std::string();
    return Value->get();
  }

  void fail(Reason Why, const toml::node &Node, std::string_view Key,
            std::string Detail) {
    Found.push_back(
        {Why, Node.source().begin.line, std::string(Key), std::move(Detail)});
  }

  const toml::table &Source;
  Errors &Found;
};

class Parser {
public:
  Table run(const toml::table &Root) {
    rejectUnknownSections(Root);
    // Classes come first because read and write rows refer to them.
    each(Root, "class", [this](Row &R) { classRow(R); });
    each(Root, "group", [this](Row &R) { groupRow(R); });
    each(Root, "read", [this](Row &R) { readRow(R); });
    each(Root, "write", [this](Row &R) { writeRow(R); });
    each(Root, "caller", [this](Row &R) { callerRow(R); });
    return std::move(Out);
  }

  Errors Found;

private:
  void rejectUnknownSections(const toml::table &Root) {
    static constexpr std::array<std::string_view, 5> Sections = {
        "group", "class", "read", "write", "caller"};
    for (const auto &[Key, Value] : Root)
      if (std::find(Sections.begin(), Sections.end(), Key.str()) ==
          Sections.end())
        Found.push_back({Reason::UnknownKey, Key.source().begin.line,
                         std::string(Key.str()), "no such kind of row"});
  }

  template <typename Visit>
  void each(const toml::table &Root, std::string_view Section, Visit OnRow) {
    const toml::node *Node = Root.get(Section);
    if (Node == nullptr)
      return;
    const toml::array *Rows = Node->as_array();
    if (Rows == nullptr)
      return wrongSection(*Node, Section);
    for (const toml::node &Element : *Rows) {
      const toml::table *Source = Element.as_table();
      if (Source == nullptr) {
        wrongSection(Element, Section);
        continue;
      }
      Row R(*Source, Found);
      OnRow(R);
    }
  }

  void wrongSection(const toml::node &Node, std::string_view Section) {
    Found.push_back({Reason::WrongType, Node.source().begin.line,
                     std::string(Section),
                     "rows are written as [[" + std::string(Section) + "]]"});
  }

  template <typename Rows, typename Key, typename Policy>
  void insert(Rows &Into, const Key &RowKey, const Policy &Value, Row &R,
              std::string_view KeyName) {
    if (!Into.emplace(RowKey, Value).second)
      R.fail(Reason::Duplicate, KeyName, "an earlier row has the same key");
  }

  void classRow(Row &R) {
    R.allow({"name", "kind", "priority"});
    ClassPolicy Policy;
    const std::string Name = R.name("name");
    Policy.Kind = R.choice("kind", "read", RequestKind::Read, "write",
                           RequestKind::Write);
    Policy.Priority =
        static_cast<std::uint32_t>(R.integer("priority", 0, MaxPriority));
    insert(Out.Classes, Name, Policy, R, "name");
  }

  void groupRow(Row &R) {
    R.allow({"database", "max_proxies", "connections_per_member",
             "primary_write_reserve"});
    GroupPolicy Policy;
    const std::string Database = R.database();
    Policy.MaxProxies = limit(R, "max_proxies");
    Policy.ConnectionsPerMember = limit(R, "connections_per_member");
    Policy.PrimaryWriteReserve = R.share("primary_write_reserve");
    insert(Out.Groups, Database, Policy, R, "database");
  }

  void readRow(Row &R) {
    R.allow({"database", "class", "replica_share", "accepted_age_ms"});
    ReadPolicy Policy;
    const std::string Database = R.database();
    const std::string Class = classOf(R, RequestKind::Read);
    Policy.ReplicaShare = R.share("replica_share");
    Policy.AcceptedAge =
        std::chrono::milliseconds(R.integer("accepted_age_ms", 0, MaxAgeMs));
    insert(Out.Reads, Table::RowKey(Database, Class), Policy, R, "class");
  }

  void writeRow(Row &R) {
    R.allow({"database", "class", "acknowledge"});
    const std::string Database = R.database();
    const std::string Class = classOf(R, RequestKind::Write);
    const Acknowledge Policy =
        R.choice("acknowledge", "majority", Acknowledge::Majority, "primary",
                 Acknowledge::Primary);
    insert(Out.Writes, Table::RowKey(Database, Class), Policy, R, "class");
  }

  void callerRow(Row &R) {
    R.allow({"name", "database", "max_connections", "max_in_flight"});
    CallerPolicy Policy;
    const std::string Name = R.name("name");
    const std::string Database = R.database();
    Policy.MaxConnections = limit(R, "max_connections");
    Policy.MaxInFlight = limit(R, "max_in_flight");
    insert(Out.Callers, Table::RowKey(Database, Name), Policy, R, "name");
  }

  static std::uint32_t limit(Row &R, std::string_view Key) {
    return static_cast<std::uint32_t>(R.integer(Key, 1, MaxLimit));
  }

  std::string classOf(Row &R, RequestKind Wanted) {
    const std::size_t Before = Found.size();
    std::string Class = R.name("class");
    if (Found.size() != Before)
      return Class;
    const auto Known = Out.Classes.find(Class);
    if (Known == Out.Classes.end())
      R.fail(Reason::UnknownClass, "class", "no [[class]] row names " + Class);
    else if (Known->second.Kind != Wanted)
      R.fail(Reason::WrongKind, "class",
             Class + " is not a " +
                 (Wanted == RequestKind::Read ? "read" : "write") + " class");
    return Class;
  }

  Table Out;
};

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

Expected<Table, TableError> Table::parse(std::string_view Text) {
  if (Text.size() > MaxTextBytes)
    return TableError{Reason::TooLarge, 0, "",
                      std::to_string(Text.size()) + " bytes, at most " +
                          std::to_string(MaxTextBytes) + " are accepted"};
  toml::table Root;
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    return TableError{Reason::Syntax, Error.source().begin.line, "",
                      std::string(Error.description())};
  }
  Parser Rows;
  Table Parsed = Rows.run(Root);
  if (Rows.Found.empty())
    return Parsed;
  // The first error in the text helps most; later ones may follow from it.
  return *std::min_element(
      Rows.Found.begin(), Rows.Found.end(),
      [](const TableError &A, const TableError &B) { return A.Line < B.Line; });
}

std::string_view name(TableError::Reason Why) {
  switch (Why) {
  case Reason::Syntax:
    return "syntax";
  case Reason::UnknownKey:
    return "unknown_key";
  case Reason::WrongType:
    return "wrong_type";
  case Reason::OutOfRange:
    return "out_of_range";
  case Reason::Duplicate:
    return "duplicate";
  case Reason::Missing:
    return "missing";
  case Reason::UnknownClass:
    return "unknown_class";
  case Reason::WrongKind:
    return "wrong_kind";
  case Reason::TooLarge:
    return "too_large";
  }
  return "syntax";
}

std::ostream &operator<<(std::ostream &Stream, const TableError &Error) {
  Stream << "line " << Error.Line;
  if (!Error.Key.empty())
    Stream << ", key " << Error.Key;
  return Stream << ": " << name(Error.Why) << ": " << Error.Detail;
}

} // namespace borageridge::table
