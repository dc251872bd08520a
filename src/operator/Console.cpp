#include "operator/Console.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

namespace borageridge::operators {
namespace {

struct ToText {
  std::string operator()(const std::string &Text) const { return Text; }
  std::string operator()(std::uint64_t Number) const {
    return std::to_string(Number);
  }
  std::string operator()(bool Flag) const { return Flag ? "yes" : "no"; }
};

struct ToJson {
  google::protobuf::Value &Out;

  void operator()(const std::string &Text) const { Out.set_string_value(Text); }
  void operator()(std::uint64_t Number) const {
    Out.set_number_value(static_cast<double>(Number));
  }
  void operator()(bool Flag) const { Out.set_bool_value(Flag); }
};

std::string json(const Record &Values) {
  google::protobuf::Struct Object;
  for (const auto &[Name, Value] : Values)
    std::visit(ToJson{(*Object.mutable_fields())[Name]}, Value);
  std::string Line;
  (void)google::protobuf::util::MessageToJsonString(Object, &Line);
  return Line;
}

} // namespace

void Console::result(const Record &Values) {
  if (Format == OutputFormat::Json) {
    Results << json(Values) << '\n';
    return;
  }
  std::string_view Separator;
  for (const auto &[Name, Value] : Values) {
    Results << Separator << std::visit(ToText(), Value);
    Separator = "\t";
  }
  Results << '\n';
}

void Console::columns(const Record &Values) {
  if (Format == OutputFormat::Json)
    return;
  std::string_view Separator;
  for (const auto &[Name, Value] : Values) {
    Notes << Separator << Name;
    Separator = "\t";
  }
  Notes << '\n';
}

ExitCode Console::fail(std::string_view What, const Failure &Why) {
  Notes << What << ": " << Why << '\n';
  return exitCodeOf(Why.Kind);
}

ExitCode Console::failRead(std::string_view What, const Failure &Why) {
  Notes << What << ": " << Why << '\n';
  return exitCodeOfRead(Why.Kind);
}

} // namespace borageridge::operators
