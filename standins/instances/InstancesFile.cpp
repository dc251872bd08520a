#include "standins/instances/InstancesFile.h"

#include <toml++/toml.h>

#include <optional>
#include <string>

namespace borageridge::standins {
namespace {

using instances::Instance;

Failure failAt(const toml::node &Node, const std::string &Detail) {
  return {FailureKind::InvalidArgument,
          "line " + std::to_string(Node.source().begin.line) + ": " + Detail};
}

std::optional<instances::InstanceKind> kindOf(std::string_view Text) {
  if (Text == "proxy")
    return instances::INSTANCE_KIND_PROXY;
  if (Text == "endpoint")
    return instances::INSTANCE_KIND_ENDPOINT;
  return std::nullopt;
}

std::optional<instances::InstanceState> stateOf(std::string_view Text) {
  if (Text == "live")
    return instances::INSTANCE_STATE_LIVE;
  if (Text == "leaving")
    return instances::INSTANCE_STATE_LEAVING;
  return std::nullopt;
}

Expected<Instance> parseRow(const toml::table &Row) {
  const auto Text = [&Row](std::string_view Key) {
    return Row[Key].value_or(std::string());
  };
  Instance Out;
  Out.set_name(Text("name"));
  Out.set_address(Text("address"));
  Out.set_availability_zone(Text("availability_zone"));
  Out.set_database(Text("database"));
  if (Out.name().empty() || Out.address().empty() ||
      Out.availability_zone().empty())
    return failAt(Row, "name, address and availability_zone are needed");
  const auto Kind = kindOf(Text("kind"));
  const auto State = stateOf(Row["state"].value_or(std::string("live")));
  if (!Kind.has_value() || !State.has_value())
    return failAt(Row, "kind is proxy or endpoint, state live or leaving");
  Out.set_kind(*Kind);
  Out.set_state(*State);
  return Out;
}

} // namespace

Expected<control::InstanceSet> parseInstances(std::string_view Text) {
  toml::table Root;
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    return Failure{FailureKind::InvalidArgument,
                   "line " + std::to_string(Error.source().begin.line) + ": " +
                       std::string(Error.description())};
  }
  control::InstanceSet Set;
  const toml::array *Rows = Root["instance"].as_array();
  if (Rows == nullptr)
    return Set;
  for (const toml::node &Element : *Rows) {
    const toml::table *Row = Element.as_table();
    if (Row == nullptr)
      return failAt(Element, "rows are written as [[instance]]");
    const auto Parsed = parseRow(*Row);
    if (!Parsed.has_value())
      return Parsed.error();
    *Set.add_instances() = Parsed.value();
  }
  return Set;
}

} // namespace borageridge::standins
