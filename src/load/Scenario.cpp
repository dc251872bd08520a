#include "load/Scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <sstream>
#include <utility>

namespace borageridge::load {

namespace {

using std::chrono::milliseconds;

/// Reads keys of one TOML table and keeps the first failure.
class TableReader {
public:
  TableReader(const toml::table &Source, std::string Label)
      : Table(Source), Name(std::move(Label)) {}

  void allow(std::initializer_list<std::string_view> Keys) {
    for (const auto &[Key, Node] : Table)
      if (std::find(Keys.begin(), Keys.end(), Key.str()) == Keys.end())
        fail(Node, Key.str(), "unknown key");
  }

  void read(std::string_view Key, std::string &Target) {
    readAs<std::string>(Key, "a string", [&](auto V) { Target = V; });
  }

  void read(std::string_view Key, double &Target, double Low, double High) {
    readAs<double>(Key, "a number", [&](double V) {
      if (V < Low || V > High)
        return fail(*Table.get(Key), Key, "out of range");
      Target = V;
    });
  }

  template <typename Integer>
  void read(std::string_view Key, Integer &Target, std::int64_t Low,
            std::int64_t High) {
    readAs<std::int64_t>(Key, "an integer", [&](std::int64_t V) {
      if (V < Low || V > High)
        return fail(*Table.get(Key), Key, "out of range");
      Target = Integer(V);
    });
  }

  void read(std::string_view Key, std::vector<std::string> &Target) {
    const toml::node *Node = Table.get(Key);
    if (!Node)
      return;
    const toml::array *Array = Node->as_array();
    if (!Array)
      return fail(*Node, Key, "must be an array of strings");
    for (const toml::node &Element : *Array) {
      const auto Text = Element.value_exact<std::string>();
      if (!Text)
        return fail(Element, Key, "must be an array of strings");
      Target.push_back(*Text);
    }
  }

  void require(std::string_view Key) {
    if (!Table.get(Key) && !Problem)
      Problem = Failure{FailureKind::InvalidArgument,
                        Name + ": missing key " + std::string(Key)};
  }

  void fail(const toml::node &Node, std::string_view Key, const char *What) {
    if (Problem)
      return;
    std::ostringstream Out;
    Out << "line " << Node.source().begin.line << ", " << Name << '.' << Key
        << ": " << What;
    Problem = Failure{FailureKind::InvalidArgument, Out.str()};
  }

  const toml::table &table() const { return Table; }
  const std::optional<Failure> &problem() const { return Problem; }

private:
  template <typename T, typename Function>
  void readAs(std::string_view Key, const char *Type, Function Use) {
    const toml::node *Node = Table.get(Key);
    if (!Node)
      return;
    const std::optional<T> Value = Node->value<T>();
    if (!Value)
      return fail(*Node, Key, (std::string("must be ") + Type).c_str());
    Use(*Value);
  }

  const toml::table &Table;
  std::string Name;
  std::optional<Failure> Problem;
};

constexpr std::int64_t MaxMilliseconds = 86400000;

std::optional<OperationKind> kindOf(std::string_view Text) {
  for (const auto Kind :
       {OperationKind::RegisterWrite, OperationKind::JobInsert,
        OperationKind::RegisterRead, OperationKind::JobRead})
    if (name(Kind) == Text)
      return Kind;
  return std::nullopt;
}

std::optional<ReadTarget> targetOf(std::string_view Text) {
  if (Text == "own")
    return ReadTarget::Own;
  if (Text == "any")
    return ReadTarget::Any;
  if (Text == "list")
    return ReadTarget::List;
  return std::nullopt;
}

void readOperation(TableReader &Reader, OperationSpec &Spec) {
  Reader.allow({"name", "kind", "class", "rate_per_s", "accepted_age_ms",
                "target", "list_size"});
  Reader.require("name");
  Reader.require("kind");
  Reader.require("rate_per_s");
  Reader.read("name", Spec.Name);
  Reader.read("class", Spec.RequestClass);
  Reader.read("rate_per_s", Spec.RatePerSecond, 0, 1e6);
  Reader.read("accepted_age_ms", Spec.AcceptedAge, 0, MaxMilliseconds);
  Reader.read("list_size", Spec.ListSize, 1, 1000);
  std::string Kind;
  std::string Target = "own";
  Reader.read("kind", Kind);
  Reader.read("target", Target);
  if (const auto Parsed = kindOf(Kind))
    Spec.Kind = *Parsed;
  else if (const toml::node *Node = Reader.table().get("kind"))
    Reader.fail(*Node, "kind", "unknown kind");
  if (const auto Parsed = targetOf(Target))
    Spec.Target = *Parsed;
  else
    Reader.fail(*Reader.table().get("target"), "target", "unknown target");
}

void readBurst(TableReader &Reader, Burst &Spec) {
  Reader.allow({"operation", "start_ms", "length_ms", "factor"});
  Reader.require("operation");
  Reader.read("operation", Spec.Operation);
  Reader.read("start_ms", Spec.Start, 0, MaxMilliseconds);
  Reader.read("length_ms", Spec.Length, 1, MaxMilliseconds);
  Reader.read("factor", Spec.Factor, 0, 1000);
}

void readClient(TableReader &Reader, ClientSpec &Spec) {
  Reader.allow({"threads", "channels_per_proxy", "attempt_timeout_ms",
                "settle_timeout_ms", "max_read_tries", "not_run_retries"});
  Reader.read("threads", Spec.Threads, 1, 16);
  Reader.read("channels_per_proxy", Spec.ChannelsPerProxy, 1, 1000);
  Reader.read("attempt_timeout_ms", Spec.AttemptTimeout, 1, MaxMilliseconds);
  Reader.read("settle_timeout_ms", Spec.SettleTimeout, 1, MaxMilliseconds);
  Reader.read("max_read_tries", Spec.MaxReadTries, 1, 1000);
  Reader.read("not_run_retries", Spec.NotRunRetries, 0, 1000);
}

void readTop(TableReader &Reader, Scenario &Result) {
  Reader.allow({"name", "seed", "length_ms", "sessions", "roam_probability",
                "databases", "proxies", "operation", "burst", "client"});
  Reader.require("name");
  Reader.require("operation");
  Reader.read("name", Result.Name);
  Reader.read("seed", Result.Seed, 0, INT64_MAX);
  Reader.read("length_ms", Result.Length, 1, MaxMilliseconds);
  Reader.read("sessions", Result.Sessions, 1, 1000000);
  Reader.read("roam_probability", Result.RoamProbability, 0, 1);
  Reader.read("databases", Result.Databases);
  Reader.read("proxies", Result.Proxies);
}

/// Reads each table of an array of tables into a new element of Target.
template <typename Element>
void readArray(TableReader &Top, const char *Key, std::vector<Element> &Target,
               void (*Read)(TableReader &, Element &),
               std::optional<Failure> &Problem) {
  const toml::node *Node = Top.table().get(Key);
  if (!Node)
    return;
  const toml::array *Array = Node->as_array();
  if (!Array)
    return Top.fail(*Node, Key, "must be an array of tables");
  for (const toml::node &Entry : *Array) {
    const toml::table *Table = Entry.as_table();
    if (!Table)
      return Top.fail(Entry, Key, "must be an array of tables");
    TableReader Reader(*Table, Key);
    Read(Reader, Target.emplace_back());
    if (Reader.problem() && !Problem)
      Problem = Reader.problem();
  }
}

std::optional<Failure> checkReferences(const Scenario &Result) {
  for (const Burst &B : Result.Bursts) {
    const bool Known =
        std::any_of(Result.Operations.begin(), Result.Operations.end(),
                    [&](const auto &Op) { return Op.Name == B.Operation; });
    if (!Known)
      return Failure{FailureKind::InvalidArgument,
                     "burst.operation: unknown operation " + B.Operation};
  }
  for (const OperationSpec &Op : Result.Operations)
    if (Op.Target == ReadTarget::List && Op.ListSize > Result.Sessions)
      return Failure{FailureKind::InvalidArgument,
                     "operation.list_size: more than sessions"};
  return std::nullopt;
}

Expected<Scenario> build(const toml::table &Root) {
  Scenario Result;
  TableReader Top(Root, "scenario");
  std::optional<Failure> Problem;
  readTop(Top, Result);
  readArray(Top, "operation", Result.Operations, readOperation, Problem);
  readArray(Top, "burst", Result.Bursts, readBurst, Problem);
  if (const toml::table *Table = Root["client"].as_table()) {
    TableReader Client(*Table, "client");
    readClient(Client, Result.Client);
    if (Client.problem() && !Problem)
      Problem = Client.problem();
  }
  if (Top.problem())
    return *Top.problem();
  if (Problem)
    return *Problem;
  if (const auto Unknown = checkReferences(Result))
    return *Unknown;
  return Result;
}

} // namespace

Expected<Scenario> parseScenario(std::string_view Text) {
  try {
    return build(toml::parse(Text));
  } catch (const toml::parse_error &Error) {
    std::ostringstream Out;
    Out << "line " << Error.source().begin.line << ": " << Error.description();
    return Failure{FailureKind::InvalidArgument, Out.str()};
  }
}

} // namespace borageridge::load
